//! The object on the platform.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{LEASE, WITNESS_COUNT};
use crate::prelude::*;

/// The hosts that share the targets of one zone.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneTenure {
    /// Rises by one with each write.
    pub fence: u64,
    /// Sorted by name.
    pub hosts: Vec<Holder>,
}

/// One host of the list.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Holder {
    pub host: HostId,
    pub incarnation: Incarnation,
}

impl ZoneTenure {
    /// Key of the object.
    pub fn object_key(member: &MemberId, zone: &ZoneId) -> String {
        format!("tenure/{member}/{zone}")
    }

    /// The listed hosts that watch `host`: its right needs their answers, and only they remove it.
    /// In a zone of up to three hosts these are all others. In a larger one a host cannot ask all
    /// others within a lease, and would have to ask the platform instead: 1,700 reads a second.
    pub fn witnesses(&self, host: &str) -> Vec<HostId> {
        let key = xxh3_64_with_seed(host.as_bytes(), 0);
        let weight = |other: &HostId| xxh3_64_with_seed(other.as_bytes(), key);
        let others = self.hosts.iter().map(|holder| &holder.host);
        let mut others: Vec<&HostId> = others.filter(|other| &***other != host).collect();
        others.sort_by_key(|other| (Reverse(weight(other)), *other));
        others.into_iter().take(WITNESS_COUNT).cloned().collect()
    }

    /// How long a host that was removed, or that does not know of a new one, may still act.
    ///
    /// With all others as witnesses nobody confirms an older list once a newer one is written, so
    /// one lease is enough. In a larger zone the witnesses themselves may hear of the newer list
    /// only with the next exchanges; another lease covers that.
    pub fn takeover_delay(&self) -> Duration {
        if self.hosts.len() <= WITNESS_COUNT + 1 { LEASE } else { LEASE * 2 }
    }

    /// Whether that incarnation is listed.
    pub fn contains(&self, holder: &Holder) -> bool {
        self.hosts.contains(holder)
    }

    /// The incarnation listed under that name.
    pub fn incarnation_of(&self, host: &str) -> Option<Incarnation> {
        let holder = self.hosts.iter().find(|holder| &*holder.host == host)?;
        Some(holder.incarnation)
    }
}
