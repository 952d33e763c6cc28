//! Which hosts a caller may use.

use super::{LiveHost, protocol::LookupPlace};
use crate::prelude::*;

/// Most addresses in one answer.
const MOST: usize = 64;

/// Addresses for a caller: the hosts of its region, or all where that has none. A caller chooses
/// among them by chance, so that every host of a region gets the same part of its callers.
pub fn addresses(hosts: &[LiveHost], place: &LookupPlace) -> Vec<SocketAddr> {
    let near = |host: &&LiveHost| host.region == place.region;
    let mut found: Vec<SocketAddr> =
        hosts.iter().filter(near).map(|host| host.callers).take(MOST).collect();
    if found.is_empty() {
        found = hosts.iter().map(|host| host.callers).take(MOST).collect();
    }
    found
}
