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

/// Whether `host` is one of the two hosts that may send to a target whose rate is limited. Hosts of the target's
/// region have precedence; if there are none, hosts of all regions are eligible.
pub fn is_paced_sender(target: &KnownTarget, host: &HostId, hosts: &[LiveHost]) -> bool {
    let weight = |name: &HostId| xxh3_64_with_seed(name.as_bytes(), u64::from(target.tag));
    let own = weight(host);
    let has_local_hosts = hosts.iter().any(|live| live.region == target.region);
    let rivals = hosts.iter().filter(|live| {
        live.host != *host
            && (!has_local_hosts || live.region == target.region)
            && own < weight(&live.host)
    });
    let is_local = hosts.iter().any(|live| live.host == *host && live.region == target.region);
    (!has_local_hosts || is_local) && rivals.count() < SENDERS_PER_TARGET
}
