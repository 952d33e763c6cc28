//! The traffic thread's state: what this host runs, has seen and may still spend.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap, HashSet, VecDeque},
    rc::Rc,
};

use arc_swap::ArcSwap;

use super::{
    Bounds, CrashSuspects, DeclarationVersion, EntrySettings, KnownTarget, Pool, Protocol, Route,
    Team, View, ViewCell, bodies::BodyMemory, place::region_loads, service_state::ServiceState,
    upstream::connect,
};
use crate::{
    admission::Allowance,
    event_log::{Event, EventSink, PauseReason, RequestKey},
    fleet::Load,
    metrics::TrafficFigures,
    placement::{
        ColdRates, Condition, ConditionChange, Ended, Forecast, HeldObjects, Learnt, NameTag,
        ObjectTag, RegionSent, RoundTrips, SentWindow, TargetTag, Tuning, name_tag,
    },
    prelude::*,
    quota::{PeerState, Quota, SharedBuckets, Verdict},
};

/// Time for which a run is told: hosts of other regions hear a heartbeat that often.
const RUNS_TOLD: Duration = Duration::from_millis(500);

/// Most runs in one heartbeat: with ten bytes each it stays in one packet.
const RUNS_MOST: usize = 64;

/// A target that takes this many times the usual time, or more, says nothing of how long work takes.
const STEADY: f64 = 1.5;

/// The bounds in force; settings that are read again replace them.
pub type BoundsCell = Arc<ArcSwap<Bounds>>;

/// Everything that one traffic thread decides with.
pub struct TrafficState {
    pub clock: Arc<dyn Clock>,
    pub events: Arc<dyn EventSink>,
    pub protocol: Arc<dyn Protocol>,
    pub settings: Arc<EntrySettings>,
    pub bodies: BodyMemory,
    bounds: BoundsCell,
    pub(super) cold: RefCell<ColdRates>,
    pub(super) conditions: RefCell<HashMap<u32, Condition>>,
    pub(super) held: RefCell<HeldObjects>,
    /// Objects that this host lately asked targets for, and when.
    own_runs: RefCell<VecDeque<(Moment, TargetTag, ObjectTag)>>,
    /// The view whose runs were taken in last.
    heard_runs: Cell<Moment>,
    sent: RefCell<SentWindow>,
    /// What all hosts of the region sent, as of the last tick.
    pub(super) region_sent: RefCell<RegionSent>,
    /// Regions to which nothing more may be moved for now.
    pub(super) held_regions: RefCell<Vec<NameTag>>,
    pub(super) trips: RefCell<RoundTrips>,
    pub(super) tuning: Tuning,
    counted: Cell<Moment>,
    /// Targets that are being looked at after a lost answer.
    looking: RefCell<HashSet<u32>>,
    pub crash_suspects: RefCell<CrashSuspects>,
    pub pool: RefCell<Pool>,
    quota: RefCell<Box<dyn Quota>>,
    /// Version of the declaration whose limits are in force, and time of the view last applied.
    quota_version: Cell<DeclarationVersion>,
    quota_view_at: Cell<Moment>,
    /// Fingerprints of requests in attempt, by target.
    running: RefCell<HashMap<u32, Vec<u64>>>,
    pub(super) services: RefCell<HashMap<ServiceId, ServiceState>>,
    splits: RefCell<HashMap<Arc<str>, Vec<f64>>>,
    /// Callers' open connections.
    pub open: Cell<usize>,
    /// Requests since the start.
    requests: Cell<u64>,
    /// A planned stop has begun, and when.
    pub leaving: Cell<Option<Moment>>,
    view: ViewCell,
}

impl TrafficState {
    /// An idle state.
    pub fn open(
        settings: Arc<EntrySettings>,
        bounds: BoundsCell,
        clock: Arc<dyn Clock>,
        protocol: Arc<dyn Protocol>,
        view: ViewCell,
        events: Arc<dyn EventSink>,
    ) -> Rc<Self> {
        let quota: Box<dyn Quota> = Box::new(SharedBuckets::new(clock.now()));
        Rc::new(Self {
            bodies: BodyMemory::default(),
            bounds,
            clock,
            events,
            cold: RefCell::default(),
            conditions: RefCell::default(),
            held: RefCell::default(),
            own_runs: RefCell::default(),
            heard_runs: Cell::default(),
            sent: RefCell::default(),
            region_sent: RefCell::default(),
            held_regions: RefCell::default(),
            trips: RefCell::default(),
            tuning: Tuning::default(),
            counted: Cell::default(),
            protocol,
            leaving: Cell::default(),
            looking: RefCell::default(),
            open: Cell::new(0),
            requests: Cell::new(0),
            crash_suspects: RefCell::default(),
            pool: RefCell::default(),
            quota: RefCell::new(quota),
            quota_version: Cell::default(),
            quota_view_at: Cell::default(),
            running: RefCell::default(),
            services: RefCell::default(),
            settings,
            splits: RefCell::default(),
            view,
        })
    }

    /// The bounds in force.
    pub fn bounds(&self) -> Arc<Bounds> {
        self.bounds.load_full()
    }

    /// The control side's view; `None` before the first.
    pub fn view(&self) -> Option<Arc<View>> {
        self.view.load_full()
    }

    /// Names a new request in the log.
    pub fn key(&self, attempt: Option<&RequestId>) -> RequestKey {
        self.requests.set(self.requests.get() + 1);
        RequestKey { attempt: attempt.cloned(), own: Some(self.requests.get()) }
    }

    /// Records an event of a request.
    pub fn record(&self, request: &RequestKey, event: Event) {
        self.events.record(Some(request), event);
    }

    /// The service of a new request: the parts of a split take turns by their weights.
    pub fn service(&self, route: &Route) -> Option<ServiceId> {
        if let [(service, _)] = &*route.split {
            return Some(service.clone());
        }
        let total: f64 = route.split.iter().map(|(_, weight)| weight).sum();
        let mut splits = self.splits.borrow_mut();
        let credit = splits.entry(route.key.clone()).or_default();
        credit.resize(route.split.len(), 0.0);
        for (credit, (_, weight)) in credit.iter_mut().zip(&route.split) {
            *credit += weight / total.max(f64::MIN_POSITIVE);
        }
        let most = (0..credit.len()).max_by(|a, b| credit[*a].total_cmp(&credit[*b]))?;
        credit[most] -= 1.0;
        Some(route.split[most].0.clone())
    }

    /// Counts a new request for a service.
    pub fn arrived(&self, service: &ServiceId) {
        let now = self.clock.now();
        let mut services = self.services.borrow_mut();
        let state = services.entry(service.clone()).or_default();
        state.arrived(now);
    }

    /// Takes one further attempt out of a service's budget.
    pub fn take_retry(&self, view: &View, service: &ServiceId) -> bool {
        let now = self.clock.now();
        let mut services = self.services.borrow_mut();
        let state = services.entry(service.clone()).or_default();
        state.budget.allow(allowance(&self.bounds(), view.hosts.len()));
        state.budget.take(now)
    }

    /// Checks a request against the limit of its team. The error is the time to wait before a retry.
    pub fn admit(self: &Rc<Self>, view: &View, team: &Team) -> Result<Admission, Duration> {
        self.update_quota(view);
        let now = self.clock.now();
        match self.quota.borrow_mut().admit(team.tag(), rand::random(), now) {
            Verdict::Admitted => {
                Ok(Admission { has_run: Cell::new(false), state: self.clone(), team: team.tag() })
            }
            Verdict::Limited { retry_after } => Err(retry_after),
        }
    }

    /// Applies the limits and the state of other hosts from the view.
    fn update_quota(&self, view: &View) {
        let now = self.clock.now();
        if let Some(declared) = &view.declared
            && self.quota_version.get() < declared.version
        {
            self.quota_version.set(declared.version);
            let limit = |team: &Arc<Team>| Some((team.tag(), team.limit?));
            let limits = declared.teams.iter().filter_map(limit).collect();
            self.quota.borrow_mut().set_limits(&limits, now);
        }
        if self.quota_view_at.get() < view.published_at {
            self.quota_view_at.set(view.published_at);
            let live_hosts = view.hosts.len().max(1);
            let peers = PeerState {
                started_earlier: view.peers_started_earlier,
                live_hosts,
                known_hosts: view.known_hosts,
                counts: view.team_counts.clone(),
            };
            self.quota.borrow_mut().update_peers(&peers, now);
        }
    }

    /// Usual time of an answer.
    pub fn work(&self, service: &ServiceId) -> Duration {
        self.services
            .borrow()
            .get(service)
            .map_or_else(|| Learnt::default().work.mean(), |state| state.learnt.work.mean())
    }

    /// A request goes to a target; it counts as in attempt until the guard is dropped.
    pub fn start(
        self: &Rc<Self>,
        target: &Arc<KnownTarget>,
        fingerprint: u64,
        forecast: Forecast,
    ) -> InFlight {
        let now = self.clock.now();
        if let Some(object) = forecast.object {
            self.held.borrow_mut().touched(target.tag, object);
            self.own_runs.borrow_mut().push_back((now, target.tag, object));
        }
        if target.is_cold(now) {
            self.cold.borrow_mut().sent(target);
        }
        let (service, region) = (name_tag(&target.entry.service), name_tag(&target.region));
        self.sent.borrow_mut().sent(service, region, now);
        self.conditions.borrow_mut().entry(target.tag).or_default().in_flight += 1;
        self.running.borrow_mut().entry(target.tag).or_default().push(fingerprint);
        InFlight { state: self.clone(), forecast, fingerprint, started: now, tag: target.tag }
    }

    /// A connection to a target came about.
    pub fn connected(&self, target: &KnownTarget, took: Duration) {
        self.trips.borrow_mut().connected(&target.region, took);
    }

    /// An attempt ended.
    pub fn ended(
        &self,
        target: &KnownTarget,
        service: &ServiceId,
        forecast: &Forecast,
        ended: Ended,
    ) {
        let now = self.clock.now();
        let mut services = self.services.borrow_mut();
        let state = services.entry(service.clone()).or_default();
        let mut conditions = self.conditions.borrow_mut();
        let condition = conditions.entry(target.tag).or_default();
        let is_steady = condition.stretch(now) < STEADY;
        let usual = state.learnt.usual(forecast);
        let change = condition.ended(ended, usual, now);
        if let Ended::Answered(took) = ended
            && forecast.finds_slot
        {
            condition.ran(took, usual, now);
        }
        if let Some(change) = change {
            self.events.record(None, paused_or_trusted(target, ended, change));
        }
        if let Ended::Answered(took) = ended
            && is_steady
        {
            state.learnt.answered(forecast, took, self.tuning.learn_keeps);
        }
        if ended == Ended::Unreachable {
            self.pool.borrow_mut().forget(target.tag);
        }
    }

    /// A request came to a good end.
    pub fn cleared(&self, fingerprint: u64) {
        let elsewhere = self.view().and_then(|view| view.crashes.get(&fingerprint).copied());
        let elsewhere = elsewhere.unwrap_or_default();
        if elsewhere == 0 && self.crash_suspects.borrow().is_empty() {
            return;
        }
        let mut suspects = self.crash_suspects.borrow_mut();
        if 0 < elsewhere || suspects.counts(fingerprint) {
            self.events.record(None, Event::CrashCleared { fingerprint });
        }
        suspects.cleared(fingerprint, elsewhere, self.clock.now());
    }

    /// After a lost answer: whether the target is still there. If not, all that ran there when the
    /// answer was lost may have been what crashed it.
    pub fn check_for_crash(self: &Rc<Self>, target: &Arc<KnownTarget>, service: &ServiceId) {
        if !self.looking.borrow_mut().insert(target.tag) {
            return;
        }
        let prints = self.running.borrow().get(&target.tag).cloned().unwrap_or_default();
        let (state, target, service) = (self.clone(), target.clone(), service.clone());
        tokio::task::spawn_local(async move {
            let reached = connect(target.entry.addr).await;
            state.looking.borrow_mut().remove(&target.tag);
            if let Err(error) = reached {
                log::debug!("{} is gone: {error}", target.entry.id);
                state.count_crashes(&target, prints);
                state.ended(&target, &service, &Forecast::default(), Ended::Unreachable);
            }
        });
    }

    /// All that ran on a target when it went down may have been what crashed it.
    fn count_crashes(&self, target: &KnownTarget, fingerprints: Vec<u64>) {
        let now = self.clock.now();
        for fingerprint in fingerprints {
            let crashes = self.crash_suspects.borrow_mut().crashed(fingerprint, now);
            let target = target.entry.id.clone();
            self.events.record(None, Event::CrashCounted { crashes, fingerprint, target });
        }
    }

    /// Takes in what other hosts told of the objects that they asked targets for.
    fn hear_runs(&self, view: &View) {
        if view.published_at <= self.heard_runs.get() || !self.tuning.told_runs {
            return;
        }
        self.heard_runs.set(view.published_at);
        let mut held = self.held.borrow_mut();
        for (target, object) in &view.recent_objects {
            held.touched(*target, *object);
        }
    }

    /// Keeps figures up to date; called several times a second.
    pub fn tick(&self) {
        let now = self.clock.now();
        let Some(view) = self.view() else { return };
        self.cold.borrow_mut().tick(now);
        self.hear_runs(&view);
        self.update_quota(&view);
        self.own_runs.borrow_mut().retain(|(at, _, _)| now < *at + RUNS_TOLD);
        self.crash_suspects.borrow_mut().tick(now);
        self.count_sent(&view, now);
        let spent = now.saturating_sub(self.counted.get());
        if spent < Duration::from_millis(500) {
            return;
        }
        self.counted.set(now);
        let targets = view.targets.values().flat_map(|targets| targets.iter());
        let known: HashSet<u32> = targets.map(|target| target.tag).collect();
        self.pool.borrow_mut().tick(now, |tag| known.contains(&tag));
        self.held.borrow_mut().retain(|tag| known.contains(&tag), now);
        self.conditions
            .borrow_mut()
            .retain(|tag, condition| 0 < condition.in_flight || known.contains(tag));
        let max_shift = self.bounds().max_shift;
        let max_shift = max_shift * self.region_sent.borrow().pace(max_shift);
        for (service, state) in self.services.borrow_mut().iter_mut() {
            state.measure(spent);
            let Some(targets) = view.targets.get(service) else { continue };
            let home = &self.settings.region;
            let loads = region_loads(&view, targets, service, state.demand, home, now);
            if let Some(shares) = &mut state.shares {
                shares.step(&loads, max_shift, &self.tuning, now);
                state.report_shares(&*self.events, service);
            }
        }
    }

    /// Takes in what all hosts of the region sent to each region.
    fn count_sent(&self, view: &View, now: Moment) {
        let mut sent = view.sent.clone();
        sent.add(&self.sent.borrow_mut().counts(now));
        *self.held_regions.borrow_mut() = sent.held(self.bounds().max_shift);
        *self.region_sent.borrow_mut() = sent;
    }

    /// The latest runs that are told, each once.
    fn told_runs(&self) -> Vec<(TargetTag, ObjectTag)> {
        let own = self.own_runs.borrow();
        let newest = own.iter().rev().take(RUNS_MOST);
        let runs: BTreeSet<_> = newest.map(|(_, target, object)| (*target, *object)).collect();
        runs.into_iter().collect()
    }

    /// What the metrics are told.
    pub fn figures(&self) -> TrafficFigures {
        let now = self.clock.now();
        let conditions = self.conditions.borrow();
        TrafficFigures {
            connections: self.open.get(),
            in_flight: conditions.values().map(|condition| condition.in_flight).sum(),
            paused: conditions.values().filter(|condition| condition.is_paused(now)).count(),
        }
    }

    /// What other hosts are told: requests in attempt by target, demand by service, crashes.
    pub fn load(&self) -> Load {
        let conditions = self.conditions.borrow();
        let busy = conditions.iter().filter(|(_, condition)| 0 < condition.in_flight);
        let running = busy
            .map(|(tag, condition)| (*tag, condition.in_flight.min(u32::from(u16::MAX)) as u16))
            .collect();
        let services = self.services.borrow();
        let demand =
            services.iter().map(|(name, state)| (name_tag(name), state.demand as f32)).collect();
        let crashes = self.crash_suspects.borrow().marks();
        let now = self.clock.now();
        let sent = self.sent.borrow_mut().counts(now);
        let view = self.view();
        let told = |tag| view.as_ref().and_then(|view| view.slow_targets.get(tag).copied());
        let slow =
            conditions.iter().filter_map(|(tag, it)| Some((*tag, it.slowness(told(tag), now)?)));
        let slow = slow.collect();
        let teams = self.quota.borrow().report(now);
        Load { crashes, demand, running, runs: self.told_runs(), sent, slow, teams }
    }
}

/// Part of the allowed retries that hosts use: the bound holds in any window of its length, and
/// theirs begin at moments of their own.
const RETRY_PART: f64 = 0.6;

/// A host's part of the retries that all hosts may make together: of the share, since shares add
/// up; of the slack, what is left of it for each host.
pub fn allowance(bounds: &Bounds, hosts: usize) -> Allowance {
    Allowance {
        floor: bounds.retry_slack * RETRY_PART / hosts.max(1) as f64,
        share: bounds.retry_ratio * RETRY_PART,
    }
}

/// The event of a target's pause, or of its end.
fn paused_or_trusted(target: &KnownTarget, ended: Ended, change: ConditionChange) -> Event {
    let target = target.entry.id.clone();
    match change {
        ConditionChange::Trusted => Event::TargetTrusted { target },
        ConditionChange::Paused { failures, pause } => {
            let reason = match ended {
                Ended::Unreachable => PauseReason::Unreachable,
                _ => PauseReason::Failing,
            };
            Event::TargetPaused { failures, pause_ms: pause.as_millis() as u64, reason, target }
        }
    }
}

/// A request admitted within the limit of its team. Refunded on drop if it did not run.
pub struct Admission {
    has_run: Cell<bool>,
    state: Rc<TrafficState>,
    team: NameTag,
}

impl Admission {
    /// Records an attempt at a target; charges it if an earlier attempt may have run.
    pub fn attempt_started(&self, maybe_ran: bool) {
        self.has_run.set(true);
        if maybe_ran {
            self.state.quota.borrow_mut().charge(self.team, self.state.clock.now());
        }
    }

    /// Records that no target ran the request.
    pub fn mark_not_run(&self) {
        self.has_run.set(false);
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        if !self.has_run.get() {
            self.state.quota.borrow_mut().refund(self.team);
        }
    }
}

/// A request in attempt at a target.
pub struct InFlight {
    state: Rc<TrafficState>,
    pub forecast: Forecast,
    fingerprint: u64,
    pub started: Moment,
    tag: u32,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(condition) = self.state.conditions.borrow_mut().get_mut(&self.tag) {
            condition.in_flight = condition.in_flight.saturating_sub(1);
        }
        let mut running = self.state.running.borrow_mut();
        if let Some(prints) = running.get_mut(&self.tag) {
            if let Some(at) = prints.iter().position(|print| *print == self.fingerprint) {
                prints.swap_remove(at);
            }
            if prints.is_empty() {
                running.remove(&self.tag);
            }
        }
    }
}
