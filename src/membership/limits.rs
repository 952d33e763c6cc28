//! Timeouts and bounds of the membership protocol.

use crate::prelude::*;

/// Timeouts and bounds of the membership protocol. The timeouts apply to a zone of up to four
/// hosts. In a larger zone a change takes more hops to spread, so each doubling of the number of
/// hosts adds `extra_per_doubling`.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipLimits {
    /// Silence after which a host is forgotten.
    pub forget_after: Duration,
    /// Maximum number of entries accepted in each list of a message; a correct sender stays below
    /// it.
    pub max_entries: usize,
    /// Number of hosts of the own zone to exchange with at each tick.
    pub partners_in_zone: usize,
    /// Added to the timeouts for each doubling of the number of hosts beyond four.
    pub extra_per_doubling: Duration,
    /// Silence after which a host is suspected.
    pub suspect_after: Duration,
    /// Time between two ticks.
    pub tick: Duration,
    /// Silence after which another zone is forgotten, if its hosts were never reported as gone.
    pub forget_zone_after: Duration,
    /// Silence after which all hosts of another zone are suspected.
    pub suspect_zone_after: Duration,
}

impl Default for MembershipLimits {
    fn default() -> Self {
        Self {
            forget_after: Duration::from_secs(10),
            max_entries: 4096,
            partners_in_zone: 2,
            extra_per_doubling: Duration::from_secs(1),
            suspect_after: Duration::from_secs(3),
            tick: Duration::from_secs(1),
            forget_zone_after: Duration::from_secs(3600),
            suspect_zone_after: Duration::from_secs(5),
        }
    }
}

impl MembershipLimits {
    /// Returns what `hosts` hosts add to the timeouts.
    pub fn slack(&self, hosts: usize) -> Duration {
        let doublings = (hosts.max(1).div_ceil(4) as u32).next_power_of_two().ilog2();
        self.extra_per_doubling * doublings
    }
}
