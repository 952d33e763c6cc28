use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::{
    prelude::*,
    routing::{Event, Router, RouterLimits},
    trace::{
        Outcome, Setup, SteerMachine, SteerRecorder, Told, read, replay, tests::Shared, untrue,
    },
};

#[test]
fn every_scenario_bears_out_its_statements_and_replays_from_its_text() {
    for scenario in ALL {
        let trace = (scenario.make)();
        assert_eq!(untrue(&trace), [], "{}", scenario.name);
        let out = Shared::default();
        trace.write(Box::new(out.clone())).unwrap();
        let text = out.0.lock().unwrap().clone();
        assert!(text.len() < 200_000, "{}: {} bytes", scenario.name, text.len());
        let parsed: SteerTrace = read(&text[..]).unwrap();
        assert_eq!(parsed, trace, "{}", scenario.name);
        let replayed = replay::<SteerMachine, _>(&parsed);
        assert!(replayed.is_ok(), "{}: {}", scenario.name, replayed.unwrap_err());
    }
}

#[test]
fn a_false_statement_is_found() {
    let trace = late::make();
    let booking: RequestId = "booking".into();
    let target: TargetId = "status-zagreb-a-1".into();
    for false_one in [
        Outcome::Answered { request: booking.clone(), told: vec![Told::Pass] },
        Outcome::Count { least: 1, most: 9, told: Told::Kept },
        Outcome::Dispatched { request: booking, times: 2 },
        Outcome::InForce { machine: 0, sequence: 9 },
        Outcome::NoDispatchAfter { machine: None, now: 0, target: target.clone() },
        Outcome::ShiftedAtLeast { times: 1 },
        Outcome::SlotsAtMost { slots: 0, target },
    ] {
        let trace = SteerTrace { outcomes: vec![false_one.clone()], ..trace.clone() };
        assert_eq!(untrue(&trace).len(), 1, "{false_one:?}");
    }
}

#[test]
fn an_unanswered_call_is_found() {
    let mut trace = late::make();
    trace.steps.last_mut().unwrap().actions.clear();
    assert!(untrue(&trace).iter().any(|untrue| untrue.stated == Outcome::AllAnswered));
}

// A running host is recorded step by step, stops as planned, and its neighbour takes the sealed
// ledger over; the file must replay, or the demo's recordings prove nothing.
#[test]
fn a_recorded_host_with_a_hand_over_replays() {
    let out = Shared::default();
    let recorder = SteerRecorder::open(Box::new(out.clone()), "hand-over").unwrap();
    let setup = |host: &str, incarnation| Setup {
        host: host.into(),
        incarnation,
        limits: RouterLimits::default(),
    };
    let (stopping, successor) = (setup("a", 1), setup("b", 2));
    let tracks = [recorder.track(1, &stopping), recorder.track(2, &successor)];
    let mut stopping = Router::new(stopping.host, stopping.incarnation, stopping.limits);
    let mut successor = Router::new(successor.host, successor.incarnation, successor.limits);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for (millis, event) in [(5, Event::Tick), (9, Event::Leave)] {
        let now = Moment::from_millis(millis);
        let actions = stopping.handle(event.clone(), now, &mut rng);
        tracks[0].event(now, &event, &actions);
    }
    let now = Moment::from_millis(10);
    let sealed = stopping.seal(now);
    tracks[0].sealed(now, &sealed);
    let adopted = successor.adopt(sealed.clone(), now);
    tracks[1].adopted(now, &sealed, &adopted);
    recorder.finish().unwrap();
    assert!(recorder.finish().is_err());
    let text = out.0.lock().unwrap().clone();
    let trace: SteerTrace = read(&text[..]).unwrap();
    assert_eq!(replay::<SteerMachine, _>(&trace).unwrap().steps, 4);
}
