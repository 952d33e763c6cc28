//! The machine: its state and the distribution of events.

use std::collections::BTreeSet;

use rand::Rng;

use super::{
    Action, Answer, AttemptId, CallId, Event,
    call::{Attempt, Call},
    owners::Owners,
    read_latency::Paces,
};
use crate::{
    admission::{OwnedTarget, Queue, RetryBudget, Slots},
    base::invariant,
    ledger::{Ledger, LedgerLimits, SealedLedger},
    lookup::{BlockTable, owner_of},
    manifest::{Service, Share, Target, Weighing},
    prelude::*,
    quarantine::{Fingerprint, Mark, Quarantine, QuarantineLimits},
    selection::{Change, Policy, Rules, Selector},
    shift::{ShiftCaps, ShiftRules},
    timeline::EventKind,
    view::{Baseline, View},
};

/// Bounds of the machine's state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouterLimits {
    /// How long the slots of a former owner count as taken, unless a report frees them: the
    /// longest time that a request may run on a target.
    pub hold: Duration,
    pub ledger: LedgerLimits,
    pub quarantine: QuarantineLimits,
    /// Requests of one service that may wait for a slot.
    pub queue: usize,
    #[serde(default)]
    pub tuning: RouterTuning,
}

/// Safeguards that measurements turn off, and the policy that they put in the member's place.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct RouterTuning {
    /// Reads that take long get a second attempt.
    pub hedge: bool,
    /// Instead of the manifest's weighing.
    pub policy: Option<Policy>,
    pub selection: Rules,
    pub shift: ShiftRules,
}

impl Default for RouterTuning {
    fn default() -> Self {
        Self {
            hedge: true,
            policy: None,
            selection: Rules::default(),
            shift: ShiftRules::default(),
        }
    }
}

impl Default for RouterLimits {
    fn default() -> Self {
        Self {
            hold: Duration::from_secs(5),
            ledger: LedgerLimits::default(),
            quarantine: QuarantineLimits::default(),
            queue: 64,
            tuning: RouterTuning::default(),
        }
    }
}

/// The decisions of one incarnation of one host.
pub struct Router {
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    pub(super) blocks: Arc<BlockTable>,
    pub(super) calls: BTreeMap<CallId, Call>,
    pub(super) caps: ShiftCaps,
    pub(super) leaving: bool,
    pub(super) ledger: Ledger,
    pub(super) next_attempt: AttemptId,
    pub(super) out: Vec<Action>,
    pub(super) quarantine: Quarantine,
    pub(super) owners: Owners,
    pub(super) paces: Paces,
    pub(super) queue_limit: usize,
    pub(super) queues: BTreeMap<ServiceId, Queue>,
    pub(super) retries: RetryBudget,
    pub(super) selector: Selector,
    pub(super) slots: Slots,
    pub(super) tuning: RouterTuning,
    pub(super) view: Option<Arc<View>>,
}

impl Router {
    /// A machine that knows nothing yet: it answers `NoManifest` until it is shown a view.
    pub fn new(host: HostId, incarnation: Incarnation, limits: RouterLimits) -> Self {
        Self {
            attempts: BTreeMap::new(),
            blocks: Arc::default(),
            calls: BTreeMap::new(),
            caps: ShiftCaps::with_rules(limits.tuning.shift, Duration::ZERO),
            leaving: false,
            ledger: Ledger::new(host, incarnation, limits.ledger),
            next_attempt: 0,
            out: Vec::new(),
            owners: Owners::default(),
            paces: Paces::default(),
            quarantine: Quarantine::new(limits.quarantine),
            queues: BTreeMap::new(),
            retries: RetryBudget::default(),
            selector: Selector::with_rules(
                limits.tuning.policy.unwrap_or(Policy::Weighed(Weighing::Latency)),
                limits.tuning.selection,
            ),
            tuning: limits.tuning,
            queue_limit: limits.queue,
            slots: Slots::new(limits.hold),
            view: None,
        }
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn handle(&mut self, event: Event, now: Moment, rng: &mut impl Rng) -> Vec<Action> {
        match event {
            Event::Arrived(arrival) => self.arrived(arrival, now, rng),
            Event::Begun { attempt } => self.begun(attempt, now),
            Event::Cancelled { call } => self.cancelled(call, now, rng),
            Event::Ended { attempt, outcome } => self.ended(attempt, outcome, now, rng),
            Event::Leave => self.leave(),
            Event::Marked { marks } => {
                marks.iter().for_each(|mark| self.quarantine.learn(mark, now))
            }
            Event::Reported { report, target } => {
                self.slots.report(&target, report.busy, now);
                self.selector.report(&target, report, now);
                self.drain_queues(now, rng);
            }
            Event::Tick => self.ticked(now, rng),
            Event::Viewed { view } => self.viewed(view, now, rng),
        }
        self.note_changes();
        self.note_broken();
        std::mem::take(&mut self.out)
    }

    /// The binding that look-ups on this host give out.
    pub fn binding(&self) -> Binding {
        self.ledger.binding()
    }

    /// The table from client address to home region.
    pub fn blocks(&self) -> &Arc<BlockTable> {
        &self.blocks
    }

    /// Requests that have no final answer yet.
    pub fn pending_calls(&self) -> usize {
        self.calls.len()
    }

    /// Traffic by service at home here, for the regions that may have to stand in.
    pub fn baselines(&self, now: Moment) -> Vec<Baseline> {
        self.caps.rates(now)
    }

    /// What a host that gets a request from this one, or gave it, should know of it.
    pub fn mark(&self, fingerprint: Fingerprint, now: Moment) -> Option<Mark> {
        self.quarantine.mark(fingerprint, now)
    }

    /// Requests that crash targets, for the peers.
    pub fn marks(&self, now: Moment) -> Vec<Mark> {
        self.quarantine.marks(now)
    }

    /// Closes the ledger for a successor; every later request of this binding is `not run`.
    pub fn seal(&mut self, now: Moment) -> SealedLedger {
        self.leaving = true;
        self.ledger.seal(now)
    }

    /// Takes over the sealed ledger of a host that stops.
    pub fn adopt(&mut self, sealed: SealedLedger, now: Moment) -> crate::ledger::Result<()> {
        self.ledger.adopt(sealed, now)
    }

    /// Stopped incarnations that this host answers for.
    pub fn adopted(&self) -> Vec<Incarnation> {
        self.ledger.adopted()
    }

    /// Share of this region's own requests, of those that came here, that went elsewhere.
    pub fn shifted_share(&self, service: &ServiceId, now: Moment) -> Share {
        let Some(view) = &self.view else { return 0.0 };
        self.caps.share(service, &view.own.region, now)
    }

    /// Whether an attempt is under way and not given up.
    pub fn is_running(&self, attempt: AttemptId) -> bool {
        self.attempts.contains_key(&attempt)
    }

    /// Whether this host owns the target.
    pub fn owns(&self, target: &TargetId) -> bool {
        self.slots.owns(target)
    }

    /// Targets that get no work since they failed.
    pub fn ejected_targets(&self, now: Moment) -> Vec<TargetId> {
        let Some(view) = &self.view else { return Vec::new() };
        let targets = view.manifest.services.iter().flat_map(|service| &service.targets);
        let names = targets.map(|target| &target.name);
        names.filter(|name| self.selector.ejected(name, now)).cloned().collect()
    }

    /// This host's requests on each target that has any, its own or another host's.
    pub fn in_flight_by_target(&self) -> Vec<TargetInFlight> {
        let mut busy: BTreeMap<&TargetId, u32> = BTreeMap::new();
        for target in self.attempts.values().filter_map(|attempt| attempt.place.target()) {
            *busy.entry(target).or_default() += 1;
        }
        let rows = busy.into_iter();
        rows.map(|(target, requests)| TargetInFlight { requests, target: target.clone() }).collect()
    }

    /// Slots in use and slots in all at the targets that this host owns, by service.
    pub fn slot_usage(&self) -> Vec<SlotUsage> {
        let Some(view) = &self.view else { return Vec::new() };
        view.manifest
            .services
            .iter()
            .map(|service| {
                let owned = service.targets.iter().filter(|target| self.slots.owns(&target.name));
                let (busy, slots) = owned.fold((0, 0), |(busy, slots), target| {
                    (busy + self.slots.in_flight(&target.name), slots + target.slots)
                });
                SlotUsage { busy, service: service.name.clone(), slots }
            })
            .collect()
    }

    pub(super) fn answer(&mut self, call: CallId, answer: Answer) {
        let Some(call_state) = self.calls.remove(&call) else { return };
        let kind = match &answer {
            Answer::Error { error, .. } => EventKind::Refused { error: *error },
            Answer::Kept { kept } => EventKind::Answered { ran: Ran::Yes, status: kept.status },
            Answer::Pass => EventKind::Answered { ran: Ran::Yes, status: 0 },
        };
        self.note(Some(&call_state.arrival.request), kind);
        self.out.push(Action::Answer { answer, call });
    }

    pub(super) fn note(&mut self, request: Option<&RequestId>, kind: EventKind) {
        self.out.push(Action::Note { kind, request: request.cloned() });
    }

    /// Whether the drains of the manifest or of operators take `target` out of use.
    pub(super) fn is_draining(&self, view: &View, target: &Target) -> bool {
        if self.selector.draining(&target.name) {
            return true;
        }
        let mut drains = view.manifest.drains.iter().chain(&view.drains);
        drains.any(|scope| scope.covers(target, &view.manifest))
    }

    /// What is spare for the service among the targets of this host: free slots and all slots.
    pub(super) fn spare(&self, service: &Service, now: Moment) -> (u32, u32) {
        let owned = service.targets.iter().filter(|target| self.slots.owns(&target.name));
        owned.fold((0, 0), |(free, slots), target| {
            let limit = self.selector.limit(&target.name, target.slots, now);
            (free + self.slots.free(&target.name, limit, now), slots + target.slots)
        })
    }

    fn viewed(&mut self, view: Arc<View>, now: Moment, rng: &mut impl Rng) {
        let same_manifest =
            self.view.as_ref().is_some_and(|old| Arc::ptr_eq(&old.manifest, &view.manifest));
        if let Some(old) = &self.view {
            invariant::hold(
                old.manifest.sequence <= view.manifest.sequence,
                "manifest-moves-up",
                || format!("{} after {}", view.manifest.sequence, old.manifest.sequence),
            );
        }
        if !same_manifest {
            self.blocks = view.manifest.client_blocks.table().clone();
            let member = Policy::Weighed(view.manifest.weighing);
            self.selector.set_policy(self.tuning.policy.unwrap_or(member));
            let targets = view.manifest.services.iter().flat_map(|service| &service.targets);
            let known: BTreeSet<&TargetId> = targets.map(|target| &target.name).collect();
            self.selector.retain(|target| known.contains(target));
            self.paces.retain(|service| view.manifest.service(service).is_some());
            self.note(None, EventKind::ManifestInForce { sequence: view.manifest.sequence });
        }
        if self.view.is_none() {
            // Windows start with the host: one that restarts has no credit from before.
            self.caps = ShiftCaps::with_rules(self.tuning.shift, now);
        }
        let owned = self.owned_targets(&view);
        self.slots.set_owned(&owned, now);
        if !self.view.as_ref().is_some_and(|old| Owners::are_same(old, &view)) {
            self.owners = Owners::of(&view);
        }
        self.view = Some(view);
        self.move_queued(now, rng);
        self.drain_queues(now, rng);
    }

    /// The targets of this zone that fall to this host. One gained after the first view comes
    /// from another host, whose requests may still be running on it.
    fn owned_targets(&self, view: &View) -> Vec<OwnedTarget> {
        let mut owned = Vec::new();
        for target in view.manifest.services.iter().flat_map(|service| &service.targets) {
            if target.zone != view.own.zone {
                continue;
            }
            let owner = owner_of(&target.name, &view.tenure.owners);
            if owner != Some(&view.own.id) {
                continue;
            }
            owned.push(OwnedTarget {
                inherited: !self.slots.owns(&target.name),
                provisional: view.tenure.is_provisional(&target.name),
                slots: target.slots,
                target: target.name.clone(),
            });
        }
        owned
    }

    /// New bookings are told at once that this binding is closed, and go elsewhere.
    fn leave(&mut self) {
        self.leaving = true;
        self.ledger.close();
    }

    fn ticked(&mut self, now: Moment, rng: &mut impl Rng) {
        self.ledger.rotate(now);
        self.expire_calls(now);
        self.drain_queues(now, rng);
        self.hedge_slow(now, rng);
    }

    fn note_changes(&mut self) {
        for change in self.selector.take_changes() {
            let kind = match change {
                Change::Ejected(target) => EventKind::TargetEjected { target },
                Change::Returned(target) => EventKind::TargetReturned { target },
            };
            self.note(None, kind);
        }
    }

    fn note_broken(&mut self) {
        for broken in invariant::take() {
            let kind =
                EventKind::InvariantBroken { detail: broken.detail, name: broken.name.into() };
            self.note(None, kind);
        }
    }
}

/// Requests on one target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetInFlight {
    pub requests: u32,
    pub target: TargetId,
}

/// Use of the slots of one service at this host's own targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SlotUsage {
    pub busy: u32,
    pub service: ServiceId,
    pub slots: u32,
}
