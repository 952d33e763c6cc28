//! The closed list of metrics.

/// How a metric is to be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MetricKind {
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
    ConnectionsRefused,
    Events,
    HandoverEntries,
    InFlight,
    InvariantsBroken,
    ManifestSequence,
    Refused,
    Requests,
    SlotsFree,
    TargetErrors,
}

impl Metric {
    /// Every metric, for tests and for the operators' reference.
    pub const ALL: [Metric; 10] = [
        Metric::ConnectionsRefused,
        Metric::Events,
        Metric::HandoverEntries,
        Metric::InFlight,
        Metric::InvariantsBroken,
        Metric::ManifestSequence,
        Metric::Refused,
        Metric::Requests,
        Metric::SlotsFree,
        Metric::TargetErrors,
    ];

    /// Name on the wire, after the prefix.
    pub fn name(self) -> &'static str {
        self.definition().0
    }

    /// How it is to be read.
    pub fn kind(self) -> MetricKind {
        self.definition().1
    }

    /// One line for the operators' reference; `label` is what tells its parts from one another.
    pub fn doc(self) -> &'static str {
        self.definition().2
    }

    fn definition(self) -> (&'static str, MetricKind, &'static str) {
        use MetricKind::{Counter, Gauge};
        match self {
            Metric::ConnectionsRefused => {
                ("connections_refused", Counter, "connections closed since all allowed were open")
            }
            Metric::Events => ("events", Counter, "events recorded; label: kind of event"),
            Metric::HandoverEntries => {
                ("handover_entries", Counter, "ledger entries at a planned stop; label: done, lost")
            }
            Metric::InFlight => ("in_flight", Gauge, "requests being served"),
            Metric::InvariantsBroken => {
                ("invariants_broken", Counter, "broken invariants; label: name of the invariant")
            }
            Metric::ManifestSequence => {
                ("manifest_sequence", Gauge, "sequence number of the manifest in force")
            }
            Metric::Refused => ("refused", Counter, "requests refused; label: error kind"),
            Metric::Requests => ("requests", Counter, "requests answered; label: ran"),
            Metric::SlotsFree => ("slots_free", Gauge, "free slots of own targets; label: service"),
            Metric::TargetErrors => {
                ("target_errors", Counter, "attempts that failed; label: error kind")
            }
        }
    }
}
