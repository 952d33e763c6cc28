//! Which hosts a caller may use.

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
    found.into_iter().map(|host| host.callers).take(MOST).collect()
}
