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

struct TestLedger {
    ledger: Ledger,
    now: Moment,
}

impl TestLedger {
    fn new(name: &str, incarnation: Incarnation) -> Self {
        Self { ledger: Ledger::new(name.into(), incarnation, limits()), now: Moment::ZERO }
    }

    fn begin(&mut self, binding: &Binding, key: &str, body: &str) -> BeginOutcome {
        let digest = request_digest("POST", "/seats", body.as_bytes());
        self.ledger.begin(binding, &key.into(), digest, &"r".into(), self.now)
    }

    fn end(&mut self, binding: &Binding, key: &str, end: ExecutionOutcome) {
        self.ledger.end(binding, &key.into(), end, self.now);
    }

    fn begin_accepted(&mut self, key: &str) -> Binding {
        let binding = self.ledger.binding();
        assert_eq!(self.begin(&binding, key, "body"), BeginOutcome::Accepted);
        binding
    }
}

fn answer(bytes: usize) -> Arc<KeptAnswer> {
    Arc::new(KeptAnswer { body: Bytes::from(vec![b'x'; bytes]), headers: Vec::new(), status: 201 })
}

#[test]
fn a_resend_gets_the_recorded_outcome_and_never_runs_again() {
    for (end, expected) in [
        (None, BeginOutcome::Running),
        (Some(ExecutionOutcome::Answered(answer(10))), BeginOutcome::Kept(answer(10))),
        (
            Some(ExecutionOutcome::Answered(answer(5_000))),
            BeginOutcome::AnswerNotKept { status: 201 },
        ),
        (Some(ExecutionOutcome::NotRun), BeginOutcome::Refused),
        (Some(ExecutionOutcome::Unknown), BeginOutcome::OutcomeUnknown),
    ] {
        let mut host = TestLedger::new("a", 1);
        let binding = host.begin_accepted("k");
        if let Some(end) = end {
            host.end(&binding, "k", end);
        }
        assert_eq!(host.begin(&binding, "k", "other body"), BeginOutcome::Conflict);
        assert_eq!(host.begin(&binding, "k", "body"), expected);
    }
}

#[test]
fn unknown_bindings_never_run() {
    let mut host = TestLedger::new("a", 1);
    let own = host.ledger.binding();
    let unknown = [
        Binding { incarnation: 2, ..own.clone() },
        Binding { host: "b".into(), ..own.clone() },
        Binding { generation: 1, ..own },
    ];
    for binding in unknown {
        assert_eq!(host.begin(&binding, "k", "body"), BeginOutcome::UnknownBinding, "{binding}");
    }
}

/// The caller resends a request long after its binding was issued. The generation has been dropped
/// to bound memory, so the ledger can't know whether the request ran and must not run it. A request
/// that is running when its generation is dropped is still found.
#[test]
fn a_dropped_generation_is_unknown_but_running_requests_are_found() {
    let mut host = TestLedger::new("a", 1);
    let old = host.begin_accepted("done");
    host.end(&old, "done", ExecutionOutcome::Answered(answer(10)));
    host.begin_accepted("running");
    host.now = 10 * SECOND;
    assert_matches!(host.begin(&old, "done", "body"), BeginOutcome::Kept(_));
    assert_eq!(host.begin(&old, "late", "body"), BeginOutcome::Accepted);
    host.now = 20 * SECOND;
    assert_eq!(host.begin(&old, "done", "body"), BeginOutcome::GenerationDropped);
    assert_eq!(host.begin(&old, "new", "body"), BeginOutcome::GenerationDropped);
    assert_eq!(host.begin(&old, "running", "body"), BeginOutcome::Running);
    assert_eq!(host.ledger.answer_bytes(), 0);
    host.end(&old, "running", ExecutionOutcome::NotRun);
    host.end(&old, "late", ExecutionOutcome::Unknown);
    host.now = 30 * SECOND;
    assert_eq!(host.begin(&old, "running", "body"), BeginOutcome::GenerationDropped);
    assert!(host.ledger.is_empty());
}

#[test]
fn a_full_ledger_rejects_new_keys_and_keeps_old_ones() {
    let mut host = TestLedger::new("a", 1);
    let binding = host.ledger.binding();
    for key in ["1", "2", "3", "4"] {
        host.begin_accepted(key);
    }
    assert_eq!(host.begin(&binding, "5", "body"), BeginOutcome::Full);
    assert_eq!(host.begin(&binding, "1", "body"), BeginOutcome::Running);
}

/// A full ledger rejects a key, and the caller retries under a new binding. Once there is room
/// again, a delayed copy of the first request arrives. It must not run in addition to the retry.
#[test]
fn a_key_rejected_by_a_full_ledger_never_runs_under_that_binding() {
    let mut host = TestLedger::new("a", 1);
    host.now = 5 * SECOND;
    for key in ["1", "2", "3", "4"] {
        let binding = host.begin_accepted(key);
        host.end(&binding, key, ExecutionOutcome::Unknown);
    }
    host.now = 15 * SECOND;
    host.ledger.rotate(host.now);
    let refused = host.ledger.binding();
    assert_eq!(refused.generation, 1);
    assert_eq!(host.begin(&refused, "5", "body"), BeginOutcome::Full);
    host.now = 20 * SECOND;
    assert_eq!(host.begin(&refused, "5", "body"), BeginOutcome::Full);
    let reopened = host.begin_accepted("5");
    assert_eq!(reopened.generation, 2);
}

#[test]
fn beyond_the_byte_limit_only_the_status_of_the_oldest_answers_is_kept() {
    let mut host = TestLedger::new("a", 1);
    let binding = host.ledger.binding();
    for key in ["1", "2", "3"] {
        host.begin_accepted(key);
        host.end(&binding, key, ExecutionOutcome::Answered(answer(300)));
    }
    assert_eq!(host.begin(&binding, "1", "body"), BeginOutcome::AnswerNotKept { status: 201 });
    assert_eq!(host.begin(&binding, "2", "body"), BeginOutcome::Kept(answer(300)));
    assert!(host.ledger.answer_bytes() <= limits().answer_bytes);
}

/// A host stops as planned while callers still resend to it. Two successors adopt its sealed
/// ledger, since the first acknowledgement was lost. Both must give the same answers, and neither
/// may run a key that the stopped host had not accepted: the other one might run it as well.
#[test]
fn successors_answer_for_a_stopped_host_and_run_none_of_its_keys() {
    let mut old = TestLedger::new("a", 1);
    let binding = old.begin_accepted("answered");
    old.end(&binding, "answered", ExecutionOutcome::Answered(answer(10)));
    old.begin_accepted("running");
    old.begin_accepted("not-run");
    old.end(&binding, "not-run", ExecutionOutcome::NotRun);
    let sealed = old.ledger.seal(old.now);
    assert_eq!(old.begin(&binding, "new", "body"), BeginOutcome::Sealed);
    assert_eq!(old.begin(&binding, "not-run", "body"), BeginOutcome::Refused);
    old.end(&binding, "running", ExecutionOutcome::Unknown);
    for mut successor in [TestLedger::new("b", 2), TestLedger::new("c", 3)] {
        successor.ledger.adopt(sealed.clone(), successor.now).unwrap();
        successor.ledger.adopt(sealed.clone(), successor.now).unwrap();
        assert_eq!(successor.ledger.adopted_incarnations(), [1]);
        assert_matches!(successor.begin(&binding, "answered", "body"), BeginOutcome::Kept(_));
        assert_eq!(successor.begin(&binding, "answered", "other"), BeginOutcome::Conflict);
        assert_eq!(successor.begin(&binding, "running", "body"), BeginOutcome::OutcomeUnknown);
        assert_eq!(successor.begin(&binding, "not-run", "body"), BeginOutcome::Refused);
        assert_eq!(successor.begin(&binding, "new", "body"), BeginOutcome::Sealed);
        successor.now = 20 * SECOND;
        assert_eq!(successor.begin(&binding, "answered", "body"), BeginOutcome::UnknownBinding);
        assert_eq!(successor.ledger.answer_bytes(), 0);
    }
}

#[test]
fn a_sealed_ledger_is_adopted_completely_or_not_at_all() {
    let mut old = TestLedger::new("a", 1);
    let binding = old.begin_accepted("k");
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
    let mut own = TestLedger::new("a", 1);
    assert_eq!(own.ledger.adopt(sealed, own.now), Err(Error::OwnIncarnation(1)));
    assert!(own.ledger.is_empty() && full.adopted_incarnations().is_empty());
}
