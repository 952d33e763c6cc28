//! Times and bounds of the membership.

use crate::prelude::*;

/// Times and bounds of the membership. Times hold for a zone of up to four hosts; in larger zones
/// news takes more hops, and each doubling adds `per_doubling`.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipLimits {
    /// Silence after which a host is forgotten.
    pub gone_after: Duration,
    /// Most entries taken from one message; more is a fault of the sender.
    pub max_entries: usize,
    /// Peers of the own zone to exchange with at each tick.
    pub peers_in_zone: usize,
    /// Added to the times for each doubling of a zone past four hosts.
    pub per_doubling: Duration,
    /// Silence after which a host is suspected.
    pub suspect_after: Duration,
    /// Time between two ticks.
    pub tick: Duration,
    /// Silence after which a zone whose hosts were never told gone is forgotten.
    pub zone_forgotten_after: Duration,
    /// Silence after which all hosts of another zone are suspected.
    pub zone_silent_after: Duration,
}

impl Default for MembershipLimits {
    fn default() -> Self {
        Self {
            gone_after: Duration::from_secs(10),
            max_entries: 4096,
            peers_in_zone: 2,
            per_doubling: Duration::from_secs(1),
            suspect_after: Duration::from_secs(3),
            tick: Duration::from_secs(1),
            zone_forgotten_after: Duration::from_secs(3600),
            zone_silent_after: Duration::from_secs(5),
        }
    }
}

impl MembershipLimits {
    /// What a zone of `hosts` adds to the times.
    pub fn slack(&self, hosts: usize) -> Duration {
        let doublings = (hosts.max(1).div_ceil(4) as u32).next_power_of_two().ilog2();
        self.per_doubling * doublings
    }
}
