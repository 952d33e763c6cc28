use std::{
    io::{self, Write},
    sync::Mutex,
};

use assert_matches::assert_matches;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::prelude::*;

/// Adds what it is given and a random number.
struct Adder {
    rng: ChaCha8Rng,
    sum: u64,
}

impl Machine for Adder {
    type Action = u64;
    type Event = u64;
    type State = u64;

    fn start(seed: u64, state: &u64) -> Self {
        Self { rng: ChaCha8Rng::seed_from_u64(seed), sum: *state }
    }

    fn on(&mut self, event: &u64, now: Duration) -> Vec<u64> {
        self.sum += event + now.as_nanos() as u64 + self.rng.random_range(0..1_000);
        vec![self.sum, 0]
    }
}

type AdderTrace = Trace<u64, u64, u64, String>;

/// A writer whose text is still read after its owner is gone.
#[derive(Clone, Default)]
pub(super) struct Shared(pub(super) Arc<Mutex<Vec<u8>>>);

impl Write for Shared {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn recorded() -> String {
    let out = Shared::default();
    let mut writer = Writer::open(Box::new(out.clone()), "two adders").unwrap();
    let mut adders = Vec::new();
    for seed in [3, 4] {
        assert_eq!(writer.start(seed, &100).unwrap(), adders.len());
        adders.push(Adder::start(seed, &100));
    }
    for step in 0..20 {
        let (machine, now) = (step % 2, Duration::from_nanos(7 * step as u64));
        let actions = adders[machine].on(&5, now);
        writer.step(machine, now, &5_u64, &actions).unwrap();
    }
    writer.outcome(&"adds up").unwrap();
    writer.finish().unwrap();
    let bytes = out.0.lock().unwrap().clone();
    String::from_utf8(bytes).unwrap()
}

fn parse(text: &str) -> Result<AdderTrace, TraceError> {
    read(text.as_bytes())
}

#[test]
fn a_recorded_run_replays() {
    let trace = parse(&recorded()).unwrap();
    assert_eq!(trace.outcomes, ["adds up"]);
    let replayed = replay::<Adder, _>(&trace).unwrap();
    assert_eq!(replayed, Replayed { actions: 40, machines: 2, steps: 20 });
}

#[test]
fn the_first_difference_is_shown_in_context() {
    let mut trace = parse(&recorded()).unwrap();
    trace.steps[9].actions[0] += 1;
    let mismatch = replay::<Adder, _>(&trace).unwrap_err();
    assert_eq!((mismatch.step, mismatch.machine, mismatch.before.len()), (9, 1, 4));
    let text = mismatch.to_string();
    assert!(text.contains(&format!("- {}", trace.steps[9].actions[0])), "{text}");
    assert!(text.contains(&format!("+ {}", trace.steps[9].actions[0] - 1)), "{text}");
}

// A copy was cut short, a line was damaged on the way, or another file was named. The operator
// must learn which it was; a part of a trace that happens to replay must not count as a pass.
#[test]
fn broken_files_get_a_clear_error() {
    let text = recorded();
    let lines: Vec<_> = text.lines().collect();
    let joined = |lines: &[&str]| lines.join("\n");
    assert_matches!(parse(""), Err(TraceError::Empty));
    assert_matches!(parse("{}"), Err(TraceError::Foreign { .. }));
    assert_matches!(parse("PK\u{3}\u{4}"), Err(TraceError::Foreign { .. }));
    assert_matches!(parse(&joined(&lines[..1])), Err(TraceError::Truncated { steps: 0 }));
    assert_matches!(parse(&joined(&lines[..8])), Err(TraceError::Truncated { steps: 5 }));
    assert_matches!(parse(&text[..text.len() - 5]), Err(TraceError::Damaged { .. }));
    let without_step = [&lines[..5], &lines[6..]].concat();
    assert_matches!(parse(&joined(&without_step)), Err(TraceError::Order { .. }));
    let without_start = [&lines[..1], &lines[2..]].concat();
    assert_matches!(parse(&joined(&without_start)), Err(TraceError::Order { .. }));
    assert_matches!(parse(&format!("{text}{}", lines[4])), Err(TraceError::Order { .. }));
    let newer = text.replacen("\"version\":1", "\"version\":2", 1);
    assert_matches!(parse(&newer), Err(TraceError::Version { found: 2 }));
    let unknown = text.replacen("\"machine\"", "\"engine\"", 1);
    assert_matches!(parse(&unknown), Err(TraceError::Damaged { line: 2, .. }));
    let long = format!("{}{}", text, "x".repeat(MAX_LINE + 1));
    assert_matches!(parse(&long), Err(TraceError::TooLong { .. }));
}
