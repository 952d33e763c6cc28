//! The time line: what recording costs.

use std::hint::black_box;

use super::{
    figure::{Figure, Load, Resource, RoleCost, Scale},
    gauge::cost_ns,
};
use crate::{
    prelude::*,
    timeline::{DEFAULT_CAPACITY, EventKind, EventSink, Filter, Recorder},
};

const SIZES: [usize; 4] = [25_000, 50_000, 100_000, 200_000];

/// Events of one request on its way: arrived, dispatched, ended, answered.
const EVENTS_PER_REQUEST: f64 = 4.0;

/// Requests a second on a busy daemon, assumed.
const REQUESTS: f64 = 1_000.0;

pub fn measure(scale: Scale) -> RoleCost {
    let sizes = SIZES.map(|size| scale.size(size));
    let kept = sizes.map(filled);
    let mut recorders = kept.iter();
    let on = Figure::sweep(
        "event recorded, switched on",
        "ns",
        "events",
        sizes,
        DEFAULT_CAPACITY,
        |_| recorders.next().map_or(0.0, record_cost),
    );
    let off = Recorder::off();
    let off = Figure::sweep(
        "event recorded, switched off",
        "ns",
        "events",
        sizes,
        DEFAULT_CAPACITY,
        |_| record_cost(&off),
    );
    let mut recorders = kept.iter();
    let page = Figure::sweep("page of 100 read", "ns", "events", sizes, DEFAULT_CAPACITY, |_| {
        let filter = Filter { limit: Some(100), ..Filter::default() };
        recorders
            .next()
            .map_or(0.0, |recorder| cost_ns(|| drop(black_box(recorder.events(&filter)))))
    });
    let loads = vec![Load::measured(
        Resource::TrafficCpu,
        on.value * EVENTS_PER_REQUEST * REQUESTS / 1e9,
        format!("{EVENTS_PER_REQUEST} events a request, {REQUESTS} requests a second"),
    )];
    RoleCost {
        figures: vec![on, off, page],
        loads,
        mechanism: "bounded ring, hybrid logical clock; look-ups sampled",
        messages: "pages of events, only while an operator asks",
        role: "time line",
        state: "the newest events",
    }
}

/// Memory of the ring.
pub fn bounded(ring: &Figure) -> Load {
    Load::measured(Resource::Memory, ring.value, format!("bounded: {DEFAULT_CAPACITY} events"))
}

/// A recorder whose ring is full.
pub fn filled(size: usize) -> Recorder {
    let recorder = Recorder::new("member".into(), "host-0000".into(), 7, size);
    for index in 0..size {
        let request: RequestId = format!("01890a5d-ac96-774b-bcce-{index:012x}").into();
        recorder.record(Some(&request), EventKind::Dispatched { target: "target".into() });
    }
    recorder
}

/// As the hot path does it: ask first, build the event only where it is kept.
fn record_cost(recorder: &Recorder) -> f64 {
    let request: RequestId = "01890a5d-ac96-774b-bcce-000000000000".into();
    let target: TargetId = "target".into();
    let sink: &dyn EventSink = recorder;
    cost_ns(|| {
        if black_box(sink).is_on() {
            sink.record(Some(&request), EventKind::Dispatched { target: target.clone() });
        }
    })
}
