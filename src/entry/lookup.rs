//! Which hosts a caller may use.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

use super::{LiveHost, protocol::LookupPlace};
use crate::prelude::*;

/// Most addresses in one answer.
const MOST: usize = 64;

/// Addresses for a caller: the hosts of its region, or all where that has none. A caller chooses
/// among them by chance, so that every host of a region gets the same part of its callers.
pub fn addresses(hosts: &[LiveHost], place: &LookupPlace) -> Vec<SocketAddr> {
    let near = |host: &&LiveHost| host.region == place.region;
    let mut found: Vec<&LiveHost> = hosts.iter().filter(near).collect();
    if found.is_empty() {
        found = hosts.iter().collect();
    }
    let at_ease = found.iter().filter(|host| !host.is_strained).count();
    // Where most hosts are strained the load itself is too much: the rest would only be next.
    if found.len() <= at_ease * 2 {
        found.retain(|host| !host.is_strained);
    }
    if MOST < found.len() {
        found = part_of(found, &place.zone);
    }
    found.into_iter().map(|host| host.callers).collect()
}

/// As many of the hosts as an answer names: each zone's callers get another part, so that all hosts
/// are named to somebody, and the same ones each time, so that connections stay. The first ones for
/// everybody would leave the others of a large region without callers.
fn part_of<'a>(mut hosts: Vec<&'a LiveHost>, zone: &ZoneId) -> Vec<&'a LiveHost> {
    let zones: BTreeSet<&ZoneId> = hosts.iter().map(|host| &host.zone).collect();
    let place = zones.iter().position(|it| *it == zone).unwrap_or_default();
    let first = place * hosts.len() / zones.len().max(1);
    hosts.sort_by_key(|host| xxh3_64(host.host.as_bytes()));
    hosts.rotate_left(first);
    hosts.truncate(MOST);
    hosts
}
