use std::{
    io::{self, Write},
    sync::Mutex,
};

use super::*;
use crate::{
    prelude::*,
    trace::{Outcome, SteerMachine, Told, read, replay, untrue},
};

#[derive(Clone, Default)]
struct Shared(Arc<Mutex<Vec<u8>>>);

impl Write for Shared {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

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
