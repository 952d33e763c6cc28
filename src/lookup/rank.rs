//! The ranked list of hosts for one caller.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::IpAddr,
};

use xxhash_rust::xxh3::xxh3_64;

use super::{BlockTable, owner_of, rendezvous::weight};
use crate::{
    manifest::{DrainScope, Service},
    prelude::*,
    view::{HostView, View},
};

/// How long callers may keep an answer while nothing moves.
const MAX_AGE_CALM: Duration = Duration::from_secs(10);
/// How long callers may keep an answer while hosts leave, drains run or regions are silent.
const MAX_AGE_MOVING: Duration = Duration::from_secs(1);
/// Most hosts in an answer.
const MAX_HOSTS: usize = 8;
/// Most hosts of the first region in an answer; the rest are a way out when that region is lost.
const MAX_FIRST_REGION: usize = 5;

/// A caller's question.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LookupAsk {
    pub client: IpAddr,
    pub service: ServiceId,
}

/// The answer: hosts in the order in which the caller should try them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lookup {
    /// For requests that must not be repeated: the binding of the first host.
    pub binding: Binding,
    pub hosts: Vec<RankedHost>,
    /// The caller's home region; `None` when no client block holds its address.
    pub home: Option<RegionId>,
    /// How long the caller may keep this answer.
    pub max_age: Duration,
    /// The manifest that the answer follows.
    pub sequence: Sequence,
}

/// One host of an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RankedHost {
    pub address: SocketAddr,
    pub binding: Binding,
    pub host: HostId,
    pub region: RegionId,
    pub zone: ZoneId,
}

/// Ranks the live hosts for a caller: its home region first, there the owners of a target of the
/// service, then by rendezvous hash of the caller's address, so that a lost host moves only its
/// own callers. Leaving and drained hosts are out at once; when all are, this host stands alone.
pub fn rank(view: &View, table: &BlockTable, ask: &LookupAsk, _now: Moment) -> Lookup {
    let home = table.home(ask.client).cloned();
    let first_region = home.as_ref().unwrap_or(&view.own.region);
    let key = client_key(ask.client);
    let owners = owners(view, view.manifest.service(&ask.service));
    let mut hosts: Vec<&HostView> = view.hosts.iter().filter(|host| is_open(view, host)).collect();
    hosts.sort_by_cached_key(|host| {
        let away = host.region != *first_region;
        let region = if away { weight(key, &host.region) } else { 0 };
        (away, Reverse(region), !owners.contains(&host.id), Reverse(weight(key, &host.id)))
    });
    let near = hosts.iter().filter(|host| host.region == *first_region).count();
    let skipped = near.saturating_sub(MAX_FIRST_REGION);
    let kept = near - skipped;
    let mut ranked: Vec<RankedHost> = hosts[..kept]
        .iter()
        .chain(&hosts[near..])
        .take(MAX_HOSTS)
        .map(|host| ranked_host(host))
        .collect();
    if ranked.is_empty() {
        ranked.push(ranked_host(&view.own));
    }
    Lookup {
        binding: ranked[0].binding.clone(),
        hosts: ranked,
        home,
        max_age: max_age(view),
        sequence: view.manifest.sequence,
    }
}

/// Hosts that own a target of the service.
fn owners<'a>(view: &'a View, service: Option<&Service>) -> BTreeSet<&'a HostId> {
    let mut zones: BTreeMap<&ZoneId, Vec<HostId>> = BTreeMap::new();
    for host in view.hosts.iter().filter(|host| is_open(view, host)) {
        zones.entry(&host.zone).or_default().push(host.id.clone());
    }
    let targets = service.map(|service| service.targets.as_slice()).unwrap_or_default();
    let names: BTreeSet<HostId> = targets
        .iter()
        .filter_map(|target| owner_of(&target.name, zones.get(&target.zone)?).cloned())
        .collect();
    view.hosts.iter().map(|host| &host.id).filter(|id| names.contains(*id)).collect()
}

fn is_open(view: &View, host: &HostView) -> bool {
    let drained = |scope: &DrainScope| match scope {
        DrainScope::Host(id) => *id == host.id,
        DrainScope::Region(region) => *region == host.region,
        DrainScope::Target(_) => false,
        DrainScope::Zone(zone) => *zone == host.zone,
    };
    !host.leaving && !view.drains.iter().chain(&view.manifest.drains).any(drained)
}

fn max_age(view: &View) -> Duration {
    let moving = view.hosts.iter().any(|host| host.leaving)
        || !view.drains.is_empty()
        || !view.silent_regions.is_empty();
    if moving { MAX_AGE_MOVING } else { MAX_AGE_CALM }
}

fn client_key(ip: IpAddr) -> u64 {
    match ip.to_canonical() {
        IpAddr::V4(ip) => xxh3_64(&ip.octets()),
        IpAddr::V6(ip) => xxh3_64(&ip.octets()),
    }
}

fn ranked_host(host: &HostView) -> RankedHost {
    RankedHost {
        address: host.address,
        binding: Binding {
            generation: host.generation,
            host: host.id.clone(),
            incarnation: host.incarnation,
        },
        host: host.id.clone(),
        region: host.region.clone(),
        zone: host.zone.clone(),
    }
}
