//! The ways of choosing among targets of one tier.

use crate::manifest::Weighing;

/// How the selector chooses among the targets of the nearest tier with room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Fewest requests of this host in flight.
    LeastInFlight,
    /// Any, evenly.
    Random,
    /// Lowest busy share of the last load report; late or wrong reports mislead it.
    ReportedLoad,
    /// One after the other.
    RoundRobin,
    /// The better by latency and load of two random ones.
    TwoChoices,
    /// As the member weighs latency against headroom.
    Weighed(Weighing),
}

/// Safeguards of the selector; measurements turn them off one by one to see what each is worth.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rules {
    /// Targets that fail again and again are left out for a time.
    pub eject: bool,
    /// Cold targets start at a concurrency of one.
    pub ramp: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Self { eject: true, ramp: true }
    }
}
