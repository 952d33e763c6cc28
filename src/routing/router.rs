//! The router: its state, the dispatch of events and the queries for other modules.

use std::collections::BTreeSet;

use rand::Rng;

use super::{
    Action, Answer, AttemptId, CallId, Event,
    call::{Attempt, Call},
    owners::TargetOwners,
    read_latency::ReadLatencies,
};
use crate::{
    admission::{OwnedTarget, Queue, RetryBudget, Slots},
    base::invariant,
    ledger::{Ledger, LedgerLimits, SealedLedger},
    lookup::{BlockTable, owner_of},
    manifest::{Service, Share, Target, Weighing},
    prelude::*,
    quarantine::{Fingerprint, Quarantine, QuarantineLimits, QuarantineMark},
    selection::{EjectionChange, Policy, Selector, SelectorOptions},
    shift::{ShiftLimiter, ShiftOptions},
    timeline::EventKind,
    view::{Baseline, View},
};

/// Limits on the router's state.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouterLimits {
    /// How long the slots of a target that this host takes over count as in use by requests of the
    /// former owner, unless a load report frees them: the longest time that a request may run on a
    /// target.
    pub hold: Duration,
    pub ledger: LedgerLimits,
    pub quarantine: QuarantineLimits,
    /// Maximum length of each service's queue.
    pub queue: usize,
    #[serde(default)]
    pub tuning: RouterTuning,
}

/// Overrides for benchmarks: safeguards to turn off, and a policy to replace the member's.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct RouterTuning {
    /// Whether slow reads are hedged.
    pub hedge: bool,
    /// Replaces the weighing in the manifest.
    pub policy: Option<Policy>,
    pub selection: SelectorOptions,
    pub shift: ShiftOptions,
}

impl Default for RouterTuning {
    fn default() -> Self {
        Self {
            hedge: true,
            policy: None,
            selection: SelectorOptions::default(),
            shift: ShiftOptions::default(),
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

/// Routes the requests of one incarnation of one host.
pub struct Router {
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    pub(super) blocks: Arc<BlockTable>,
    pub(super) calls: BTreeMap<CallId, Call>,
    pub(super) shift_limiter: ShiftLimiter,
    pub(super) leaving: bool,
    pub(super) ledger: Ledger,
    pub(super) last_attempt: AttemptId,
    pub(super) actions: Vec<Action>,
    pub(super) quarantine: Quarantine,
    pub(super) owners: TargetOwners,
    pub(super) read_latencies: ReadLatencies,
    pub(super) queue_limit: usize,
    pub(super) queues: BTreeMap<ServiceId, Queue>,
    pub(super) retry_budget: RetryBudget,
    pub(super) selector: Selector,
    pub(super) slots: Slots,
    pub(super) tuning: RouterTuning,
    pub(super) view: Option<Arc<View>>,
}

impl Router {
    /// A router without a view. It answers `NoManifest` until `Event::Viewed` brings one.
    pub fn new(host: HostId, incarnation: Incarnation, limits: RouterLimits) -> Self {
        Self {
            attempts: BTreeMap::new(),
            blocks: Arc::default(),
            calls: BTreeMap::new(),
            shift_limiter: ShiftLimiter::with_options(limits.tuning.shift, Duration::ZERO),
            leaving: false,
            ledger: Ledger::new(host, incarnation, limits.ledger),
            last_attempt: 0,
            actions: Vec::new(),
            owners: TargetOwners::default(),
            read_latencies: ReadLatencies::default(),
            quarantine: Quarantine::new(limits.quarantine),
            queues: BTreeMap::new(),
            retry_budget: RetryBudget::default(),
            selector: Selector::with_options(
                limits.tuning.policy.unwrap_or(Policy::Weighed(Weighing::Latency)),
                limits.tuning.selection,
            ),
            tuning: limits.tuning,
            queue_limit: limits.queue,
            slots: Slots::new(limits.hold),
            view: None,
        }
    }

    /// Handles one event and returns the actions to carry out, in order.
    pub fn handle(&mut self, event: Event, now: Moment, rng: &mut impl Rng) -> Vec<Action> {
        match event {
            Event::Arrived(arrival) => self.on_arrived(arrival, now, rng),
            Event::Begun { attempt } => self.on_answer_begun(attempt, now),
            Event::Cancelled { call } => self.on_cancelled(call, now, rng),
            Event::Ended { attempt, outcome } => self.on_attempt_ended(attempt, outcome, now, rng),
            Event::Leave => self.on_leave(),
            Event::Marked { marks } => {
                marks.iter().for_each(|mark| self.quarantine.merge_mark(mark, now))
            }
            Event::Reported { report, target } => {
                self.slots.apply_report(&target, report.busy, now);
                self.selector.record_report(&target, report, now);
                self.serve_queues(now, rng);
            }
            Event::Tick => self.on_tick(now, rng),
            Event::Viewed { view } => self.on_viewed(view, now, rng),
        }
        self.record_target_changes();
        self.record_broken_invariants();
        std::mem::take(&mut self.actions)
    }

    /// The binding that lookups on this host return.
    pub fn binding(&self) -> Binding {
        self.ledger.binding()
    }

    /// The table that maps client addresses to home regions.
    pub fn blocks(&self) -> &Arc<BlockTable> {
        &self.blocks
    }

    /// Requests that have no final answer yet.
    pub fn pending_calls(&self) -> usize {
        self.calls.len()
    }

    /// Requests per second that arrived at this host, by service and home region. The hosts that
    /// serve these callers if this region fails derive their limits from it.
    pub fn baselines(&self, now: Moment) -> Vec<Baseline> {
        self.shift_limiter.request_rates(now)
    }

    /// The quarantine mark of a request, for the hosts that it is forwarded to or came from.
    pub fn mark(&self, fingerprint: Fingerprint, now: Moment) -> Option<QuarantineMark> {
        self.quarantine.mark(fingerprint, now)
    }

    /// The quarantine marks of requests that crash targets, for the peers.
    pub fn marks(&self, now: Moment) -> Vec<QuarantineMark> {
        self.quarantine.marks(now)
    }

    /// Seals the ledger: closes it and returns its entries for a successor. Every later new booking
    /// with a binding of this host is refused with `Ran::No`.
    pub fn seal(&mut self, now: Moment) -> SealedLedger {
        self.leaving = true;
        self.ledger.seal(now)
    }

    /// Adopts the sealed ledger of a host that stops: this host answers for its entries from now on,
    /// but runs no new booking with its bindings.
    pub fn adopt(&mut self, sealed: SealedLedger, now: Moment) -> crate::ledger::Result<()> {
        self.ledger.adopt(sealed, now)
    }

    /// Stopped incarnations whose ledgers this host has adopted.
    pub fn adopted(&self) -> Vec<Incarnation> {
        self.ledger.adopted_incarnations()
    }

    /// Of the requests from this region's own callers at this host, the share that was shifted to
    /// other regions.
    pub fn shifted_share(&self, service: &ServiceId, now: Moment) -> Share {
        let Some(view) = &self.view else { return 0.0 };
        self.shift_limiter.shifted_share(service, &view.own.region, now)
    }

    /// Whether an attempt is in progress and not cancelled.
    pub fn is_running(&self, attempt: AttemptId) -> bool {
        self.attempts.contains_key(&attempt)
    }

    pub fn owns(&self, target: &TargetId) -> bool {
        self.slots.owns(target)
    }

    /// Targets that are ejected after failures and get no requests.
    pub fn ejected_targets(&self, now: Moment) -> Vec<TargetId> {
        let Some(view) = &self.view else { return Vec::new() };
        let targets = view.manifest.services.iter().flat_map(|service| &service.targets);
        let names = targets.map(|target| &target.name);
        names.filter(|name| self.selector.is_ejected(name, now)).cloned().collect()
    }

    /// The number of this host's attempts in progress on each target that has any, including the
    /// targets of other hosts.
    pub fn in_flight_by_target(&self) -> Vec<TargetInFlight> {
        let mut busy: BTreeMap<&TargetId, u32> = BTreeMap::new();
        for target in self.attempts.values().filter_map(|attempt| attempt.destination.target()) {
            *busy.entry(target).or_default() += 1;
        }
        let rows = busy.into_iter();
        rows.map(|(target, requests)| TargetInFlight { requests, target: target.clone() }).collect()
    }

    /// Slots in use and total slots on the targets that this host owns, by service.
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
            // The event does not name the status of an answer that is passed on, hence 0.
            Answer::Pass => EventKind::Answered { ran: Ran::Yes, status: 0 },
        };
        self.record_timeline_event(Some(&call_state.arrival.request), kind);
        self.actions.push(Action::Answer { answer, call });
    }

    /// Adds an event of the request, or of this host, to the timeline. Timeline events are output;
    /// `Event` is the router's input.
    pub(super) fn record_timeline_event(&mut self, request: Option<&RequestId>, kind: EventKind) {
        self.actions.push(Action::Note { kind, request: request.cloned() });
    }

    /// Whether `target` reports that it is draining, or a drain of the manifest or an operator
    /// covers it.
    pub(super) fn is_draining(&self, view: &View, target: &Target) -> bool {
        if self.selector.is_draining(&target.name) {
            return true;
        }
        let mut drains = view.manifest.drains.iter().chain(&view.drains);
        drains.any(|scope| scope.covers(target, &view.manifest))
    }

    /// Free slots and total slots for the service on this host's targets.
    pub(super) fn free_and_total_slots(&self, service: &Service, now: Moment) -> (u32, u32) {
        let owned = service.targets.iter().filter(|target| self.slots.owns(&target.name));
        owned.fold((0, 0), |(free, slots), target| {
            let limit = self.selector.concurrency_limit(&target.name, target.slots, now);
            (free + self.slots.free(&target.name, limit, now), slots + target.slots)
        })
    }

    fn on_viewed(&mut self, view: Arc<View>, now: Moment, rng: &mut impl Rng) {
        let same_manifest =
            self.view.as_ref().is_some_and(|old| Arc::ptr_eq(&old.manifest, &view.manifest));
        if let Some(old) = &self.view {
            invariant::check(
                old.manifest.sequence <= view.manifest.sequence,
                "manifest-moves-up",
                || format!("sequence {} after {}", view.manifest.sequence, old.manifest.sequence),
            );
        }
        if !same_manifest {
            self.blocks = view.manifest.client_blocks.table().clone();
            let member = Policy::Weighed(view.manifest.weighing);
            self.selector.set_policy(self.tuning.policy.unwrap_or(member));
            let targets = view.manifest.services.iter().flat_map(|service| &service.targets);
            let known: BTreeSet<&TargetId> = targets.map(|target| &target.name).collect();
            self.selector.retain(|target| known.contains(target));
            self.read_latencies.retain(|service| view.manifest.service(service).is_some());
            self.record_timeline_event(
                None,
                EventKind::ManifestInForce { sequence: view.manifest.sequence },
            );
        }
        if self.view.is_none() {
            // The windows start with the host: a restarted host has no shift credit from before its
            // restart.
            self.shift_limiter = ShiftLimiter::with_options(self.tuning.shift, now);
        }
        let owned = self.owned_targets(&view);
        self.slots.set_owned(&owned, now);
        if !self.view.as_ref().is_some_and(|old| TargetOwners::are_unchanged(old, &view)) {
            self.owners = TargetOwners::of(&view);
        }
        self.view = Some(view);
        self.reroute_unservable(now, rng);
        self.serve_queues(now, rng);
    }

    /// The targets of this zone that this host owns by the view. One that it did not own before is
    /// marked as inherited, since requests of its former owner may still be running on it.
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

    /// Closes the ledger for new bookings. They are refused at once, so that their callers can go
    /// to another host.
    fn on_leave(&mut self) {
        self.leaving = true;
        self.ledger.close();
    }

    fn on_tick(&mut self, now: Moment, rng: &mut impl Rng) {
        // Drops expired generations of ledger entries and starts a new one if due.
        self.ledger.rotate(now);
        self.expire_waiting_copies(now);
        self.serve_queues(now, rng);
        self.hedge_slow_reads(now, rng);
    }

    fn record_target_changes(&mut self) {
        for change in self.selector.take_changes() {
            let kind = match change {
                EjectionChange::Ejected(target) => EventKind::TargetEjected { target },
                EjectionChange::Returned(target) => EventKind::TargetReturned { target },
            };
            self.record_timeline_event(None, kind);
        }
    }

    fn record_broken_invariants(&mut self) {
        for broken in invariant::take_violations() {
            let kind =
                EventKind::InvariantBroken { detail: broken.detail, name: broken.name.into() };
            self.record_timeline_event(None, kind);
        }
    }
}

/// Requests of this host in progress on one target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetInFlight {
    pub requests: u32,
    pub target: TargetId,
}

/// Slot usage of one service on this host's own targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SlotUsage {
    pub busy: u32,
    pub service: ServiceId,
    pub slots: u32,
}
