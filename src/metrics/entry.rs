//! Counters, gauges and histograms of an entry host, in the Prometheus text format.
//!
//! Most counters are derived from logged events, so that code that records an event needs no
//! second call. A scrape reads atomics and holds no lock that requests wait for. `cadence` is not
//! used here since it pushes datagrams and can't be scraped. Histograms are registered last:
//! collectors that limit the size of a scrape then cut off histograms, which are the longest part,
//! and not counters.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Metric, Registry},
};

use super::capacity::CapacityFamilies;
use crate::{
    entry::{AskCounts, Parts},
    event_log::{AttemptEnd, Event, EventSink, RequestKey},
    placement::NoticeCounts,
    prelude::*,
};

/// Prefix of all metric names.
const PREFIX: &str = "lavenderplank";

/// Upper bounds of the histogram buckets. Latency objectives are 0.3 to 0.5 s and deadlines 1.5 to
/// 3 s; a response within 10 ms indicates that no target was called.
const HISTOGRAM_BOUNDS_SECONDS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0];

/// Maximum number of services with their own label; others share `OVERFLOW_LABEL`. Deployments have
/// three to ten services.
const MAX_SERVICE_LABELS: usize = 64;

/// Maximum number of teams with their own label; others share `OVERFLOW_LABEL`.
const MAX_TEAM_LABELS: usize = 128;

/// Label of services and teams beyond the maximum number.
pub(super) const OVERFLOW_LABEL: &str = "other";

type Latencies<L> = Family<L, Histogram, fn() -> Histogram>;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ServiceLabels {
    end: &'static str,
    service: Arc<str>,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct StageLabels {
    end: &'static str,
    service: Arc<str>,
    stage: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ErrorLabels {
    error: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct EndLabels {
    end: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct EventLabels {
    event: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct LimitLabels {
    limit: Arc<str>,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct TeamLabels {
    end: &'static str,
    team: Arc<str>,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct PartLabels {
    part: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct StateLabels {
    state: &'static str,
}

/// Current values of the gauges of the control thread.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ControlGauges {
    pub declaration: u64,
    pub hosts: usize,
    /// Time since data last arrived from the store, directly or through another host.
    pub store_age: Duration,
    pub targets_cold: usize,
    pub targets_warm: usize,
}

/// Current values of the gauges of the traffic thread.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrafficGauges {
    /// Open connections of callers.
    pub connections: usize,
    /// Requests that this host counts as the owner of their targets.
    pub held_slots: usize,
    /// Attempts in flight.
    pub in_flight: u32,
    /// Targets that limit their requests, rest or leave, as they said themselves.
    pub notices: NoticeCounts,
    /// The optional parts in use.
    pub parts: Option<Parts>,
    /// Paused targets.
    pub paused: usize,
    /// Whether this host reaches any target.
    pub reaches_targets: bool,
    pub slot_asks: AskCounts,
    /// Responses of targets with a header that the platform defines and this release does not know.
    pub unknown_header_responses: u64,
}

/// All metrics of an entry host.
pub struct EntryMetrics {
    attempts: Family<ServiceLabels, Counter>,
    attempt_seconds: Latencies<StageLabels>,
    pub(super) capacity: CapacityFamilies,
    connections: Gauge,
    control_wait_seconds: Histogram,
    declaration: Gauge,
    events: Family<EventLabels, Counter>,
    held_slots: Gauge,
    hosts: Gauge,
    in_flight: Gauge,
    learned_state: Family<EndLabels, Counter>,
    lines_dropped: Gauge,
    names: Vec<&'static str>,
    parts: Family<PartLabels, Gauge>,
    reaches_targets: Gauge,
    relays: Family<EndLabels, Counter>,
    compressed_bytes: Counter,
    state_queries: Family<EndLabels, Counter>,
    state_query_seconds: Histogram,
    refusals: Family<ErrorLabels, Counter>,
    registry: Registry,
    requests: Family<ServiceLabels, Counter>,
    request_seconds: Latencies<ServiceLabels>,
    retries_denied: Family<LimitLabels, Counter>,
    services: std::sync::Mutex<Vec<ServiceId>>,
    slot_asks: Family<EndLabels, Gauge>,
    state_responses: Counter,
    store_age: Gauge<f64, AtomicU64>,
    targets: Family<StateLabels, Gauge>,
    teams: std::sync::Mutex<Vec<TeamId>>,
    team_requests: Family<TeamLabels, Counter>,
    unknown_headers: Gauge,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let histogram: fn() -> Histogram = || Histogram::new(HISTOGRAM_BOUNDS_SECONDS);
        let mut metrics = Self {
            attempts: Family::default(),
            attempt_seconds: Family::new_with_constructor(histogram),
            capacity: CapacityFamilies::default(),
            connections: Gauge::default(),
            control_wait_seconds: histogram(),
            declaration: Gauge::default(),
            events: Family::default(),
            held_slots: Gauge::default(),
            hosts: Gauge::default(),
            in_flight: Gauge::default(),
            learned_state: Family::default(),
            lines_dropped: Gauge::default(),
            names: Vec::new(),
            parts: Family::default(),
            reaches_targets: Gauge::default(),
            relays: Family::default(),
            compressed_bytes: Counter::default(),
            state_queries: Family::default(),
            state_query_seconds: histogram(),
            refusals: Family::default(),
            registry: Registry::with_prefix(PREFIX),
            requests: Family::default(),
            request_seconds: Family::new_with_constructor(histogram),
            retries_denied: Family::default(),
            services: std::sync::Mutex::default(),
            slot_asks: Family::default(),
            state_responses: Counter::default(),
            store_age: Gauge::default(),
            targets: Family::default(),
            teams: std::sync::Mutex::default(),
            team_requests: Family::default(),
            unknown_headers: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl EntryMetrics {
    fn register(&mut self) {
        self.register_metric("attempts", "attempts at targets that ended", self.attempts.clone());
        self.register_metric("connections", "callers' open connections", self.connections.clone());
        let help = "version of the declaration in force";
        self.register_metric("declaration_version", help, self.declaration.clone());
        self.register_metric("events", "events by kind, logged or not", self.events.clone());
        let help = "requests that this host counts as the owner of their targets";
        self.register_metric("held_slots", help, self.held_slots.clone());
        self.register_metric("hosts", "living hosts, this one included", self.hosts.clone());
        self.register_metric("in_flight", "attempts in flight", self.in_flight.clone());
        let help = "reads and writes of learned values in the store";
        self.register_metric("learned_state", help, self.learned_state.clone());
        let help = "lines of the log dropped since the start";
        self.register_metric("log_lines_dropped", help, self.lines_dropped.clone());
        let help = "1 for each optional part that is in use, 0 for others";
        self.register_metric("parts", help, self.parts.clone());
        let help = "1 if this host reaches any target, 0 if its links to all of them are cut";
        self.register_metric("reaches_targets", help, self.reaches_targets.clone());
        let help = "attempts to have another host serve a request that ended";
        self.register_metric("relays", help, self.relays.clone());
        self.register_metric("refusals", "requests answered by the host", self.refusals.clone());
        self.register_metric("requests", "requests that were answered", self.requests.clone());
        let help = "further attempts that a limit did not allow";
        self.register_metric("retries_denied", help, self.retries_denied.clone());
        let help = "asks for slots since the start";
        self.register_metric("slot_asks", help, self.slot_asks.clone());
        self.register_metric(
            "state_answers",
            "answers to other hosts' queries",
            self.state_responses.clone(),
        );
        let help = "bytes of objects that were compressed for other hosts";
        self.register_metric("state_packed_bytes", help, self.compressed_bytes.clone());
        self.register_metric(
            "state_queries",
            "queries to other hosts that ended",
            self.state_queries.clone(),
        );
        self.register_capacity();
        let help = "time since the store's word last came, by itself or another host";
        self.register_metric("store_age_seconds", help, self.store_age.clone());
        self.register_metric("targets", "usable targets by state", self.targets.clone());
        let help = "requests of teams, taken or rejected by the team's limit";
        self.register_metric("team_requests", help, self.team_requests.clone());
        let help = "answers of targets with a header of the platform that is not known here";
        self.register_metric("unknown_headers", help, self.unknown_headers.clone());
        self.register_histograms();
    }

    fn register_histograms(&mut self) {
        let help = "time that a tick waited for the control thread";
        self.register_metric("control_wait_seconds", help, self.control_wait_seconds.clone());
        let help = "time of a query to another host";
        self.register_metric("state_query_seconds", help, self.state_query_seconds.clone());
        let help = "time of a request from its head to its answer";
        self.register_metric("request_seconds", help, self.request_seconds.clone());
        let help = "time of an attempt to its connection, its first byte and its end";
        self.register_metric("attempt_seconds", help, self.attempt_seconds.clone());
    }

    pub(super) fn register_metric(&mut self, name: &'static str, help: &str, metric: impl Metric) {
        self.names.push(name);
        self.registry.register(name, help, metric);
    }

    /// Names of all metrics, without the prefix and the `_total` suffix of counters.
    pub fn names(&self) -> &[&'static str] {
        &self.names
    }

    /// Updates the metrics that are derived from `event`.
    pub fn record_event(&self, event: &Event) {
        self.events.get_or_create(&EventLabels { event: event.kind().name() }).inc();
        match event {
            Event::Answered { error, end, service, took_ms, .. } => {
                let labels =
                    ServiceLabels { end: (*end).into(), service: self.service_label(service) };
                self.requests.get_or_create(&labels).inc();
                self.request_seconds.get_or_create(&labels).observe(as_seconds(*took_ms));
                if let Some(error) = error {
                    self.refusals.get_or_create(&ErrorLabels { error: (*error).into() }).inc();
                }
            }
            Event::AttemptEnded { connect_ms, end, first_byte_ms, service, took_ms, .. } => {
                self.record_attempt(*end, service, [*connect_ms, *first_byte_ms, Some(*took_ms)]);
            }
            Event::LearnedIgnored { .. } => self.record_learned_state("ignored"),
            Event::LearnedRead { .. } => self.record_learned_state("read"),
            Event::LearnedUnwritten { .. } => self.record_learned_state("unwritten"),
            Event::LearnedWritten { .. } => self.record_learned_state("written"),
            Event::Refused { error, team, .. } => {
                self.refusals.get_or_create(&ErrorLabels { error: (*error).into() }).inc();
                if let (ErrorKind::QuotaExceeded, Some(team)) = (error, team) {
                    self.record_team_request(team, "limited");
                }
            }
            Event::Taken { team: Some(team), .. } => self.record_team_request(team, "taken"),
            Event::RelayEnded { end, .. } => {
                self.relays.get_or_create(&EndLabels { end: (*end).into() }).inc();
            }
            Event::RetryDenied { limit, .. } => {
                self.retries_denied.get_or_create(&LimitLabels { limit: limit.clone() }).inc();
            }
            _ => {}
        }
    }

    /// Sets the gauges of the control thread.
    pub fn set_control_gauges(&self, gauges: ControlGauges) {
        self.declaration.set(gauges.declaration as i64);
        self.hosts.set(gauges.hosts as i64);
        self.store_age.set(gauges.store_age.as_secs_f64());
        self.set_target_count(gauges.targets_cold, "cold");
        self.set_target_count(gauges.targets_warm, "warm");
    }

    /// Counts a response to a state query of another host. `compressed_bytes` is the size of the
    /// objects that were compressed for it.
    pub fn record_state_response(&self, compressed_bytes: u64) {
        self.state_responses.inc();
        self.compressed_bytes.inc_by(compressed_bytes);
    }

    /// Records a state query to another host.
    pub fn record_state_query(&self, took: Duration, end: &'static str) {
        self.state_queries.get_or_create(&EndLabels { end }).inc();
        self.state_query_seconds.observe(took.as_secs_f64());
    }

    /// Records the time that a tick waited for the control thread.
    pub fn observe_control_wait(&self, wait: Duration) {
        self.control_wait_seconds.observe(wait.as_secs_f64());
    }

    /// Sets the gauges of the traffic thread.
    pub fn set_traffic_gauges(&self, gauges: TrafficGauges) {
        self.connections.set(gauges.connections as i64);
        self.in_flight.set(i64::from(gauges.in_flight));
        self.reaches_targets.set(i64::from(gauges.reaches_targets));
        self.set_target_count(gauges.paused, "paused");
        self.set_target_count(gauges.notices.leaving, "leaving");
        self.set_target_count(gauges.notices.limited, "limited");
        self.set_target_count(gauges.notices.resting, "resting");
        self.unknown_headers.set(gauges.unknown_header_responses as i64);
        self.held_slots.set(gauges.held_slots as i64);
        let asks = gauges.slot_asks;
        for (end, count) in
            [("granted", asks.granted), ("refused", asks.refused), ("unanswered", asks.unanswered)]
        {
            self.slot_asks.get_or_create(&EndLabels { end }).set(count as i64);
        }
        for (part, state) in gauges.parts.iter().flat_map(Parts::iter) {
            self.parts.get_or_create(&PartLabels { part }).set(i64::from(state.is_on));
        }
    }

    /// Encodes all metrics as text. `dropped` is the number of log lines dropped since the start.
    pub fn encode_text(&self, dropped: u64) -> Result<String, std::fmt::Error> {
        self.lines_dropped.set(dropped as i64);
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }

    fn set_target_count(&self, count: usize, state: &'static str) {
        self.targets.get_or_create(&StateLabels { state }).set(count as i64);
    }

    fn record_attempt(&self, end: AttemptEnd, service: &ServiceId, stages: [Option<u64>; 3]) {
        let (end, service) = (end.into(), self.service_label(service));
        self.attempts.get_or_create(&ServiceLabels { end, service: service.clone() }).inc();
        for (stage, millis) in ["connect", "first-byte", "whole"].into_iter().zip(stages) {
            let Some(millis) = millis else { continue };
            let labels = StageLabels { end, service: service.clone(), stage };
            self.attempt_seconds.get_or_create(&labels).observe(as_seconds(millis));
        }
    }

    fn record_learned_state(&self, end: &'static str) {
        self.learned_state.get_or_create(&EndLabels { end }).inc();
    }

    fn record_team_request(&self, team: &TeamId, end: &'static str) {
        let team = bounded_label(&self.teams, team, MAX_TEAM_LABELS);
        self.team_requests.get_or_create(&TeamLabels { end, team }).inc();
    }

    pub(super) fn service_label(&self, service: &ServiceId) -> Arc<str> {
        bounded_label(&self.services, service, MAX_SERVICE_LABELS)
    }
}

/// Returns the label for a name. Operators replace names during the lifetime of a host, so the
/// number of distinct labels is bounded.
pub(super) fn bounded_label(
    known: &std::sync::Mutex<Vec<Arc<str>>>,
    name: &Arc<str>,
    max: usize,
) -> Arc<str> {
    let mut known = known.lock().expect("no holder of this lock panics");
    if known.contains(name) {
        return name.clone();
    }
    if max <= known.len() {
        return OVERFLOW_LABEL.into();
    }
    known.push(name.clone());
    name.clone()
}

/// Counts events and passes them on to the event log.
pub struct MeteredEventSink {
    metrics: Arc<EntryMetrics>,
    inner: Arc<dyn EventSink>,
}

impl MeteredEventSink {
    /// Creates a sink that counts events in `metrics` and passes them on to `inner`.
    pub fn new(inner: Arc<dyn EventSink>, metrics: Arc<EntryMetrics>) -> Self {
        Self { metrics, inner }
    }
}

impl EventSink for MeteredEventSink {
    fn record(&self, request: Option<&RequestKey>, event: Event) {
        self.metrics.record_event(&event);
        self.inner.record(request, event);
    }

    fn dropped(&self) -> u64 {
        self.inner.dropped()
    }
}

fn as_seconds(millis: u64) -> f64 {
    millis as f64 / 1e3
}
