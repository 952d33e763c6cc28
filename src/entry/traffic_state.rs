//! State of the traffic thread: requests in flight, measurements of targets and services, and the
//! budgets for retries and quotas.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap, HashSet, VecDeque},
    rc::Rc,
};

use arc_swap::ArcSwap;
use tokio::sync::Notify;

use super::{
    Bounds, ConnectionPool, Connector, CrashSuspects, DeclarationVersion, Deployment,
    EntrySettings, KnownTarget, PartState, Parts, Protocol, Route, Team, View, ViewCell,
    body_memory::BodyMemory,
    learned_state::LearnedUse,
    place::{allows_region, region_loads},
    relay_attempt::Relays,
    reservations::Reservations,
    service_state::ServiceState,
    target_reach::TargetReach,
    unknown_headers::UnknownHeaders,
    usable_tags::UsableTags,
};
use crate::{
    admission::RetryAllowance,
    event_log::{Event, EventSink, PartNote, PauseReason, RequestKey},
    placement::{
        CachedObjects, ColdTargetLimiter, Forecast, HealthChange, HealthSignal, LimitedTargetPacer,
        NameTag, ObjectTag, PacedSenderCache, RoundTrips, SentCounter, SentTotals, TargetHealth,
        TargetNotices, TargetTag, Tuning,
    },
    prelude::*,
    quota::{Quota, SharedBuckets},
};

/// How long an object is reported after it was sent to a target. Hosts of other regions receive a
/// heartbeat once per this period.
const RECENT_OBJECT_PERIOD: Duration = Duration::from_millis(500);

/// Slowdown of a target from which on its response times don't update the estimates of its service:
/// they say how slow the target is, not how long the work takes.
const MAX_LEARNING_SLOWDOWN: f64 = 1.5;

/// The bounds in force, replaced when the settings are reloaded.
pub type BoundsCell = Arc<ArcSwap<Bounds>>;

/// Settings and dependencies of the traffic thread's state.
pub struct TrafficParts {
    pub bounds: BoundsCell,
    pub clock: Arc<dyn Clock>,
    pub connector: Arc<dyn Connector>,
    pub events: Arc<dyn EventSink>,
    pub protocol: Arc<dyn Protocol>,
    pub settings: Arc<EntrySettings>,
    pub view: ViewCell,
}

/// Everything the traffic thread bases its decisions on. Used by one thread only, hence the cells.
pub struct TrafficState {
    pub clock: Arc<dyn Clock>,
    pub connector: Arc<dyn Connector>,
    pub events: Arc<dyn EventSink>,
    pub protocol: Arc<dyn Protocol>,
    pub settings: Arc<EntrySettings>,
    pub body_memory: BodyMemory,
    bounds: BoundsCell,
    pub(super) cold_target_limiter: RefCell<ColdTargetLimiter>,
    pub(super) limited_target_pacer: RefCell<LimitedTargetPacer>,
    pub(super) paced_senders: RefCell<PacedSenderCache>,
    /// The optional parts in use.
    pub(super) parts: Cell<Parts>,
    /// What `parts` follows from, and the version of the declaration that it was read from.
    deployment: Cell<(Deployment, DeclarationVersion)>,
    pub(super) target_health: RefCell<HashMap<u32, TargetHealth>>,
    pub(super) target_notices: RefCell<TargetNotices>,
    pub(super) cached_objects: RefCell<CachedObjects>,
    /// Objects of the requests that this host recently sent to targets, with the time and target.
    pub(super) recent_objects: RefCell<VecDeque<(Moment, TargetTag, ObjectTag)>>,
    /// Time of the view whose reported objects were applied last.
    peer_objects_applied_at: Cell<Moment>,
    pub(super) sent_counter: RefCell<SentCounter>,
    /// Requests that all hosts of this region sent to each region, as of the last tick.
    pub(super) sent_totals: RefCell<SentTotals>,
    /// Regions that may not receive more of this region's requests for now.
    pub(super) capped_regions: RefCell<Vec<NameTag>>,
    pub(super) learned: RefCell<LearnedUse>,
    pub(super) round_trips: RefCell<RoundTrips>,
    pub(super) tuning: Tuning,
    demand_measured_at: Cell<Moment>,
    /// Tags of targets being probed after a lost response.
    pub(super) crash_checks: RefCell<HashSet<u32>>,
    pub crash_suspects: RefCell<CrashSuspects>,
    pub pool: RefCell<ConnectionPool<TargetTag>>,
    /// Connections to hosts that serve requests for this one.
    pub(super) relay_pool: RefCell<ConnectionPool<SocketAddr>>,
    pub(super) relays: RefCell<Relays>,
    pub(super) reservations: Reservations,
    /// Number of requests that this host serves for others.
    pub(super) served_relays: Cell<usize>,
    /// Whether this host gets too little processor time.
    pub is_strained: Cell<bool>,
    pub(super) quota: RefCell<Box<dyn Quota>>,
    /// Version of the declaration whose limits are in force, and time of the view last applied.
    pub(super) quota_version: Cell<DeclarationVersion>,
    pub(super) quota_view_at: Cell<Moment>,
    /// Fingerprints of requests in flight, by target tag.
    pub(super) running_fingerprints: RefCell<HashMap<u32, Vec<u64>>>,
    pub(super) services: RefCell<HashMap<ServiceId, ServiceState>>,
    split_credits: RefCell<HashMap<Arc<str>, Vec<f64>>>,
    pub(super) target_reach: RefCell<TargetReach>,
    /// Notified when a suspicion about `target_reach` is raised and when it is decided.
    pub(super) reach_changed: Notify,
    /// Targets of the attempts that wait for a response, and since when, by number of the attempt.
    pub(super) waiting_attempts: RefCell<HashMap<u64, (TargetTag, Moment)>>,
    pub(super) usable_tags: RefCell<UsableTags>,
    /// Number of open connections of callers.
    pub open_connections: Cell<usize>,
    /// Number of requests since the process started.
    request_count: Cell<u64>,
    /// Number of attempts since the process started.
    pub(super) attempt_count: Cell<u64>,
    /// When a graceful shutdown began; `None` while the host serves normally.
    pub shutdown_started_at: Cell<Option<Moment>>,
    pub unknown_headers: UnknownHeaders,
    view: ViewCell,
}

impl TrafficState {
    /// Creates the state of a host without any requests yet.
    pub fn new(parts: TrafficParts) -> Rc<Self> {
        let TrafficParts { bounds, clock, connector, events, protocol, settings, view } = parts;
        let quota: Box<dyn Quota> = Box::new(SharedBuckets::new(clock.now()));
        Rc::new(Self {
            body_memory: BodyMemory::default(),
            bounds,
            clock,
            connector,
            events,
            cold_target_limiter: RefCell::default(),
            limited_target_pacer: RefCell::default(),
            paced_senders: RefCell::default(),
            parts: Cell::new(Parts::new(&settings.parts, Deployment::default())),
            deployment: Cell::default(),
            target_health: RefCell::default(),
            target_notices: RefCell::default(),
            cached_objects: RefCell::default(),
            recent_objects: RefCell::default(),
            peer_objects_applied_at: Cell::default(),
            sent_counter: RefCell::default(),
            sent_totals: RefCell::default(),
            capped_regions: RefCell::default(),
            learned: RefCell::default(),
            round_trips: RefCell::default(),
            tuning: Tuning::default(),
            demand_measured_at: Cell::default(),
            protocol,
            shutdown_started_at: Cell::default(),
            crash_checks: RefCell::default(),
            open_connections: Cell::new(0),
            request_count: Cell::new(0),
            attempt_count: Cell::new(0),
            crash_suspects: RefCell::new(CrashSuspects::new(&settings.host)),
            pool: RefCell::default(),
            relay_pool: RefCell::default(),
            relays: RefCell::default(),
            reservations: Reservations::default(),
            served_relays: Cell::default(),
            is_strained: Cell::default(),
            quota: RefCell::new(quota),
            quota_version: Cell::default(),
            quota_view_at: Cell::default(),
            running_fingerprints: RefCell::default(),
            services: RefCell::default(),
            settings,
            split_credits: RefCell::default(),
            target_reach: RefCell::default(),
            reach_changed: Notify::new(),
            waiting_attempts: RefCell::default(),
            usable_tags: RefCell::default(),
            unknown_headers: UnknownHeaders::default(),
            view,
        })
    }

    /// The bounds in force.
    pub fn bounds(&self) -> Arc<Bounds> {
        self.bounds.load_full()
    }

    /// The view published by the control thread; `None` before the first one.
    pub fn view(&self) -> Option<Arc<View>> {
        self.view.load_full()
    }

    /// Assigns the key that identifies a new request in the event log.
    pub fn new_request_key(&self, attempt: Option<&RequestId>) -> RequestKey {
        self.request_count.set(self.request_count.get() + 1);
        RequestKey { attempt: attempt.cloned(), own: Some(self.request_count.get()) }
    }

    /// Records an event of a request.
    pub fn record(&self, request: &RequestKey, event: Event) {
        self.events.record(Some(request), event);
    }

    /// Chooses the service for a new request. The services of a split take turns by smooth weighted
    /// round-robin, so that each gets its weight to within one request.
    pub fn pick_service(&self, route: &Route) -> Option<ServiceId> {
        if let [(service, _)] = &*route.split {
            return Some(service.clone());
        }
        let total: f64 = route.split.iter().map(|(_, weight)| weight).sum();
        let mut split_credits = self.split_credits.borrow_mut();
        let credit = split_credits.entry(route.key.clone()).or_default();
        credit.resize(route.split.len(), 0.0);
        for (credit, (_, weight)) in credit.iter_mut().zip(&route.split) {
            *credit += weight / total.max(f64::MIN_POSITIVE);
        }
        let largest = (0..credit.len()).max_by(|a, b| credit[*a].total_cmp(&credit[*b]))?;
        credit[largest] -= 1.0;
        Some(route.split[largest].0.clone())
    }

    /// Counts a new request towards the service's demand and retry budget.
    pub fn count_arrival(&self, service: &ServiceId, route: &Route, team: Option<&Team>) {
        let now = self.clock.now();
        let regions = self.serving_regions(route, team);
        let mut services = self.services.borrow_mut();
        let state = services.entry(service.clone()).or_default();
        state.count_arrival(&regions, now);
    }

    /// Regions that have to serve a request: this host's if it may, else all that may.
    fn serving_regions(&self, route: &Route, team: Option<&Team>) -> Vec<RegionId> {
        let home = &self.settings.region;
        if allows_region(route, team, home) {
            return vec![home.clone()];
        }
        let regions: BTreeSet<&RegionId> = self.settings.zones.values().collect();
        let allowed = regions.into_iter().filter(|region| allows_region(route, team, region));
        allowed.cloned().collect()
    }

    /// Takes one retry out of the service's budget; false if none is left.
    pub fn take_retry(&self, view: &View, service: &ServiceId) -> bool {
        let now = self.clock.now();
        let mut services = self.services.borrow_mut();
        let state = services.entry(service.clone()).or_default();
        state.retry_budget.set_allowance(retry_allowance(&self.bounds(), view.hosts.len()));
        state.retry_budget.take_retry(now)
    }

    /// Records the time taken to connect to a target, which approximates a round trip to its
    /// region.
    pub fn record_connect(&self, target: &KnownTarget, took: Duration) {
        self.target_reach.borrow_mut().record_connected(self.clock.now());
        self.round_trips.borrow_mut().record(&target.region, took);
    }

    /// Updates the target's health and the service's estimates with the end of an attempt.
    pub fn record_attempt_end(
        &self,
        target: &KnownTarget,
        service: &ServiceId,
        forecast: &Forecast,
        ended: HealthSignal,
    ) {
        let now = self.clock.now();
        let mut services = self.services.borrow_mut();
        let state = services.entry(service.clone()).or_default();
        let mut target_health = self.target_health.borrow_mut();
        let health = target_health.entry(target.tag).or_default();
        let may_learn = health.slowdown(now) < MAX_LEARNING_SLOWDOWN;
        let expected = state.estimates.expected_time(forecast);
        let change = health.record_attempt(ended, expected, now);
        if let Some(took) = ended.answer_time()
            && forecast.has_free_slot
        {
            health.record_run(took, expected, now);
        }
        if let Some(change) = change {
            self.events.record(None, health_event(target, ended, change));
        }
        if let Some(took) = ended.answer_time()
            && may_learn
        {
            state.estimates.record_answer(forecast, took, self.tuning.learn_cache_capacity);
        }
        if ended == HealthSignal::Unreachable {
            self.pool.borrow_mut().close_idle(target.tag);
        }
    }

    /// Applies the objects that other hosts reported having requested from targets.
    fn apply_peer_objects(&self, view: &View) {
        if view.published_at <= self.peer_objects_applied_at.get() || !self.tuning.use_reported_runs
        {
            return;
        }
        self.peer_objects_applied_at.set(view.published_at);
        let mut cached = self.cached_objects.borrow_mut();
        for (target, object) in &view.recent_objects {
            cached.record_use(*target, *object);
        }
    }

    /// Updates measurements, removes expired entries and rebalances the shares of regions. Called
    /// several times a second.
    pub fn tick(&self) {
        let now = self.clock.now();
        let Some(view) = self.view() else { return };
        self.cold_target_limiter.borrow_mut().remove_idle(now);
        self.apply_peer_objects(&view);
        self.update_quota(&view);
        self.update_notices(&view);
        self.check_silence();
        self.recent_objects.borrow_mut().retain(|(at, _, _)| now < *at + RECENT_OBJECT_PERIOD);
        self.update_crash_suspects(&view);
        self.update_sent_totals(&view, now);
        self.update_parts(&view);
        self.update_first_runs(&view, now);
        self.update_reservations(&view);
        let elapsed = now.saturating_sub(self.demand_measured_at.get());
        if elapsed < Duration::from_millis(500) {
            return;
        }
        self.demand_measured_at.set(now);
        let mut usable = self.usable_tags.borrow_mut();
        usable.update(&view.targets);
        let known = usable.tags();
        self.pool.borrow_mut().evict(now, |tag| known.contains(&tag));
        self.relay_pool.borrow_mut().evict(now, |_| true);
        self.relays.borrow_mut().remove_expired(now);
        self.cached_objects.borrow_mut().retain(|tag| known.contains(&tag), now);
        self.target_health
            .borrow_mut()
            .retain(|tag, health| 0 < health.in_flight || known.contains(tag));
        self.target_notices.borrow_mut().retain(|tag| known.contains(&tag), now);
        let max_shift = self.bounds().max_shift;
        let max_shift = max_shift * self.sent_totals.borrow().pace(max_shift);
        for (service, state) in self.services.borrow_mut().iter_mut() {
            state.measure_demand(elapsed);
            let Some(targets) = view.targets.get(service) else { continue };
            state.target_index.update(targets);
            let loads = region_loads(&view, service, state, &self.target_notices.borrow(), now);
            if let Some(shares) = &mut state.shares {
                shares.step(&loads, max_shift, &self.tuning, now);
                state.report_shares(&*self.events, service);
            }
        }
    }

    /// Decides anew which optional parts are in use.
    fn update_parts(&self, view: &View) {
        let region = &self.settings.region;
        let hosts = view.hosts.iter().filter(|host| host.region == *region).count();
        let (mut deployment, mut version) = self.deployment.get();
        if let Some(declaration) = &view.declaration
            && version < declaration.version
        {
            version = declaration.version;
            let routes = declaration.routes.values().flatten();
            deployment.shortest_objective = routes.map(|route| route.objective).min();
        }
        deployment.region_hosts = deployment.region_hosts.max(hosts);
        if (deployment, version) == self.deployment.replace((deployment, version)) {
            return;
        }
        let parts = Parts::new(&self.settings.parts, deployment);
        if parts != self.parts.replace(parts) {
            self.events.record(None, parts_event(&parts));
        }
    }

    /// Adds up what this host and the others of its region sent to each region.
    fn update_sent_totals(&self, view: &View, now: Moment) {
        let mut sent = view.sent.clone();
        sent.add(&self.sent_counter.borrow_mut().counts(now));
        *self.capped_regions.borrow_mut() = sent.capped_regions(self.bounds().max_shift);
        *self.sent_totals.borrow_mut() = sent;
    }
}

/// The log event that lists which parts are in use, and why.
fn parts_event(parts: &Parts) -> Event {
    let describe = |(name, state): (&'static str, PartState)| {
        let reason: &'static str = state.reason.into();
        (name.into(), PartNote { is_on: state.is_on, reason: reason.into() })
    };
    Event::PartsChanged { parts: parts.iter().map(describe).collect() }
}

/// Fraction of the allowed retries that hosts use. The limit has to hold in any window of its
/// length, but the windows of the hosts' budgets start at different times.
const RETRY_BUDGET_FRACTION: f64 = 0.6;

/// One host's retry allowance. The ratio applies to the host's own requests, so each host uses it
/// in full; the fixed slack is divided among all hosts.
pub fn retry_allowance(bounds: &Bounds, hosts: usize) -> RetryAllowance {
    RetryAllowance {
        slack: bounds.retry_slack * RETRY_BUDGET_FRACTION / hosts.max(1) as f64,
        ratio: bounds.retry_ratio * RETRY_BUDGET_FRACTION,
    }
}

/// The log event for a target that was paused, or that recovered.
fn health_event(target: &KnownTarget, ended: HealthSignal, change: HealthChange) -> Event {
    let target = target.entry.id.clone();
    match change {
        HealthChange::Recovered => Event::TargetTrusted { target },
        HealthChange::Paused { failures, pause } => {
            let reason = match ended {
                HealthSignal::Unreachable => PauseReason::Unreachable,
                _ => PauseReason::Failing,
            };
            Event::TargetPaused { failures, pause_ms: pause.as_millis() as u64, reason, target }
        }
    }
}
