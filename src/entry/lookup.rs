//! Selection of the hosts that are returned to a caller's look-up.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

use super::{LiveHost, protocol::CallerLocation};
use crate::prelude::*;

/// Maximum number of addresses in one response.
const MAX_ADDRESSES: usize = 64;

/// Addresses for a caller: the hosts of its region, or all hosts if the region has none. Callers
/// choose among them at random, so the hosts of a region get equal shares of its callers.
pub fn host_addresses(hosts: &[LiveHost], location: &CallerLocation) -> Vec<SocketAddr> {
    let near = |host: &&LiveHost| host.region == location.region;
    let mut found: Vec<&LiveHost> = hosts.iter().filter(near).collect();
    if found.is_empty() {
        found = hosts.iter().collect();
    }
    // If more than half of the hosts are strained, the total load is too high, and the other hosts
    // would become strained too. The same holds for hosts that reach no target: other hosts serve
    // their requests anyway.
    retain_if_most(&mut found, |host| host.reaches_targets);
    retain_if_most(&mut found, |host| !host.is_strained);
    if MAX_ADDRESSES < found.len() {
        found = subset_for_zone(found, &location.zone);
    }
    found.into_iter().map(|host| host.callers).collect()
}

/// Keeps the hosts for which `is_preferred` holds if these are at least half.
fn retain_if_most(hosts: &mut Vec<&LiveHost>, is_preferred: impl Fn(&LiveHost) -> bool) {
    let preferred = hosts.iter().filter(|host| is_preferred(host)).count();
    if hosts.len() <= preferred * 2 {
        hosts.retain(|host| is_preferred(host));
    }
}

/// Limits the hosts to the number that fits in a response. Each zone's callers get a different
/// subset, since otherwise most hosts of a large region would get no callers. The subset stays the
/// same between look-ups, so that callers keep their connections.
fn subset_for_zone<'a>(mut hosts: Vec<&'a LiveHost>, zone: &ZoneId) -> Vec<&'a LiveHost> {
    let zones: BTreeSet<&ZoneId> = hosts.iter().map(|host| &host.zone).collect();
    let zone_index = zones.iter().position(|it| *it == zone).unwrap_or_default();
    let first = zone_index * hosts.len() / zones.len().max(1);
    hosts.sort_by_key(|host| xxh3_64(host.host.as_bytes()));
    hosts.rotate_left(first);
    hosts.truncate(MAX_ADDRESSES);
    hosts
}
