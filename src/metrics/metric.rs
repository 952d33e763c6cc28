//! The closed list of metrics.

/// How a metric is to be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shape {
    /// Only grows; a restart starts it from nothing.
    Counter,
    /// The value at the moment it was sent.
    Gauge,
    /// Durations in milliseconds.
    Timing,
}

/// Every metric of a host.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Metric {
    BreakerOpen,
    Events,
    EventsDropped,
    HandoverEntries,
    InFlight,
    InvariantsBroken,
    LeaseLeft,
    LedgerBytes,
    LedgerEntries,
    ManifestSequence,
    PeersLive,
    PlatformCalls,
    QueueLength,
    Refused,
    RequestTime,
    Requests,
    ShiftShare,
    SlotsFree,
    TargetErrors,
}

impl Metric {
    /// Every metric, for tests and for the operators' reference.
    pub const ALL: [Metric; 19] = [
        Metric::BreakerOpen,
        Metric::Events,
        Metric::EventsDropped,
        Metric::HandoverEntries,
        Metric::InFlight,
        Metric::InvariantsBroken,
        Metric::LeaseLeft,
        Metric::LedgerBytes,
        Metric::LedgerEntries,
        Metric::ManifestSequence,
        Metric::PeersLive,
        Metric::PlatformCalls,
        Metric::QueueLength,
        Metric::Refused,
        Metric::RequestTime,
        Metric::Requests,
        Metric::ShiftShare,
        Metric::SlotsFree,
        Metric::TargetErrors,
    ];

    /// Name on the wire, after the prefix.
    pub fn name(self) -> &'static str {
        self.row().0
    }

    /// How it is to be read.
    pub fn shape(self) -> Shape {
        self.row().1
    }

    /// One line for the operators' reference; `label` is what tells its parts from one another.
    pub fn doc(self) -> &'static str {
        self.row().2
    }

    fn row(self) -> (&'static str, Shape, &'static str) {
        use Shape::{Counter, Gauge, Timing};
        match self {
            Metric::BreakerOpen => ("breaker_open", Gauge, "1 while the platform is held for down"),
            Metric::Events => ("events", Counter, "events recorded; label: kind of event"),
            Metric::EventsDropped => {
                ("events_dropped", Gauge, "events pushed out of the ring by newer ones")
            }
            Metric::HandoverEntries => {
                ("handover_entries", Counter, "ledger entries at a planned stop; label: done, lost")
            }
            Metric::InFlight => ("in_flight", Gauge, "requests being served"),
            Metric::InvariantsBroken => {
                ("invariants_broken", Counter, "broken invariants; label: name of the invariant")
            }
            Metric::LeaseLeft => {
                ("lease_left_ms", Gauge, "time left on the right to send to own targets")
            }
            Metric::LedgerBytes => ("ledger_bytes", Gauge, "kept answers"),
            Metric::LedgerEntries => ("ledger_entries", Gauge, "non-repeatable requests on record"),
            Metric::ManifestSequence => {
                ("manifest_sequence", Gauge, "sequence number of the manifest in force")
            }
            Metric::PeersLive => ("peers_live", Gauge, "peers that answer; label: zone"),
            Metric::PlatformCalls => {
                ("platform_calls", Counter, "calls to the platform; label: kind of call")
            }
            Metric::QueueLength => ("queue_length", Gauge, "requests waiting for a slot"),
            Metric::Refused => ("refused", Counter, "requests refused; label: error kind"),
            Metric::RequestTime => {
                ("request_time", Timing, "from the request's head to the end of its answer")
            }
            Metric::Requests => ("requests", Counter, "requests answered; label: ran"),
            Metric::ShiftShare => {
                ("shift_share", Gauge, "share served away from home; label: service")
            }
            Metric::SlotsFree => ("slots_free", Gauge, "free slots of own targets; label: service"),
            Metric::TargetErrors => {
                ("target_errors", Counter, "attempts that failed; label: error kind")
            }
        }
    }
}
