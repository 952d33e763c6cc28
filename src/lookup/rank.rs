//! Ranks the hosts for a caller.

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

/// How long callers may cache a response in normal operation.
const MAX_AGE_STABLE: Duration = Duration::from_secs(10);
/// How long callers may cache a response while hosts leave, drains run or regions are silent.
const MAX_AGE_CHANGING: Duration = Duration::from_secs(1);
/// Maximum number of hosts in a response.
const MAX_HOSTS: usize = 8;
/// Maximum number of hosts of the first region in a response. The remaining ones are fallbacks in
/// other regions, in case the first region is lost.
const MAX_FIRST_REGION_HOSTS: usize = 5;

/// The hosts of one view, indexed so that they can be ranked for many callers.
#[derive(Clone, Debug)]
pub struct HostIndex {
    max_age: Duration,
    /// The only host of a response when all hosts are leaving or drained.
    own_host: RankedHost,
    regions: BTreeMap<RegionId, RegionEntry>,
    sequence: Sequence,
    /// Zones that have a target of the service.
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

/// Ranks the hosts of `view` for one caller; see `HostIndex::rank`.
pub fn rank(
    view: &View,
    table: &BlockTable,
    request: &LookupRequest,
    _now: Moment,
) -> LookupResponse {
    HostIndex::build(view).rank(table, request)
}

impl HostIndex {
    /// Indexes the hosts that accept new requests, that is, neither leaving nor drained ones.
    pub fn build(view: &View) -> HostIndex {
        let mut regions: BTreeMap<RegionId, RegionEntry> = BTreeMap::new();
        for host in view.hosts.iter().filter(|host| accepts_requests(view, host)) {
            let new_region = || RegionEntry {
                hosts: Vec::new(),
                name: host.region.clone(),
                seed: hash_name(&host.region),
            };
            let region = regions.entry(host.region.clone()).or_insert_with(new_region);
            region.hosts.push(HostEntry { host: ranked_host(host), seed: hash_name(&host.id) });
        }
        HostIndex {
            max_age: max_age(view),
            own_host: ranked_host(&view.own),
            regions,
            sequence: view.manifest.sequence,
            zones: view.manifest.services.iter().map(service_zones).collect(),
        }
    }

    /// Ranks the hosts for a caller: its home region first (this host's region if the caller has
    /// none), there the zones that have a target of the service, then by rendezvous hash of the
    /// caller's address. Each criterion depends only on the host itself or on the manifest, so that
    /// the loss of a host moves only its own callers.
    pub fn rank(&self, table: &BlockTable, request: &LookupRequest) -> LookupResponse {
        let home = table.home_region(request.client).cloned();
        let first_region = home.as_ref().unwrap_or(&self.own_host.region);
        let key = client_key(request.client);
        let zones = self.zones.get(&request.service);
        let first = self.regions.get(first_region);
        let mut hosts: Vec<RankedHost> = first
            .map(|region| region.best_hosts(key, zones, MAX_FIRST_REGION_HOSTS))
            .unwrap_or_default()
            .into_iter()
            .cloned()
            .collect();
        self.add_fallback_hosts(&mut hosts, first_region, key, zones);
        if hosts.is_empty() {
            hosts.push(self.own_host.clone());
        }
        let binding = hosts[0].binding.clone();
        LookupResponse { binding, hosts, home, max_age: self.max_age, sequence: self.sequence }
    }

    /// Adds hosts of the other regions: the best of each, then the second best of each, and so on.
    /// The order of the regions depends on the caller, so that the callers of a lost region spread
    /// over the others.
    fn add_fallback_hosts(
        &self,
        hosts: &mut Vec<RankedHost>,
        first_region: &RegionId,
        key: u64,
        zones: Option<&BTreeSet<ZoneId>>,
    ) {
        let remaining = MAX_HOSTS - hosts.len();
        let mut others: Vec<&RegionEntry> =
            self.regions.values().filter(|region| region.name != *first_region).collect();
        others.sort_by_key(|region| Reverse(rendezvous_weight(key, region.seed)));
        others.truncate(remaining);
        let per_region = remaining.div_ceil(others.len().max(1));
        let best: Vec<Vec<&RankedHost>> =
            others.iter().map(|region| region.best_hosts(key, zones, per_region)).collect();
        let interleaved = (0..per_region)
            .flat_map(|position| best.iter().filter_map(move |hosts| hosts.get(position)));
        hosts.extend(interleaved.take(remaining).map(|&host| host.clone()));
    }
}

impl RegionEntry {
    /// The best `count` hosts for a caller, best first.
    fn best_hosts(
        &self,
        key: u64,
        zones: Option<&BTreeSet<ZoneId>>,
        count: usize,
    ) -> Vec<&RankedHost> {
        let sort_key = |entry: &HostEntry| {
            let has_no_target = zones.is_some_and(|zones| !zones.contains(&entry.host.zone));
            (has_no_target, Reverse(rendezvous_weight(key, entry.seed)))
        };
        let mut hosts: Vec<((bool, Reverse<u64>), &RankedHost)> =
            self.hosts.iter().map(|entry| (sort_key(entry), &entry.host)).collect();
        if count < hosts.len() {
            hosts.select_nth_unstable_by_key(count, |(sort_key, _)| *sort_key);
            hosts.truncate(count);
        }
        hosts.sort_unstable_by_key(|(sort_key, _)| *sort_key);
        hosts.into_iter().map(|(_, host)| host).collect()
    }
}

fn service_zones(service: &Service) -> (ServiceId, BTreeSet<ZoneId>) {
    let zones = service.targets.iter().map(|target| target.zone.clone()).collect();
    (service.name.clone(), zones)
}

fn accepts_requests(view: &View, host: &HostView) -> bool {
    let is_drained = |scope: &DrainScope| match scope {
        DrainScope::Host(id) => *id == host.id,
        DrainScope::Region(region) => *region == host.region,
        DrainScope::Target(_) => false,
        DrainScope::Zone(zone) => *zone == host.zone,
    };
    !host.leaving && !view.drains.iter().chain(&view.manifest.drains).any(is_drained)
}

fn max_age(view: &View) -> Duration {
    let is_changing = view.hosts.iter().any(|host| host.leaving)
        || !view.drains.is_empty()
        || !view.silent_regions.is_empty();
    if is_changing { MAX_AGE_CHANGING } else { MAX_AGE_STABLE }
}

fn client_key(ip: IpAddr) -> u64 {
    match ip.to_canonical() {
        IpAddr::V4(ip) => xxh3_64(&ip.octets()),
        IpAddr::V6(ip) => xxh3_64(&ip.octets()),
    }
}

fn hash_name(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Weight of a host or region for a caller's key; `seed` is the hash of its name. Uses the
/// SplitMix64 finalizer, which is far cheaper than hashing the name again for each caller.
fn rendezvous_weight(key: u64, seed: u64) -> u64 {
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
