//! Choice of the host that serves a request for a host that reaches no target.

use rand::{Rng, seq::IndexedRandom};

use super::LiveHost;
use crate::prelude::*;

/// What the choice depends on.
pub struct RelayQuery<'a> {
    pub hosts: &'a [LiveHost],
    /// The host that passes the request on, and its region.
    pub own_host: &'a HostId,
    pub own_region: &'a RegionId,
    /// Whether the request has to stay in the regions that `may_enter` allows. A host of another
    /// region may not even receive its body.
    pub has_homes: bool,
    /// Hosts that are not chosen: they were tried, or did not answer recently.
    pub excluded: &'a dyn Fn(&HostId) -> bool,
    pub may_enter: &'a dyn Fn(&RegionId) -> bool,
    /// Requests that this host has in flight at another host.
    pub in_flight: &'a dyn Fn(&HostId) -> u32,
}

/// Chooses a host that reaches targets and has enough processor time; `None` if there is none, so
/// that the request is refused at once. Hosts of the own region have precedence. Of two random hosts
/// the one with more processor time for each request in flight is taken, so that no host gets the
/// requests of all hosts that are cut off.
pub fn choose_relay_host<'a>(query: &RelayQuery<'a>, rng: &mut impl Rng) -> Option<&'a LiveHost> {
    let is_candidate = |host: &&LiveHost| {
        host.reaches_targets
            && !host.is_strained
            && host.relay.is_some()
            && host.host != *query.own_host
            && (!query.has_homes || (query.may_enter)(&host.region))
            && !(query.excluded)(&host.host)
    };
    let candidates: Vec<&LiveHost> = query.hosts.iter().filter(is_candidate).collect();
    let near: Vec<&LiveHost> =
        candidates.iter().filter(|host| host.region == *query.own_region).copied().collect();
    let candidates = if near.is_empty() { candidates } else { near };
    let load = |host: &LiveHost| {
        f64::from((query.in_flight)(&host.host) + 1) / f64::from(host.capacity.max(1))
    };
    let two = candidates.choose_multiple(rng, 2);
    two.copied().min_by(|a, b| load(a).total_cmp(&load(b)))
}
