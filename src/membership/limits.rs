//! Times and bounds of the membership.

use crate::prelude::*;

/// Times and bounds of the membership. Times hold for a zone of up to four hosts; in larger zones
/// news takes more hops, and each doubling adds `extra_per_doubling`.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipLimits {
    /// Silence after which a host is forgotten.
    pub forget_after: Duration,
    /// Most entries taken from one message; more is a fault of the sender.
    pub max_entries: usize,
    /// Peers of the own zone to exchange with at each tick.
    pub partners_in_zone: usize,
    /// Added to the times for each doubling of a zone past four hosts.
    pub extra_per_doubling: Duration,
    /// Silence after which a host is suspected.
    pub suspect_after: Duration,
    /// Time between two ticks.
    pub tick: Duration,
    /// Silence after which a zone whose hosts were never told gone is forgotten.
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
    /// What a zone of `hosts` adds to the times.
    pub fn slack(&self, hosts: usize) -> Duration {
        let doublings = (hosts.max(1).div_ceil(4) as u32).next_power_of_two().ilog2();
        self.extra_per_doubling * doublings
    }
}
