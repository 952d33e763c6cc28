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

/// Whether this host is one of these hosts, for the targets asked about since the list of live hosts
/// changed. With a thousand hosts, each answer takes as many hashes.
#[derive(Debug, Default)]
pub struct PacedSenderCache {
    hosts: Arc<[LiveHost]>,
    is_sender: HashMap<TargetTag, bool>,
}

impl PacedSenderCache {
    /// See `is_paced_sender`.
    pub fn is_sender(
        &mut self,
        target: &KnownTarget,
        host: &HostId,
        hosts: &Arc<[LiveHost]>,
    ) -> bool {
        if !Arc::ptr_eq(&self.hosts, hosts) {
            self.hosts = hosts.clone();
            self.is_sender.clear();
        }
        *self.is_sender.entry(target.tag).or_insert_with(|| is_paced_sender(target, host, hosts))
    }
}

/// Whether `host` is one of the two hosts that may send to a target whose rate is limited. Hosts that
/// reach no target are left out unless all are such hosts. Hosts of the target's region have
/// precedence; if there are none, hosts of all regions are eligible.
pub fn is_paced_sender(target: &KnownTarget, host: &HostId, hosts: &[LiveHost]) -> bool {
    let weight = |name: &HostId| xxh3_64_with_seed(name.as_bytes(), u64::from(target.tag));
    let own = weight(host);
    let none_reaches_targets = hosts.iter().all(|live| !live.reaches_targets);
    let reaches_target = |live: &&LiveHost| live.reaches_targets || none_reaches_targets;
    let is_local = |live: &LiveHost| live.region == target.region;
    let has_local_hosts = hosts.iter().filter(reaches_target).any(is_local);
    let rivals = hosts.iter().filter(reaches_target).filter(|live| {
        live.host != *host && (!has_local_hosts || is_local(live)) && own < weight(&live.host)
    });
    let may_send = match hosts.iter().find(|live| live.host == *host) {
        Some(live) => reaches_target(&live) && (!has_local_hosts || is_local(live)),
        None => !has_local_hosts,
    };
    may_send && rivals.count() < SENDERS_PER_TARGET
}
