//! The owner of each group among the live hosts.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::GroupNumber;
use crate::{
    entry::LiveHost,
    placement::{NameTag, name_tag},
    prelude::*,
};

/// A group of targets: service, region and number.
pub type GroupKey = (NameTag, NameTag, GroupNumber);

/// Owners of the groups that were asked about since the list of live hosts changed.
#[derive(Debug, Default)]
pub struct OwnerCache {
    hosts: Arc<[LiveHost]>,
    /// Positions in `hosts`.
    owners: HashMap<GroupKey, Option<usize>>,
}

impl OwnerCache {
    /// The owner of a group; `None` if no host of the region can be it.
    pub fn owner(&mut self, group: GroupKey, hosts: &Arc<[LiveHost]>) -> Option<&LiveHost> {
        if !Arc::ptr_eq(&self.hosts, hosts) {
            self.hosts = hosts.clone();
            self.owners.clear();
        }
        let position = *self.owners.entry(group).or_insert_with(|| find_owner(group, hosts));
        self.hosts.get(position?)
    }
}

/// Position of the host with the lowest score among those of the region that can own targets. All
/// hosts with the same list find the same one, and each owns groups in proportion to its capacity.
fn find_owner((service, region, group): GroupKey, hosts: &[LiveHost]) -> Option<usize> {
    let seed = u64::from(service) << 32 | u64::from(region) ^ u64::from(group).rotate_left(17);
    let can_own = |host: &LiveHost| {
        host.relay.is_some()
            && host.reaches_targets
            && !host.is_strained
            && name_tag(&host.region) == region
    };
    let candidates = hosts.iter().enumerate().filter(|(_, host)| can_own(host));
    let scored = candidates.map(|(position, host)| (score(host, seed), position));
    scored.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, position)| position)
}

/// Exponentially distributed with the capacity as its rate.
fn score(host: &LiveHost, seed: u64) -> f64 {
    let hash = xxh3_64_with_seed(host.host.as_bytes(), seed);
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -uniform.ln() / f64::from(host.capacity.max(1))
}
