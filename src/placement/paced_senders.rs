//! Hosts that may send to a target whose rate is limited for all hosts together.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::TargetTag;
use crate::{
    entry::{KnownTarget, LiveHost},
    prelude::*,
};

/// Hosts that may send to one such target. A single one could be cut off from it.
pub const SENDERS_PER_TARGET: usize = 2;

/// Rank of this host among those that may send to a target, for the targets asked about since the list
/// of live hosts changed. With a thousand hosts, each answer takes as many hashes.
#[derive(Debug, Default)]
pub struct PacedSenderCache {
    hosts: Arc<[LiveHost]>,
    ranks: HashMap<TargetTag, Option<usize>>,
}

impl PacedSenderCache {
    /// See `paced_rank`.
    pub fn rank(
        &mut self,
        target: &KnownTarget,
        host: &HostId,
        hosts: &Arc<[LiveHost]>,
    ) -> Option<usize> {
        if !Arc::ptr_eq(&self.hosts, hosts) {
            self.hosts = hosts.clone();
            self.ranks.clear();
        }
        *self.ranks.entry(target.tag).or_insert_with(|| paced_rank(target, host, hosts))
    }
}

/// Rank of `host` among the hosts that may send to a target whose rate is limited. The first two
/// send; others only take turns to ask a silent target. Hosts that reach no target have no rank
/// unless all are such hosts. Hosts of the target's region come first, and if there are any, no other
/// host is among the two.
pub fn paced_rank(target: &KnownTarget, host: &HostId, hosts: &[LiveHost]) -> Option<usize> {
    let weight = |name: &HostId| xxh3_64_with_seed(name.as_bytes(), u64::from(target.tag));
    let own = weight(host);
    let none_reaches_targets = hosts.iter().all(|live| !live.reaches_targets);
    let reaches_target = |live: &&LiveHost| live.reaches_targets || none_reaches_targets;
    let is_local = |live: &LiveHost| live.region == target.region;
    let local_hosts = hosts.iter().filter(reaches_target).filter(|live| is_local(live)).count();
    let listed = hosts.iter().find(|live| live.host == *host);
    if listed.is_some_and(|live| !reaches_target(&live)) {
        return None;
    }
    let is_own_local = listed.is_some_and(is_local);
    let rivals = hosts.iter().filter(reaches_target).filter(|live| {
        live.host != *host && is_local(live) == is_own_local && own < weight(&live.host)
    });
    let before = match is_own_local || local_hosts == 0 {
        true => 0,
        false => local_hosts.max(SENDERS_PER_TARGET),
    };
    Some(before + rivals.count())
}
