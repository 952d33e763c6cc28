//! Which hosts a caller may use.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

use super::{LiveHost, protocol::CallerLocation};
use crate::prelude::*;

/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// Addresses for a caller: the hosts of its region, or all where that has none. A caller chooses
/// among them by chance, so that every host of a region gets the same part of its callers.
pub fn host_addresses(hosts: &[LiveHost], location: &CallerLocation) -> Vec<SocketAddr> {
    let near = |host: &&LiveHost| host.region == location.region;
    let mut found: Vec<&LiveHost> = hosts.iter().filter(near).collect();
    if found.is_empty() {
        found = hosts.iter().collect();
    }
    let unstrained = found.iter().filter(|host| !host.is_strained).count();
    // Where most hosts are strained the load itself is too much: the rest would only be next.
    if found.len() <= unstrained * 2 {
        found.retain(|host| !host.is_strained);
    }
    if MAX_ADDRESSES < found.len() {
        found = subset_for_zone(found, &location.zone);
    }
    found.into_iter().map(|host| host.callers).collect()
}

/// As many of the hosts as an answer names: each zone's callers get another part, so that all hosts
/// are named to somebody, and the same ones each time, so that connections stay. The first ones for
/// everybody would leave the others of a large region without callers.
fn subset_for_zone<'a>(mut hosts: Vec<&'a LiveHost>, zone: &ZoneId) -> Vec<&'a LiveHost> {
    let zones: BTreeSet<&ZoneId> = hosts.iter().map(|host| &host.zone).collect();
    let zone_index = zones.iter().position(|it| *it == zone).unwrap_or_default();
    let first = zone_index * hosts.len() / zones.len().max(1);
    hosts.sort_by_key(|host| xxh3_64(host.host.as_bytes()));
    hosts.rotate_left(first);
    hosts.truncate(MAX_ADDRESSES);
    hosts
}
