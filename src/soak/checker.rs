//! The checker: it sees every run at every target, and holds against it what was promised.

use std::collections::{BTreeSet, VecDeque};

use super::{
    fixture::{HOSTS, SHIFT_CAP},
    message::Intent,
};
use crate::{ledger::IdempotencyKey, prelude::*};

/// Time over which shifts are counted.
const CAP_WINDOW: Duration = Duration::from_secs(20);

/// A promise of the system, or a safeguard that one of them rests on.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    AnswerIsOwn,
    /// An invariant inside the decisions.
    Invariant,
    ManifestInForce,
    ManifestNeverReverts,
    /// No rival's request runs here, and no rival's manifest comes into force.
    MemberKept,
    NoOverload,
    NotRunIsTrue,
    OnceAtMost,
    RetiredTargetIdle,
    /// No dispatch by a host whose right to its targets has run out by its own clock.
    RightHeld,
    ShiftUnderCap,
    StopCutsNothing,
}

impl Promise {
    /// Every promise.
    pub const ALL: [Promise; 12] = [
        Promise::AnswerIsOwn,
        Promise::Invariant,
        Promise::ManifestInForce,
        Promise::ManifestNeverReverts,
        Promise::MemberKept,
        Promise::NoOverload,
        Promise::NotRunIsTrue,
        Promise::OnceAtMost,
        Promise::RetiredTargetIdle,
        Promise::RightHeld,
        Promise::ShiftUnderCap,
        Promise::StopCutsNothing,
    ];
}

/// A promise that was broken.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Breach {
    pub detail: Arc<str>,
    pub promise: Promise,
    /// The booking that it broke for.
    pub request: Option<usize>,
}

#[derive(Debug, Default)]
pub(super) struct Checker {
    pub(super) breach: Option<Breach>,
    pub(super) checked: BTreeMap<Promise, u64>,
    flows: BTreeMap<(usize, bool), Flow>,
    runs: BTreeMap<Intent, Vec<Pair>>,
    told_not_run: BTreeSet<Pair>,
}

/// What may run at most once under any failure.
pub(super) type Pair = (Binding, IdempotencyKey);

/// Requests of one home region and kind.
#[derive(Debug, Default)]
struct Flow {
    foreign: VecDeque<Moment>,
    sent: VecDeque<Moment>,
}

impl Checker {
    /// Counts a check; the first one that does not hold is kept.
    pub(super) fn check(&mut self, promise: Promise, held: bool, detail: impl FnOnce() -> String) {
        self.check_for(None, promise, held, detail);
    }

    fn check_for(
        &mut self,
        request: Option<Intent>,
        promise: Promise,
        held: bool,
        detail: impl FnOnce() -> String,
    ) {
        *self.checked.entry(promise).or_default() += 1;
        if !held && self.breach.is_none() {
            self.breach = Some(Breach { detail: detail().into(), promise, request });
        }
    }

    /// A caller of that home region sends a copy.
    pub(super) fn sent(&mut self, home: usize, booking: bool, now: Moment) {
        self.flows.entry((home, booking)).or_default().sent.push_back(now);
    }

    /// A target of another region runs a request of that home region.
    pub(super) fn ran_away(&mut self, home: usize, booking: bool, now: Moment) {
        let flow = self.flows.entry((home, booking)).or_default();
        flow.foreign.push_back(now);
        for times in [&mut flow.foreign, &mut flow.sent] {
            while times.front().is_some_and(|at| *at + CAP_WINDOW < now) {
                times.pop_front();
            }
        }
        let (foreign, sent) = (flow.foreign.len(), flow.sent.len());
        // Each host may be one request ahead of its share at either end of the window.
        let most = SHIFT_CAP * sent as f64 + 2.0 * HOSTS as f64;
        self.check(Promise::ShiftUnderCap, foreign as f64 <= most, || {
            format!("{foreign} of {sent} requests at home in region {home} ran elsewhere")
        });
    }

    /// A target runs a booking.
    pub(super) fn ran(&mut self, intent: Intent, pair: Pair) {
        let told = self.told_not_run.contains(&pair);
        self.check_for(Some(intent), Promise::NotRunIsTrue, !told, || {
            format!("{pair:?} was told not run, and ran then")
        });
        let runs = self.runs.entry(intent).or_default();
        runs.push(pair);
        let (once, detail) = (runs.len() == 1, format!("booking {intent} ran: {runs:?}"));
        self.check_for(Some(intent), Promise::OnceAtMost, once, || detail);
    }

    /// A caller is told that a booking was not run. It must not have, and never may.
    pub(super) fn told_not_run(&mut self, intent: Intent, pair: Pair) {
        let ran = self.runs.get(&intent).is_some_and(|runs| runs.contains(&pair));
        self.check_for(Some(intent), Promise::NotRunIsTrue, !ran, || {
            format!("{pair:?} was told not run, and had run")
        });
        self.told_not_run.insert(pair);
    }
}
