//! Messages, traces, events and headers from anywhere: read or refused, never a panic.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
};

use lavenderplank::{
    base::{Binding, Moment},
    drain::DrainRecord,
    ledger::{Ledger, LedgerLimits, SealedLedger, SealedPart},
    membership::{Digest, SimulatedFleet},
    operator::{Explanation, HostStatus},
    peer::{
        DrainOrder, Envelope, ExplainRequest, HandoverAck, HandoverChunk, ManifestReply, PartReply,
        PartRequest, UndrainOrder,
    },
    quarantine::QuarantineMark,
    routing,
    timeline::{Event, EventKind, EventSink, Filter, Recorder, read_lines},
    trace::{Input, PANICKED, SteerMachine, SteerTrace, read, replay, scenario, untrue},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use serde::de::DeserializeOwned;

const CASES: u32 = 400;

/// The same cases in every run.
fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]))
}

/// A text with a run of bytes replaced by others, or with one of its numbers replaced by one at the
/// end of a range: those read well and overflow what is counted with them.
fn damaged(text: Arc<[u8]>) -> impl Strategy<Value = Vec<u8>> {
    let part = prop_oneof![
        "[-{}\\[\\]\",:eE.0-9]{0,8}".prop_map(String::into_bytes),
        proptest::collection::vec(any::<u8>(), 0..6),
    ];
    let bytes = text.clone();
    let run = (0..text.len(), 0..12_usize, part).prop_map(move |(start, len, part)| {
        splice(&bytes, start, (start + len).min(bytes.len()), &part)
    });
    let numbers = numbers(&text);
    let extreme = proptest::sample::select(EXTREMES.to_vec());
    let number = (0..numbers.len().max(1), extreme).prop_map(move |(index, extreme)| {
        let (start, end) = numbers.get(index).copied().unwrap_or_default();
        splice(&text, start, end, extreme.as_bytes())
    });
    prop_oneof![1 => run, 2 => number]
}

const EXTREMES: [&str; 7] =
    ["0", "1", "-1", "4294967295", "999999999999", "18446744073709551614", "18446744073709551615"];

fn splice(text: &[u8], start: usize, end: usize, part: &[u8]) -> Vec<u8> {
    [&text[..start], part, &text[end..]].concat()
}

/// Where the numbers of a JSON text stand.
fn numbers(text: &[u8]) -> Vec<(usize, usize)> {
    let mut found = Vec::new();
    let mut start = None;
    for (index, byte) in text.iter().enumerate() {
        let begins = index != 0 && b":[,".contains(&text[index - 1]);
        match (byte.is_ascii_digit(), start) {
            (true, None) if begins => start = Some(index),
            (false, Some(begin)) => {
                found.push((begin, index));
                start = None;
            }
            _ => {}
        }
    }
    found
}

#[derive(Clone, Default)]
struct Shared(Arc<Mutex<Vec<u8>>>);

impl Write for Shared {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no holder panics").write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn trace_text(name: &str) -> Arc<[u8]> {
    let found = scenario::ALL.iter().find(|scenario| scenario.name == name);
    let out = Shared::default();
    let trace = (found.expect("a scenario of that name").make)();
    trace.write(Box::new(out.clone())).expect("memory takes it");
    let text = out.0.lock().expect("no holder panics").clone();
    text.into()
}

// A trace was damaged on its way. Whatever it now says is read and replayed, or refused; the
// decisions run in the same program, so that an input which makes them panic is found here too.
#[test]
fn damaged_traces_are_replayed_or_refused() {
    let text = trace_text("late-and-crossed-answers");
    let check = |bytes: Vec<u8>| {
        if let Ok(trace) = read(&bytes[..]) {
            let trace: SteerTrace = trace;
            let _ = untrue(&trace);
            let replayed = replay::<SteerMachine, _>(&trace);
            let panicked = replayed.is_err_and(|found| found.decided == [PANICKED]);
            prop_assert!(!panicked || !is_plausible(&trace));
        }
        Ok(())
    };
    runner(CASES).run(&damaged(text), check).unwrap();
}

/// Whether a host could run so: what settings and manifest may say is checked before.
fn is_plausible(trace: &SteerTrace) -> bool {
    let year = Moment::from_secs(365 * 86_400);
    let limits = trace.starts.iter().map(|start| &start.state.limits);
    let times = limits.flat_map(|limits| [limits.hold, limits.ledger.generation_age]);
    let views = trace.steps.iter().filter_map(|step| match &step.event {
        Input::Event(routing::Event::Viewed { view }) => Some(view),
        _ => None,
    });
    times.into_iter().all(|time| time < year)
        && views.into_iter().all(|view| view.manifest.check().is_empty())
}

#[test]
fn cut_traces_are_refused() {
    let text = trace_text("platform-away");
    let check = |len: usize| {
        let result: Result<SteerTrace, _> = read(&text[..len]);
        // Only the last line end may be missing.
        prop_assert!(result.is_err() || len + 1 == text.len());
        Ok(())
    };
    runner(CASES).run(&(0..text.len()), check).unwrap();
}

#[test]
fn events_are_read_or_refused() {
    let recorder = Recorder::new("agency".into(), "zg-1".into(), u64::MAX, 100);
    recorder.record(Some(&"r".into()), EventKind::Arrived { hops: 1, service: "s".into() });
    recorder.record(None, EventKind::LeaseTaken { fence: 7, zone: "z".into() });
    let lines = recorder.events(&Filter::default());
    let lines = lines.iter().map(|event| serde_json::to_string(event).unwrap() + "\n");
    let text: Arc<[u8]> = lines.collect::<String>().into_bytes().into();
    let check = |bytes: Vec<u8>| {
        let _ = read_lines(&bytes[..]);
        let _ = serde_json::from_slice::<Event>(&bytes);
        let _ = serde_json::from_slice::<Filter>(&bytes);
        Ok(())
    };
    runner(CASES).run(&damaged(text), check).unwrap();
}

/// Reads the bytes as each message that a peer or an operator may send.
fn read_as_all(bytes: &[u8]) {
    fn one<T: DeserializeOwned>(bytes: &[u8]) {
        let _ = serde_json::from_slice::<T>(bytes);
    }
    one::<Vec<DrainRecord>>(bytes);
    one::<DrainOrder>(bytes);
    one::<Explanation>(bytes);
    one::<ExplainRequest>(bytes);
    one::<HandoverAck>(bytes);
    one::<HandoverChunk>(bytes);
    one::<HostStatus>(bytes);
    one::<ManifestReply>(bytes);
    one::<QuarantineMark>(bytes);
    one::<PartReply>(bytes);
    one::<PartRequest>(bytes);
    one::<SealedPart>(bytes);
    one::<UndrainOrder>(bytes);
    if let Ok(envelope) = serde_json::from_slice::<Envelope>(bytes) {
        let _ = envelope.decode::<Digest>(&"agency".into());
    }
}

#[test]
fn any_bytes_are_read_or_refused_as_messages() {
    let bytes = prop_oneof![
        proptest::collection::vec(any::<u8>(), 0..200),
        "[\\[\\]{}\",:a-z0-9]{0,200}".prop_map(String::into_bytes),
    ];
    let check = |bytes: Vec<u8>| {
        read_as_all(&bytes);
        Ok(())
    };
    runner(CASES).run(&bytes, check).unwrap();
}

// A peer of another release, or one with a fault, sends a digest that reads well and says
// nonsense: counters at their end, times of any size. The host must live on and know itself.
#[test]
fn damaged_digests_do_not_bring_a_host_down() {
    let mut fleet = SimulatedFleet::new(3, 3, 7);
    fleet.run(Moment::from_secs(20));
    let now = fleet.now;
    let host = &fleet.nodes[0].membership;
    let peers = [&fleet.nodes[3].membership, &fleet.nodes[1].membership];
    let texts = peers.map(|peer| {
        let mut digest = peer.digest(now);
        let entries = host.clone().receive(&peer.digest(now), now);
        digest.zone_hosts = entries.zone_hosts;
        digest.hosts = entries.hosts;
        Arc::<[u8]>::from(serde_json::to_vec(&digest).unwrap())
    });
    let own = host.own().id.clone();
    let check = |bytes: Vec<u8>| {
        read_as_all(&bytes);
        let Ok(digest) = serde_json::from_slice::<Digest>(&bytes) else { return Ok(()) };
        let mut host = host.clone();
        let answer = host.receive(&digest, now);
        host.apply_response(digest, now);
        for secs in 1..30 {
            host.tick(now + Moment::from_secs(secs));
        }
        prop_assert_eq!(&answer.from.view.id, &own);
        prop_assert!(host.hosts(now).iter().any(|found| found.id == own));
        Ok(())
    };
    let [near, far] = texts;
    runner(CASES).run(&prop_oneof![damaged(near), damaged(far)], check).unwrap();
}

#[test]
fn damaged_ledgers_are_taken_over_or_refused() {
    let now = Moment::from_secs(5);
    let mut stopped = Ledger::new("a".into(), 1, LedgerLimits::default());
    let (binding, request) = (stopped.binding(), "r".into());
    for key in ["k1", "k2"] {
        stopped.begin(&binding, &key.into(), [1; 16], &request, now);
    }
    let text: Arc<[u8]> = serde_json::to_vec(&stopped.seal(now)).unwrap().into();
    let check = |bytes: Vec<u8>| {
        let Ok(sealed) = serde_json::from_slice::<SealedLedger>(&bytes) else { return Ok(()) };
        let mut successor = Ledger::new("b".into(), 2, LedgerLimits::default());
        if successor.adopt(sealed, now).is_ok() {
            successor.begin(&binding, &"k1".into(), [1; 16], &request, now);
            successor.rotate(now + Moment::from_secs(100_000));
        }
        Ok(())
    };
    runner(CASES).run(&damaged(text), check).unwrap();
}

#[test]
fn bindings_are_read_back_or_refused() {
    let texts = prop_oneof!["\\PC{0,60}", "[a-z0-9/]{0,60}", "[a-z]{1,5}/[0-9a-f]{16}/[0-9]{1,12}"];
    let check = |text: String| {
        if let Ok(binding) = text.parse::<Binding>() {
            prop_assert_eq!(binding.to_string().parse::<Binding>(), Ok(binding));
        }
        Ok(())
    };
    runner(2 * CASES).run(&texts, check).unwrap();
}
