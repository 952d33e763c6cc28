//! The ways of choosing among targets of one tier.

use super::Tier;
use crate::{manifest::Weighing, prelude::*};

/// How the selector chooses among the targets of the nearest tier with room.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
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

impl Policy {
    /// How far a policy looks while nearer targets have room. One that knows latencies weighs the
    /// zones of a region together, so that a zone's slow target is not filled while its neighbours
    /// idle; a shift to another region never comes about that way.
    pub(super) fn reach(self) -> Tier {
        match self {
            Policy::TwoChoices | Policy::Weighed(_) => Tier::Region,
            _ => Tier::Zone,
        }
    }
}

/// Safeguards of the selector; measurements turn them off one by one to see what each is worth.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SelectorOptions {
    /// Targets that fail again and again are left out for a time.
    pub eject: bool,
    /// Cold targets start at a concurrency of one.
    pub ramp: bool,
}

impl Default for SelectorOptions {
    fn default() -> Self {
        Self { eject: true, ramp: true }
    }
}
