//! The ledger against a model that knows what each target ran.
//!
//! Callers book through a network that loses, delays, repeats and reorders; hosts crash, stop as
//! planned and hand over their ledgers; dispatches hang between entry and target. Whatever comes,
//! a booking runs at most once, and what its caller is told is true.

#![expect(clippy::unwrap_used, reason = "a step of a test that fails, fails the test")]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use lavenderplank::{
    base::{Binding, Incarnation, Moment, invariant},
    ledger::{
        BeginOutcome, ExecutionOutcome, KeptAnswer, Ledger, LedgerLimits, SealedLedger,
        request_digest,
    },
};
use proptest::{
    collection,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner},
};

const CALLERS: usize = 12;
const CASES: u32 = 200;
const HOSTS: usize = 3;
const STEPS: usize = 500;

const LIMITS: LedgerLimits = LedgerLimits {
    adopted_entries: 6,
    answer_bytes: 400,
    entries: 5,
    generation_age: Duration::from_secs(10),
    generations: 2,
};

/// One step; numbers choose among what there is at the time.
#[derive(Clone, Copy, Debug)]
enum Op {
    Adopt {
        message: usize,
        heir: usize,
        again: bool,
    },
    Crash {
        host: usize,
    },
    Deliver {
        message: usize,
        host: usize,
        again: bool,
        body: bool,
    },
    Dispatch {
        entry: usize,
    },
    Hear {
        reply: usize,
        again: bool,
    },
    Lose {
        message: usize,
    },
    /// The caller gives up on its booking and starts another one.
    Next {
        caller: usize,
    },
    Send {
        caller: usize,
        host: usize,
    },
    Stop {
        host: usize,
    },
    Target {
        dispatch: usize,
        fate: Fate,
    },
    Wait {
        secs: u64,
    },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    Answered,
    LostAfterRun,
    LostBeforeRun,
    NotRun,
}

fn op() -> impl Strategy<Value = Op> {
    let some = 0usize..1_000;
    let fate = prop_oneof![
        3 => Just(Fate::Answered),
        1 => Just(Fate::LostAfterRun),
        1 => Just(Fate::LostBeforeRun),
        1 => Just(Fate::NotRun),
    ];
    prop_oneof![
        2 => (some.clone(), 0..HOSTS, any::<bool>())
            .prop_map(|(message, heir, again)| Op::Adopt { message, heir, again }),
        2 => (0..HOSTS).prop_map(|host| Op::Crash { host }),
        20 => (some.clone(), 0..HOSTS, prop::bool::weighted(0.3), prop::bool::weighted(0.95))
            .prop_map(|(message, host, again, body)| Op::Deliver { message, host, again, body }),
        14 => some.clone().prop_map(|entry| Op::Dispatch { entry }),
        14 => (some.clone(), prop::bool::weighted(0.2))
            .prop_map(|(reply, again)| Op::Hear { reply, again }),
        3 => some.clone().prop_map(|message| Op::Lose { message }),
        6 => (0..CALLERS).prop_map(|caller| Op::Next { caller }),
        20 => (0..CALLERS, 0..HOSTS).prop_map(|(caller, host)| Op::Send { caller, host }),
        1 => (0..HOSTS).prop_map(|host| Op::Stop { host }),
        14 => (some, fate).prop_map(|(dispatch, fate)| Op::Target { dispatch, fate }),
        2 => (0u64..4).prop_map(|secs| Op::Wait { secs }),
    ]
}

struct Host {
    incarnation: Incarnation,
    ledger: Ledger,
}

/// A booking on its way to its owner, on its way to a target, or being answered.
#[derive(Clone, Debug)]
struct Message {
    binding: Binding,
    key: usize,
}

#[derive(Default)]
struct Model {
    bindings: BTreeMap<usize, Binding>,
    dispatches: Vec<Message>,
    entries: Vec<Message>,
    hosts: Vec<Host>,
    incarnations: Incarnation,
    /// Told that this binding will never run this key.
    never: BTreeSet<(Binding, usize)>,
    now: Moment,
    replies: Vec<Message>,
    requests: Vec<Message>,
    rounds: BTreeMap<usize, usize>,
    runs: BTreeMap<usize, Vec<Binding>>,
    sealed: Vec<SealedLedger>,
    seen: BTreeMap<&'static str, usize>,
}

impl Model {
    fn new() -> Self {
        let mut model = Self::default();
        for number in 0..HOSTS {
            let host = model.boot(number);
            model.hosts.push(host);
        }
        model
    }

    fn boot(&mut self, number: usize) -> Host {
        self.incarnations += 1;
        let incarnation = self.incarnations;
        let name = format!("host-{number}");
        let mut ledger = Ledger::new(name.into(), incarnation, LIMITS);
        ledger.rotate(self.now);
        Host { incarnation, ledger }
    }

    fn step(&mut self, op: Op) {
        match op {
            Op::Adopt { message, heir, again } => self.adopt(message, heir, again),
            Op::Crash { host } => self.restart(host),
            Op::Deliver { message, host, again, body } => {
                if let Some(request) = take(&mut self.requests, message, again) {
                    self.arrive(request, host, body);
                }
            }
            Op::Dispatch { entry } => {
                if let Some(entry) = take(&mut self.entries, entry, false) {
                    self.dispatches.push(entry);
                }
            }
            Op::Hear { reply, again } => {
                if let Some(message) = take(&mut self.replies, reply, again) {
                    self.hear(&message);
                }
            }
            Op::Lose { message } => drop(take(&mut self.requests, message, false)),
            Op::Next { caller } => *self.rounds.entry(caller).or_default() += 1,
            Op::Send { caller, host } => self.send(caller, host),
            // It answers on until it exits, which is the next crash: the hand-over may be slow.
            Op::Stop { host } => {
                let sealed = self.hosts[host].ledger.seal(self.now);
                self.sealed.push(SealedLedger::join(sealed.split(64)).unwrap());
            }
            Op::Target { dispatch, fate } => {
                if let Some(message) = take(&mut self.dispatches, dispatch, false) {
                    self.target(message, fate);
                }
            }
            Op::Wait { secs } => {
                self.now += Duration::from_secs(secs);
                self.hosts.iter_mut().for_each(|host| host.ledger.rotate(self.now));
            }
        }
        assert_eq!(invariant::take_violations(), []);
    }

    /// Entries that were not dispatched die with the process; dispatches are on the wire.
    fn restart(&mut self, host: usize) {
        let dead = self.hosts[host].incarnation;
        self.entries.retain(|entry| entry.binding.incarnation != dead);
        self.hosts[host] = self.boot(host);
    }

    fn adopt(&mut self, message: usize, heir: usize, again: bool) {
        let Some(sealed) = take(&mut self.sealed, message, again) else { return };
        let now = self.now;
        let told = self.hosts[heir].ledger.adopt(sealed, now);
        self.see(if told.is_ok() { "adopted" } else { "adoption refused" });
    }

    fn send(&mut self, caller: usize, host: usize) {
        let round = self.rounds.get(&caller).copied().unwrap_or_default();
        let key = round * CALLERS + caller;
        let fresh = self.hosts[host].ledger.binding();
        let binding = self.bindings.entry(key).or_insert(fresh).clone();
        self.requests.push(Message { binding, key });
    }

    /// The caller takes a new binding only when told that the old one will never run its key.
    fn hear(&mut self, message: &Message) {
        if self.bindings.get(&message.key) == Some(&message.binding) {
            self.bindings.remove(&message.key);
        }
    }

    /// A host carries the request to the owner or to one that took over; else it is a stranger.
    fn arrive(&mut self, request: Message, host: usize, same_body: bool) {
        let incarnation = request.binding.incarnation;
        let answers = |host: &Host| {
            host.incarnation == incarnation
                || host.ledger.adopted_incarnations().contains(&incarnation)
        };
        let owners: Vec<usize> = (0..HOSTS).filter(|at| answers(&self.hosts[*at])).collect();
        let owner = if owners.is_empty() { host } else { owners[host % owners.len()] };
        let Message { binding, key } = &request;
        let body = request_digest("POST", "/", if same_body { b"one" } else { b"two" });
        let now = self.now;
        let ledger = &mut self.hosts[owner].ledger;
        let begin = ledger.begin(binding, &key.to_string().into(), body, &"r".into(), now);
        match begin {
            BeginOutcome::Conflict => self.see("conflict"),
            BeginOutcome::GenerationDropped => self.see("dropped"),
            BeginOutcome::Accepted => {
                self.see("fresh");
                self.entries.push(request);
            }
            BeginOutcome::Full => self.tell_never(request, "full"),
            BeginOutcome::Kept(kept) => {
                self.see("kept");
                assert_eq!(kept.body, key.to_string(), "another booking's answer");
                assert!(self.ran_under(&request), "kept an answer of nothing");
            }
            BeginOutcome::AnswerNotKept { .. } => {
                self.see("fact");
                assert!(self.ran_under(&request), "a fact of nothing");
            }
            BeginOutcome::Refused => self.tell_never(request, "refused"),
            BeginOutcome::Running => self.see("running"),
            BeginOutcome::Sealed => self.tell_never(request, "sealed"),
            BeginOutcome::UnknownBinding => self.see("stranger"),
            BeginOutcome::OutcomeUnknown => self.see("unknown"),
        }
    }

    fn tell_never(&mut self, request: Message, kind: &'static str) {
        self.see(kind);
        assert!(!self.ran_under(&request), "told not run, but it ran");
        self.never.insert((request.binding.clone(), request.key));
        self.replies.push(request);
    }

    fn target(&mut self, message: Message, fate: Fate) {
        if matches!(fate, Fate::Answered | Fate::LostAfterRun) {
            self.run(&message);
        }
        let Message { binding, key } = &message;
        let owner = self.hosts.iter_mut().find(|host| host.incarnation == binding.incarnation);
        let Some(owner) = owner else { return };
        let end = match fate {
            Fate::Answered => ExecutionOutcome::Answered(answer(*key)),
            Fate::LostAfterRun | Fate::LostBeforeRun => ExecutionOutcome::Unknown,
            Fate::NotRun => ExecutionOutcome::NotRun,
        };
        owner.ledger.end(binding, &key.to_string().into(), end, self.now);
        if fate == Fate::NotRun {
            self.tell_never(message, "not run");
        }
    }

    fn run(&mut self, message: &Message) {
        let never = self.never.contains(&(message.binding.clone(), message.key));
        assert!(!never, "told that it would never run, but it ran");
        let runs = self.runs.entry(message.key).or_default();
        runs.push(message.binding.clone());
        assert_eq!(runs.len(), 1, "booking {} ran twice: {runs:?}", message.key);
    }

    fn ran_under(&self, message: &Message) -> bool {
        self.runs.get(&message.key).is_some_and(|runs| runs.contains(&message.binding))
    }

    fn see(&mut self, kind: &'static str) {
        *self.seen.entry(kind).or_default() += 1;
    }
}

fn answer(key: usize) -> Arc<KeptAnswer> {
    let headers = Vec::new();
    Arc::new(KeptAnswer { body: Bytes::from(key.to_string()), headers, status: 201 })
}

/// Takes out one of the list, or a copy of it.
fn take<T: Clone>(list: &mut Vec<T>, number: usize, again: bool) -> Option<T> {
    if list.is_empty() {
        return None;
    }
    let number = number % list.len();
    if again { Some(list[number].clone()) } else { Some(list.swap_remove(number)) }
}

#[test]
fn a_booking_runs_at_most_once_and_what_is_told_is_true() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let cfg = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(cfg, rng);
    let seen = std::cell::RefCell::new(BTreeMap::<&str, usize>::new());
    let result = runner.run(&collection::vec(op(), STEPS), |ops| {
        let mut model = Model::new();
        ops.into_iter().for_each(|op| model.step(op));
        for (kind, count) in model.seen {
            *seen.borrow_mut().entry(kind).or_default() += count;
        }
        Ok(())
    });
    if let Err(TestError::Fail(reason, ops)) = &result {
        panic!("{reason}\n{ops:#?}");
    }
    result.unwrap();
    let seen = seen.into_inner();
    eprintln!("{seen:?}");
    assert_eq!(seen.len(), 14, "a kind never came up: {seen:?}");
}
