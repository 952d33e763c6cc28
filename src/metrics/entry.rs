//! Counters, gauges and histograms of an entry host, in the text form that scrapers read.
//!
//! Counting follows the events, so that a decision needs no second call. A scrape reads atomics and
//! holds no lock that traffic waits for; `cadence` pushes datagrams and can't be scraped. Histograms
//! come last: collectors that cap a scrape's size lose the longest part, not the counters.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Metric, Registry},
};

use crate::{
    event_log::{AttemptEnd, Event, EventSink, RequestKey},
    prelude::*,
};

/// Prefix of every name.
const PREFIX: &str = "lavenderplank";

/// Upper bounds of the histograms' buckets, in seconds: objectives are 0.3 to 0.5, deadlines 1.5 to
/// 3, and answers that come within 10 ms tell of a target that is not asked at all.
const BOUNDS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0];

/// Most services that are told apart; more are counted together. Deployments have three to ten.
const SERVICES_MOST: usize = 64;

/// Most teams with a label of their own; further teams share one.
const TEAMS_MOST: usize = 128;

/// Label of services and teams beyond these bounds.
const OTHER: &str = "other";

type Latencies<L> = Family<L, Histogram, fn() -> Histogram>;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ByService {
    end: &'static str,
    service: Arc<str>,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ByStage {
    end: &'static str,
    service: Arc<str>,
    stage: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ByError {
    error: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ByEnd {
    end: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ByEvent {
    event: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ByLimit {
    limit: Arc<str>,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ByTeam {
    end: &'static str,
    team: Arc<str>,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ByState {
    state: &'static str,
}

/// What a host is at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ControlFigures {
    pub declaration: u64,
    pub hosts: usize,
    /// Time since the store, or another host that follows it, last told something.
    pub store_age: Duration,
    pub targets_cold: usize,
    pub targets_warm: usize,
}

/// What the traffic side is at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrafficFigures {
    /// Callers' open connections.
    pub connections: usize,
    /// Attempts in flight.
    pub in_flight: u32,
    /// Targets that are paused.
    pub paused: usize,
}

/// All metrics of one host.
pub struct EntryMetrics {
    attempts: Family<ByService, Counter>,
    attempt_seconds: Latencies<ByStage>,
    connections: Gauge,
    control_wait: Histogram,
    declaration: Gauge,
    events: Family<ByEvent, Counter>,
    hosts: Gauge,
    in_flight: Gauge,
    lines_dropped: Gauge,
    names: Vec<&'static str>,
    packed_bytes: Counter,
    queries: Family<ByEnd, Counter>,
    query_seconds: Histogram,
    refusals: Family<ByError, Counter>,
    registry: Registry,
    requests: Family<ByService, Counter>,
    request_seconds: Latencies<ByService>,
    retries_denied: Family<ByLimit, Counter>,
    services: std::sync::Mutex<Vec<ServiceId>>,
    state_answers: Counter,
    store_age: Gauge<f64, AtomicU64>,
    targets: Family<ByState, Gauge>,
    teams: std::sync::Mutex<Vec<TeamId>>,
    team_requests: Family<ByTeam, Counter>,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let histogram: fn() -> Histogram = || Histogram::new(BOUNDS);
        let mut metrics = Self {
            attempts: Family::default(),
            attempt_seconds: Family::new_with_constructor(histogram),
            connections: Gauge::default(),
            control_wait: histogram(),
            declaration: Gauge::default(),
            events: Family::default(),
            hosts: Gauge::default(),
            in_flight: Gauge::default(),
            lines_dropped: Gauge::default(),
            names: Vec::new(),
            packed_bytes: Counter::default(),
            queries: Family::default(),
            query_seconds: histogram(),
            refusals: Family::default(),
            registry: Registry::with_prefix(PREFIX),
            requests: Family::default(),
            request_seconds: Family::new_with_constructor(histogram),
            retries_denied: Family::default(),
            services: std::sync::Mutex::default(),
            state_answers: Counter::default(),
            store_age: Gauge::default(),
            targets: Family::default(),
            teams: std::sync::Mutex::default(),
            team_requests: Family::default(),
        };
        metrics.register();
        metrics
    }
}

impl EntryMetrics {
    fn register(&mut self) {
        self.add("attempts", "attempts at targets that ended", self.attempts.clone());
        self.add("connections", "callers' open connections", self.connections.clone());
        let help = "version of the declaration in force";
        self.add("declaration_version", help, self.declaration.clone());
        self.add("events", "events by kind, logged or not", self.events.clone());
        self.add("hosts", "living hosts, this one included", self.hosts.clone());
        self.add("in_flight", "attempts in flight", self.in_flight.clone());
        let help = "lines of the log dropped since the start";
        self.add("log_lines_dropped", help, self.lines_dropped.clone());
        self.add("refusals", "requests answered by the host", self.refusals.clone());
        self.add("requests", "requests that were answered", self.requests.clone());
        let help = "further attempts that a limit did not allow";
        self.add("retries_denied", help, self.retries_denied.clone());
        self.add("state_answers", "answers to other hosts' queries", self.state_answers.clone());
        let help = "bytes of objects that were compressed for other hosts";
        self.add("state_packed_bytes", help, self.packed_bytes.clone());
        self.add("state_queries", "queries to other hosts that ended", self.queries.clone());
        let help = "time since the store's word last came, by itself or another host";
        self.add("store_age_seconds", help, self.store_age.clone());
        self.add("targets", "usable targets by state", self.targets.clone());
        let help = "requests of teams, taken or rejected by the team's limit";
        self.add("team_requests", help, self.team_requests.clone());
        self.register_histograms();
    }

    fn register_histograms(&mut self) {
        let help = "time that a tick waited for the control thread";
        self.add("control_wait_seconds", help, self.control_wait.clone());
        let help = "time of a query to another host";
        self.add("state_query_seconds", help, self.query_seconds.clone());
        let help = "time of a request from its head to its answer";
        self.add("request_seconds", help, self.request_seconds.clone());
        let help = "time of an attempt to its connection, its first byte and its end";
        self.add("attempt_seconds", help, self.attempt_seconds.clone());
    }

    fn add(&mut self, name: &'static str, help: &str, metric: impl Metric) {
        self.names.push(name);
        self.registry.register(name, help, metric);
    }

    /// Every name, without the prefix and a counter's ending.
    pub fn names(&self) -> &[&'static str] {
        &self.names
    }

    /// Counts what an event stands for.
    pub fn count(&self, event: &Event) {
        self.events.get_or_create(&ByEvent { event: event.kind().name() }).inc();
        match event {
            Event::Answered { error, end, service, took_ms, .. } => {
                let by = ByService { end: (*end).into(), service: self.service(service) };
                self.requests.get_or_create(&by).inc();
                self.request_seconds.get_or_create(&by).observe(seconds(*took_ms));
                if let Some(error) = error {
                    self.refusals.get_or_create(&ByError { error: (*error).into() }).inc();
                }
            }
            Event::AttemptEnded { connect_ms, end, first_byte_ms, service, took_ms, .. } => {
                self.attempt(*end, service, [*connect_ms, *first_byte_ms, Some(*took_ms)]);
            }
            Event::Refused { error, team, .. } => {
                self.refusals.get_or_create(&ByError { error: (*error).into() }).inc();
                if let (ErrorKind::QuotaExceeded, Some(team)) = (error, team) {
                    self.team_request(team, "limited");
                }
            }
            Event::Taken { team: Some(team), .. } => self.team_request(team, "taken"),
            Event::RetryDenied { limit, .. } => {
                self.retries_denied.get_or_create(&ByLimit { limit: limit.clone() }).inc();
            }
            _ => {}
        }
    }

    /// Takes the control side's figures.
    pub fn control(&self, figures: ControlFigures) {
        self.declaration.set(figures.declaration as i64);
        self.hosts.set(figures.hosts as i64);
        self.store_age.set(figures.store_age.as_secs_f64());
        self.targets(figures.targets_cold, "cold");
        self.targets(figures.targets_warm, "warm");
    }

    /// Counts an answer to another host's query, for which `packed` bytes of objects were compressed.
    pub fn state_answered(&self, packed: u64) {
        self.state_answers.inc();
        self.packed_bytes.inc_by(packed);
    }

    /// Counts a query to another host.
    pub fn queried(&self, took: Duration, end: &'static str) {
        self.queries.get_or_create(&ByEnd { end }).inc();
        self.query_seconds.observe(took.as_secs_f64());
    }

    /// Takes the time that a tick waited for the control thread.
    pub fn control_waited(&self, wait: Duration) {
        self.control_wait.observe(wait.as_secs_f64());
    }

    /// Takes the traffic side's figures.
    pub fn traffic(&self, figures: TrafficFigures) {
        self.connections.set(figures.connections as i64);
        self.in_flight.set(i64::from(figures.in_flight));
        self.targets(figures.paused, "paused");
    }

    /// Everything, as text. `dropped` is what the log has dropped so far.
    pub fn text(&self, dropped: u64) -> Result<String, std::fmt::Error> {
        self.lines_dropped.set(dropped as i64);
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }

    fn targets(&self, count: usize, state: &'static str) {
        self.targets.get_or_create(&ByState { state }).set(count as i64);
    }

    fn attempt(&self, end: AttemptEnd, service: &ServiceId, stages: [Option<u64>; 3]) {
        let (end, service) = (end.into(), self.service(service));
        self.attempts.get_or_create(&ByService { end, service: service.clone() }).inc();
        for (stage, millis) in ["connect", "first-byte", "whole"].into_iter().zip(stages) {
            let Some(millis) = millis else { continue };
            let by = ByStage { end, service: service.clone(), stage };
            self.attempt_seconds.get_or_create(&by).observe(seconds(millis));
        }
    }

    fn team_request(&self, team: &TeamId, end: &'static str) {
        let team = label(&self.teams, team, TEAMS_MOST);
        self.team_requests.get_or_create(&ByTeam { end, team }).inc();
    }

    fn service(&self, service: &ServiceId) -> Arc<str> {
        label(&self.services, service, SERVICES_MOST)
    }
}

/// Returns the label for a name. Operators replace names during the lifetime of a host, so the number
/// of distinct labels is bounded.
fn label(known: &std::sync::Mutex<Vec<Arc<str>>>, name: &Arc<str>, max: usize) -> Arc<str> {
    let mut known = known.lock().expect("no holder of this lock panics");
    if known.contains(name) {
        return name.clone();
    }
    if max <= known.len() {
        return OTHER.into();
    }
    known.push(name.clone());
    name.clone()
}

/// Counts events on their way to the log.
pub struct MeteredEvents {
    metrics: Arc<EntryMetrics>,
    next: Arc<dyn EventSink>,
}

impl MeteredEvents {
    /// Counts into `metrics` what goes to `next`.
    pub fn new(next: Arc<dyn EventSink>, metrics: Arc<EntryMetrics>) -> Self {
        Self { metrics, next }
    }
}

impl EventSink for MeteredEvents {
    fn record(&self, request: Option<&RequestKey>, event: Event) {
        self.metrics.count(&event);
        self.next.record(request, event);
    }

    fn dropped(&self) -> u64 {
        self.next.dropped()
    }
}

fn seconds(millis: u64) -> f64 {
    millis as f64 / 1e3
}
