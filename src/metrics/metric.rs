//! The metrics that a host sends.

/// How the values of a metric are to be interpreted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MetricKind {
    /// Only increases; a restart resets it to zero.
    Counter,
    /// The value at the time of sending.
    Gauge,
    /// Durations in milliseconds.
    Timing,
}

/// A metric of a host.
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
    /// All metrics, for tests and for the operators' reference.
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

    /// Name in datagrams, without the prefix.
    pub fn name(self) -> &'static str {
        self.definition().0
    }

    pub fn kind(self) -> MetricKind {
        self.definition().1
    }

    /// One-line description for the operators' reference. If it names a label, the metric is split
    /// by that label.
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
