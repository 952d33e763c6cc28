//! The ranked list of hosts for one caller.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::IpAddr,
};

use xxhash_rust::xxh3::xxh3_64;

use super::{BlockTable, LookupRequest, LookupResponse, RankedHost};
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

/// The hosts of one view, ready to be ranked for many callers.
#[derive(Clone, Debug)]
pub struct HostIndex {
    max_age: Duration,
    /// Stands alone in the answer when every host leaves or is drained.
    own: RankedHost,
    regions: BTreeMap<RegionId, RegionEntry>,
    sequence: Sequence,
    /// Zones that hold a target of the service.
    zones: BTreeMap<ServiceId, BTreeSet<ZoneId>>,
}

#[derive(Clone, Debug)]
struct RegionEntry {
    hosts: Vec<HostEntry>,
    name: RegionId,
    seed: u64,
}

#[derive(Clone, Debug)]
struct HostEntry {
    host: RankedHost,
    seed: u64,
}

/// Ranks the live hosts of `view` for one caller; see `HostIndex::rank`.
pub fn rank(view: &View, table: &BlockTable, ask: &LookupRequest, _now: Moment) -> LookupResponse {
    HostIndex::build(view).rank(table, ask)
}

impl HostIndex {
    /// Indexes the hosts that take new work. Leaving and drained hosts are out at once.
    pub fn build(view: &View) -> HostIndex {
        let mut regions: BTreeMap<RegionId, RegionEntry> = BTreeMap::new();
        for host in view.hosts.iter().filter(|host| is_open(view, host)) {
            let new_region = || RegionEntry {
                hosts: Vec::new(),
                name: host.region.clone(),
                seed: seed(&host.region),
            };
            let region = regions.entry(host.region.clone()).or_insert_with(new_region);
            region.hosts.push(HostEntry { host: ranked_host(host), seed: seed(&host.id) });
        }
        HostIndex {
            max_age: max_age(view),
            own: ranked_host(&view.own),
            regions,
            sequence: view.manifest.sequence,
            zones: view.manifest.services.iter().map(service_zones).collect(),
        }
    }

    /// Ranks the hosts for a caller: its home region first, there the zones that hold a target of
    /// the service, then by rendezvous hash of the caller's address. Every part of the order hangs
    /// on one host or on the manifest alone, so that a lost host moves only its own callers.
    pub fn rank(&self, table: &BlockTable, ask: &LookupRequest) -> LookupResponse {
        let home = table.home_region(ask.client).cloned();
        let first_region = home.as_ref().unwrap_or(&self.own.region);
        let key = client_key(ask.client);
        let zones = self.zones.get(&ask.service);
        let first = self.regions.get(first_region);
        let mut hosts: Vec<RankedHost> = first
            .map(|region| region.best(key, zones, MAX_FIRST_REGION))
            .unwrap_or_default()
            .into_iter()
            .cloned()
            .collect();
        self.add_ways_out(&mut hosts, first_region, key, zones);
        if hosts.is_empty() {
            hosts.push(self.own.clone());
        }
        let binding = hosts[0].binding.clone();
        LookupResponse { binding, hosts, home, max_age: self.max_age, sequence: self.sequence }
    }

    /// Adds hosts of the other regions: the best of each, then the second of each, and so on. The
    /// regions come in an order of the caller's own, so that a lost region's callers spread out.
    fn add_ways_out(
        &self,
        hosts: &mut Vec<RankedHost>,
        first_region: &RegionId,
        key: u64,
        zones: Option<&BTreeSet<ZoneId>>,
    ) {
        let room = MAX_HOSTS - hosts.len();
        let mut others: Vec<&RegionEntry> =
            self.regions.values().filter(|region| region.name != *first_region).collect();
        others.sort_by_key(|region| Reverse(mix(key, region.seed)));
        others.truncate(room);
        let each = room.div_ceil(others.len().max(1));
        let best: Vec<Vec<&RankedHost>> =
            others.iter().map(|region| region.best(key, zones, each)).collect();
        let by_turns =
            (0..each).flat_map(|turn| best.iter().filter_map(move |hosts| hosts.get(turn)));
        hosts.extend(by_turns.take(room).map(|&host| host.clone()));
    }
}

impl RegionEntry {
    /// The best `count` hosts for a caller, best first.
    fn best(&self, key: u64, zones: Option<&BTreeSet<ZoneId>>, count: usize) -> Vec<&RankedHost> {
        let order = |entry: &HostEntry| {
            let away = zones.is_some_and(|zones| !zones.contains(&entry.host.zone));
            (away, Reverse(mix(key, entry.seed)))
        };
        let mut hosts: Vec<((bool, Reverse<u64>), &RankedHost)> =
            self.hosts.iter().map(|entry| (order(entry), &entry.host)).collect();
        if count < hosts.len() {
            hosts.select_nth_unstable_by_key(count, |(order, _)| *order);
            hosts.truncate(count);
        }
        hosts.sort_unstable_by_key(|(order, _)| *order);
        hosts.into_iter().map(|(_, host)| host).collect()
    }
}

fn service_zones(service: &Service) -> (ServiceId, BTreeSet<ZoneId>) {
    let zones = service.targets.iter().map(|target| target.zone.clone()).collect();
    (service.name.clone(), zones)
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

fn seed(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Weight of a name's seed for a key: the SplitMix64 finalizer, far cheaper than hashing the name
/// again for every caller.
fn mix(key: u64, seed: u64) -> u64 {
    let mut x = key ^ seed.rotate_left(32);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
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
