//! Policies for choosing among the usable targets.

use super::Tier;
use crate::{manifest::Weighing, prelude::*};

/// How the selector chooses among the usable targets.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The target with the fewest requests of this host in flight.
    LeastInFlight,
    /// Uniformly at random.
    Random,
    /// The target with the lowest utilization in its last load report. Late or wrong reports lead
    /// to bad choices.
    ReportedLoad,
    /// Each target in turn.
    RoundRobin,
    /// The better of two random targets by latency and load.
    TwoChoices,
    /// The target with the lowest cost. Latency and headroom are weighed as the member configures.
    Weighed(Weighing),
}

impl Policy {
    /// The furthest tier that the policy considers while nearer targets have room. Policies that
    /// use latencies compare the targets of all zones of a region, so that a slow target in this
    /// zone is not filled while targets in other zones are idle. Such a comparison never causes a
    /// shift to another region.
    pub(super) fn max_tier(self) -> Tier {
        match self {
            Policy::TwoChoices | Policy::Weighed(_) => Tier::Region,
            _ => Tier::Zone,
        }
    }
}

/// Which safeguards of the selector are enabled. Measurements disable them one by one to determine
/// the effect of each.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SelectorOptions {
    /// Ejects targets for a time after repeated failures.
    pub eject: bool,
    /// Starts cold targets at a concurrency of one.
    pub ramp: bool,
}

impl Default for SelectorOptions {
    fn default() -> Self {
        Self { eject: true, ramp: true }
    }
}
