use assert_matches::assert_matches;
use bytes::Bytes;

use super::*;
use crate::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn limits() -> LedgerLimits {
    LedgerLimits {
        adopted_entries: 8,
        answer_bytes: 1_000,
        entries: 4,
        generation_age: 10 * SECOND,
        generations: 2,
    }
}

struct Bench {
    ledger: Ledger,
    now: Moment,
}

impl Bench {
    fn new(host: &str, incarnation: Incarnation) -> Self {
        Self { ledger: Ledger::new(host.into(), incarnation, limits()), now: Moment::ZERO }
    }

    fn begin(&mut self, binding: &Binding, key: &str, body: &str) -> BeginOutcome {
        let digest = request_digest("POST", "/seats", body.as_bytes());
        self.ledger.begin(binding, &key.into(), digest, &"r".into(), self.now)
    }

    fn end(&mut self, binding: &Binding, key: &str, end: ExecutionOutcome) {
        self.ledger.end(binding, &key.into(), end, self.now);
    }

    fn fresh(&mut self, key: &str) -> Binding {
        let binding = self.ledger.binding();
        assert_eq!(self.begin(&binding, key, "body"), BeginOutcome::Accepted);
        binding
    }
}

fn answer(bytes: usize) -> Arc<KeptAnswer> {
    Arc::new(KeptAnswer { body: Bytes::from(vec![b'x'; bytes]), headers: Vec::new(), status: 201 })
}

#[test]
fn a_resend_is_told_what_is_known_and_never_runs_again() {
    for (end, told) in [
        (None, BeginOutcome::Running),
        (Some(ExecutionOutcome::Answered(answer(10))), BeginOutcome::Kept(answer(10))),
        (
            Some(ExecutionOutcome::Answered(answer(5_000))),
            BeginOutcome::AnswerNotKept { status: 201 },
        ),
        (Some(ExecutionOutcome::NotRun), BeginOutcome::Refused),
        (Some(ExecutionOutcome::Unknown), BeginOutcome::OutcomeUnknown),
    ] {
        let mut bench = Bench::new("a", 1);
        let binding = bench.fresh("k");
        if let Some(end) = end {
            bench.end(&binding, "k", end);
        }
        assert_eq!(bench.begin(&binding, "k", "other body"), BeginOutcome::Conflict);
        assert_eq!(bench.begin(&binding, "k", "body"), told);
    }
}

#[test]
fn strange_bindings_never_run() {
    let mut bench = Bench::new("a", 1);
    let own = bench.ledger.binding();
    let strange = [
        Binding { incarnation: 2, ..own.clone() },
        Binding { host: "b".into(), ..own.clone() },
        Binding { generation: 1, ..own },
    ];
    for binding in strange {
        assert_eq!(bench.begin(&binding, "k", "body"), BeginOutcome::UnknownBinding, "{binding}");
    }
}

/// The caller resends a booking long after its binding was given out. The generation has been
/// dropped to bound memory, so the ledger can't know, and must not run it. A request that runs
/// across the drop is still found.
#[test]
fn a_dropped_generation_is_unknown_but_what_runs_is_found() {
    let mut bench = Bench::new("a", 1);
    let old = bench.fresh("done");
    bench.end(&old, "done", ExecutionOutcome::Answered(answer(10)));
    bench.fresh("running");
    bench.now = 10 * SECOND;
    assert_matches!(bench.begin(&old, "done", "body"), BeginOutcome::Kept(_));
    assert_eq!(bench.begin(&old, "late", "body"), BeginOutcome::Accepted);
    bench.now = 20 * SECOND;
    assert_eq!(bench.begin(&old, "done", "body"), BeginOutcome::GenerationDropped);
    assert_eq!(bench.begin(&old, "new", "body"), BeginOutcome::GenerationDropped);
    assert_eq!(bench.begin(&old, "running", "body"), BeginOutcome::Running);
    assert_eq!(bench.ledger.answer_bytes(), 0);
    bench.end(&old, "running", ExecutionOutcome::NotRun);
    bench.end(&old, "late", ExecutionOutcome::Unknown);
    bench.now = 30 * SECOND;
    assert_eq!(bench.begin(&old, "running", "body"), BeginOutcome::GenerationDropped);
    assert!(bench.ledger.is_empty());
}

#[test]
fn a_full_ledger_refuses_new_keys_and_keeps_the_old() {
    let mut bench = Bench::new("a", 1);
    let binding = bench.ledger.binding();
    for key in ["1", "2", "3", "4"] {
        bench.fresh(key);
    }
    assert_eq!(bench.begin(&binding, "5", "body"), BeginOutcome::Full);
    assert_eq!(bench.begin(&binding, "1", "body"), BeginOutcome::Running);
}

/// A key is refused for want of room, and its caller books under a new binding. Room comes back,
/// and then a late copy of the first request. It must not run beside the second.
#[test]
fn a_key_refused_for_want_of_room_never_runs_under_that_binding() {
    let mut bench = Bench::new("a", 1);
    bench.now = 5 * SECOND;
    for key in ["1", "2", "3", "4"] {
        let binding = bench.fresh(key);
        bench.end(&binding, key, ExecutionOutcome::Unknown);
    }
    bench.now = 15 * SECOND;
    bench.ledger.rotate(bench.now);
    let refused = bench.ledger.binding();
    assert_eq!(refused.generation, 1);
    assert_eq!(bench.begin(&refused, "5", "body"), BeginOutcome::Full);
    bench.now = 20 * SECOND;
    assert_eq!(bench.begin(&refused, "5", "body"), BeginOutcome::Full);
    let reopened = bench.fresh("5");
    assert_eq!(reopened.generation, 2);
}

#[test]
fn past_the_byte_limit_the_oldest_answers_become_facts() {
    let mut bench = Bench::new("a", 1);
    let binding = bench.ledger.binding();
    for key in ["1", "2", "3"] {
        bench.fresh(key);
        bench.end(&binding, key, ExecutionOutcome::Answered(answer(300)));
    }
    assert_eq!(bench.begin(&binding, "1", "body"), BeginOutcome::AnswerNotKept { status: 201 });
    assert_eq!(bench.begin(&binding, "2", "body"), BeginOutcome::Kept(answer(300)));
    assert!(bench.ledger.answer_bytes() <= limits().answer_bytes);
}

/// A host stops as planned while callers still resend to it. Its sealed ledger goes to two
/// successors, since the first acknowledgement was lost. Both tell the same, and neither runs a
/// key that the stopped host had not taken: the other one might run it as well.
#[test]
fn successors_answer_for_a_stopped_host_and_run_nothing_of_it() {
    let mut old = Bench::new("a", 1);
    let binding = old.fresh("answered");
    old.end(&binding, "answered", ExecutionOutcome::Answered(answer(10)));
    old.fresh("running");
    old.fresh("not-run");
    old.end(&binding, "not-run", ExecutionOutcome::NotRun);
    let sealed = old.ledger.seal(old.now);
    assert_eq!(old.begin(&binding, "new", "body"), BeginOutcome::Sealed);
    assert_eq!(old.begin(&binding, "not-run", "body"), BeginOutcome::Refused);
    old.end(&binding, "running", ExecutionOutcome::Unknown);
    for mut heir in [Bench::new("b", 2), Bench::new("c", 3)] {
        heir.ledger.adopt(sealed.clone(), heir.now).unwrap();
        heir.ledger.adopt(sealed.clone(), heir.now).unwrap();
        assert_eq!(heir.ledger.adopted_incarnations(), [1]);
        assert_matches!(heir.begin(&binding, "answered", "body"), BeginOutcome::Kept(_));
        assert_eq!(heir.begin(&binding, "answered", "other"), BeginOutcome::Conflict);
        assert_eq!(heir.begin(&binding, "running", "body"), BeginOutcome::OutcomeUnknown);
        assert_eq!(heir.begin(&binding, "not-run", "body"), BeginOutcome::Refused);
        assert_eq!(heir.begin(&binding, "new", "body"), BeginOutcome::Sealed);
        heir.now = 20 * SECOND;
        assert_eq!(heir.begin(&binding, "answered", "body"), BeginOutcome::UnknownBinding);
        assert_eq!(heir.ledger.answer_bytes(), 0);
    }
}

#[test]
fn a_sealed_ledger_passes_whole_or_not_at_all() {
    let mut old = Bench::new("a", 1);
    let binding = old.fresh("k");
    old.end(&binding, "k", ExecutionOutcome::Answered(answer(200)));
    let sealed = old.ledger.seal(old.now);
    let parts = sealed.split(100);
    assert!(3 < parts.len());
    let shuffled = parts.iter().rev().chain(&parts[..2]).cloned();
    assert_eq!(SealedLedger::join(shuffled), Ok(sealed.clone()));

    let mut damaged = parts.clone();
    damaged[1].data = parts[2].data.clone();
    assert_matches!(SealedLedger::join(damaged), Err(Error::Damaged(_)));
    assert_matches!(SealedLedger::join(parts[1..].to_vec()), Err(Error::Damaged(_)));
    assert_matches!(SealedLedger::join([]), Err(Error::Damaged(_)));

    let mut full = Ledger::new("b".into(), 2, LedgerLimits { adopted_entries: 0, ..limits() });
    assert_eq!(full.adopt(sealed.clone(), old.now), Err(Error::NoRoom(1)));
    assert_eq!(old.ledger.adopt(sealed.clone(), old.now), Err(Error::Sealed));
    let mut own = Bench::new("a", 1);
    assert_eq!(own.ledger.adopt(sealed, own.now), Err(Error::OwnIncarnation(1)));
    assert!(own.ledger.is_empty() && full.adopted_incarnations().is_empty());
}
