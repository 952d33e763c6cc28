//! Events in the Chrome trace format: one process a host, spans for requests, marks for the rest.

use std::{collections::BTreeMap, io};

use serde::Serialize;

use crate::{
    prelude::*,
    timeline::{Event, EventKind},
};

const MICROS_PER_MILLI: u64 = 1_000;

#[derive(Serialize)]
struct Trace<'a> {
    #[serde(rename = "traceEvents")]
    events: Vec<Mark<'a>>,
}

/// One entry of the format; the field names are its own.
#[derive(Serialize)]
struct Mark<'a> {
    args: Args<'a>,
    #[serde(skip_serializing_if = "Option::is_none")]
    dur: Option<u64>,
    name: &'a str,
    /// `i` for a mark, `M` for the name of a process, `X` for a span.
    ph: &'static str,
    pid: usize,
    tid: usize,
    ts: u64,
}

#[derive(Serialize)]
#[serde(untagged)]
enum Args<'a> {
    Event { event: &'a EventKind, request: Option<&'a RequestId> },
    Process { name: String },
}

pub(super) fn write(events: &[Event], out: &mut dyn io::Write) -> io::Result<()> {
    let mut pids: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for event in events {
        let next = pids.len() + 1;
        pids.entry((&event.member, &event.host)).or_insert(next);
    }
    let names = pids.iter().map(|(&(member, host), &pid)| Mark {
        args: Args::Process { name: format!("{member}/{host}") },
        dur: None,
        name: "process_name",
        ph: "M",
        pid,
        tid: 0,
        ts: 0,
    });
    let marks = events.iter().map(|event| mark(event, pids[&(&*event.member, &*event.host)]));
    let spans = spans(events, &pids);
    let trace = Trace { events: names.chain(marks).chain(spans).collect() };
    serde_json::to_writer(&mut *out, &trace)?;
    out.write_all(b"\n")
}

fn mark(event: &Event, pid: usize) -> Mark<'_> {
    Mark {
        args: Args::Event { event: &event.kind, request: event.request.as_ref() },
        dur: None,
        name: event.kind.name(),
        ph: "i",
        pid,
        tid: 0,
        ts: micros(event),
    }
}

/// One span for each request on each host, from its arrival to its answer.
fn spans<'a>(events: &'a [Event], pids: &BTreeMap<(&str, &str), usize>) -> Vec<Mark<'a>> {
    let mut open: BTreeMap<(usize, &RequestId), &Event> = BTreeMap::new();
    let mut spans = Vec::new();
    for event in events {
        let Some(request) = &event.request else { continue };
        let pid = pids[&(&*event.member, &*event.host)];
        match &event.kind {
            EventKind::Arrived { .. } => {
                open.insert((pid, request), event);
            }
            EventKind::Answered { .. } => {
                let Some(start) = open.remove(&(pid, request)) else { continue };
                let dur = Some(micros(event).saturating_sub(micros(start)));
                spans.push(Mark { dur, name: request, ph: "X", tid: 1, ..mark(start, pid) });
            }
            _ => {}
        }
    }
    spans
}

/// Microseconds; the logical count keeps events of one millisecond apart and in order.
fn micros(event: &Event) -> u64 {
    let count = u64::from(event.at.count).min(MICROS_PER_MILLI - 1);
    event.at.millis.saturating_mul(MICROS_PER_MILLI).saturating_add(count)
}
