//! The object on the platform that lists the hosts of a zone.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{LEASE, WITNESS_COUNT};
use crate::prelude::*;

/// The hosts that share the targets of one zone.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneTenure {
    /// Increases by one with each write.
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
    /// Returns the key of the object.
    pub fn object_key(member: &MemberId, zone: &ZoneId) -> String {
        format!("tenure/{member}/{zone}")
    }

    /// Returns the witnesses of `host`: the listed hosts whose responses confirm its lease and that
    /// may remove it. In a zone of up to three hosts these are all the others. In a larger zone a
    /// host cannot contact all the others within one lease; reading from the platform instead would
    /// cost 1,700 reads a second.
    pub fn witnesses(&self, host: &str) -> Vec<HostId> {
        let key = xxh3_64_with_seed(host.as_bytes(), 0);
        let weight = |other: &HostId| xxh3_64_with_seed(other.as_bytes(), key);
        let others = self.hosts.iter().map(|holder| &holder.host);
        let mut others: Vec<&HostId> = others.filter(|other| &***other != host).collect();
        others.sort_by_key(|other| (Reverse(weight(other)), *other));
        others.into_iter().take(WITNESS_COUNT).cloned().collect()
    }

    /// Returns how long a host that was removed, or that does not know of a new host, may still use
    /// its former targets.
    ///
    /// If all other hosts are witnesses, none confirms an older list once a newer one is written,
    /// so one lease is enough. In a larger zone the witnesses themselves may learn of the newer
    /// list only in later exchanges; another lease covers that.
    pub fn takeover_delay(&self) -> Duration {
        if self.hosts.len() <= WITNESS_COUNT + 1 { LEASE } else { LEASE * 2 }
    }

    /// Whether the list contains that incarnation.
    pub fn contains(&self, holder: &Holder) -> bool {
        self.hosts.contains(holder)
    }

    /// Returns the incarnation listed under that name.
    pub fn incarnation_of(&self, host: &str) -> Option<Incarnation> {
        let holder = self.hosts.iter().find(|holder| &*holder.host == host)?;
        Some(holder.incarnation)
    }
}
