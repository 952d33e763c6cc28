//! Difference between two manifests, checked against the caps and the regions' headroom.
//!
//! The load of a region is given as a share of its slots in the old manifest. Load that exceeds its
//! slots in the new manifest is served by other regions. Its share must not exceed the service's
//! shift cap, and the load must fit in the other regions' slots minus their reserve and the load of
//! their own clients.

use std::{collections::BTreeSet, fmt};

use ipnet::IpNet;

use super::{DrainScope, Manifest, Service, Share};
use crate::prelude::*;

/// Load assumed where none is given, as a share of a region's slots.
pub const DEFAULT_LOAD: Share = 0.5;

/// Keeps rounding errors from turning a share that equals its cap into a breach.
const TOLERANCE: f64 = 1e-9;

/// Load of each service in each region, as a share of its slots.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadShares {
    pub entries: Vec<LoadShare>,
    /// Load of regions and services without an entry.
    pub default: Share,
}

/// Load of one service in one region, as a share of its slots.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadShare {
    pub region: RegionId,
    pub service: ServiceId,
    pub share: Share,
}

/// How much of a region's own traffic of a service other regions would serve.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TrafficMove {
    /// Share of the home region's clients that get another home region.
    pub rehomed: Share,
    /// Shift cap of the service.
    pub cap: Share,
    pub home: RegionId,
    /// Share of the home region's traffic that other regions would serve, `rehomed` included.
    pub moved: Share,
    pub service: ServiceId,
    /// Slots in the home region that are not drained.
    pub slots_after: u64,
    pub slots_before: u64,
}

/// A limit that the change would exceed.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Breach {
    /// Other regions would serve a larger share of the traffic than the cap allows.
    Cap { cap: Share, home: RegionId, moved: Share, service: ServiceId },
    /// Load that would shift needs more slots than the other regions have free.
    Headroom { needed: f64, room: f64, service: ServiceId },
    /// A region's own clients would need more slots than it has.
    Overfilled { needed: f64, region: RegionId, service: ServiceId, slots: u64 },
}

/// Effects of replacing one manifest by another.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ManifestDiff {
    pub breaches: Vec<Breach>,
    pub moves: Vec<TrafficMove>,
    /// Other differences, as text for operators.
    pub notes: Vec<Arc<str>>,
}

impl LoadShares {
    /// The same load for every region and service.
    pub fn uniform(share: Share) -> Self {
        Self { entries: Vec::new(), default: share }
    }

    fn get(&self, region: &str, service: &str) -> Share {
        let matches = |load: &&LoadShare| &*load.region == region && &*load.service == service;
        self.entries.iter().find(matches).map_or(self.default, |load| load.share)
    }
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Breach::Cap { cap, home, moved, service } => write!(
                f,
                "{service}: {:.1} % of {home}'s traffic would be served by other regions, the cap \
                 is {:.1} %; change it in smaller steps or raise shift_cap",
                100.0 * moved,
                100.0 * cap
            ),
            Breach::Headroom { needed, room, service } => write!(
                f,
                "{service}: {needed:.1} slots of load would shift, the other regions have room for \
                 {room:.1}; add targets or change it in smaller steps"
            ),
            Breach::Overfilled { needed, region, service, slots } => write!(
                f,
                "{service}: clients of {region} would need {needed:.1} slots, the region has \
                 {slots}; add targets or move fewer client blocks"
            ),
        }
    }
}

impl fmt::Display for TrafficMove {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {:.1} % of {}'s traffic would move (cap {:.1} %), slots {} -> {}",
            self.service,
            100.0 * self.moved,
            self.home,
            100.0 * self.cap,
            self.slots_before,
            self.slots_after
        )
    }
}

/// Compares two manifests at the default load.
pub fn diff(old: &Manifest, new: &Manifest) -> ManifestDiff {
    diff_with_loads(old, new, &LoadShares::uniform(DEFAULT_LOAD))
}

/// Compares two manifests at the given loads.
pub fn diff_with_loads(old: &Manifest, new: &Manifest, loads: &LoadShares) -> ManifestDiff {
    let mut change =
        ManifestDiff { notes: describe_differences(old, new), ..ManifestDiff::default() };
    let home_changes = HomeChanges::between(old, new);
    for service in &new.services {
        if let Some(before) = old.service(&service.name) {
            compare_service(
                &mut change,
                &Comparison { loads, new, old, home_changes: &home_changes },
                before,
                service,
            );
        }
    }
    change
}

/// Inputs of the comparison that are the same for all services.
struct Comparison<'a> {
    loads: &'a LoadShares,
    new: &'a Manifest,
    old: &'a Manifest,
    home_changes: &'a HomeChanges,
}

/// Adds the moves and breaches of one service to `change`.
fn compare_service(
    change: &mut ManifestDiff,
    comparison: &Comparison<'_>,
    before: &Service,
    after: &Service,
) {
    let service = &after.name;
    let demands = comparison.demands(before);
    let (mut shifted_slots, mut room) = (0.0, 0.0);
    for (home, demand) in &demands {
        let slots_before = usable_slots(comparison.old, before, home);
        let slots_after = usable_slots(comparison.new, after, home);
        let rehomed = comparison.home_changes.share_leaving(home);
        let excess = (demand.after - slots_after as f64).max(0.0);
        let overflow = if demand.after == 0.0 { 0.0 } else { excess / demand.after };
        let moved = rehomed + (1.0 - rehomed) * overflow;
        let has_grown = demand.before + TOLERANCE < demand.after;
        if has_grown && slots_after as f64 + TOLERANCE < demand.after && slots_before <= slots_after
        {
            let region = home.clone();
            let (needed, slots) = (demand.after, slots_after);
            change.breaches.push(Breach::Overfilled {
                needed,
                region,
                service: service.clone(),
                slots,
            });
        }
        if after.shift_cap + TOLERANCE < moved {
            let (cap, home) = (after.shift_cap, home.clone());
            change.breaches.push(Breach::Cap { cap, home, moved, service: service.clone() });
        }
        if slots_before != slots_after || 0.0 < moved {
            let (cap, home) = (after.shift_cap, home.clone());
            let service = service.clone();
            change.moves.push(TrafficMove {
                cap,
                home,
                moved,
                rehomed,
                service,
                slots_after,
                slots_before,
            });
        }
        let reserve = comparison.new.regions.iter().find(|region| region.name == *home);
        let reserve = reserve.map_or(0.0, |region| region.reserve);
        shifted_slots += excess;
        room += (slots_after as f64 * (1.0 - reserve) - demand.after).max(0.0);
    }
    if room + TOLERANCE < shifted_slots {
        let (needed, service) = (shifted_slots, service.clone());
        change.breaches.push(Breach::Headroom { needed, room, service });
    }
}

/// Slots that a region's own clients use.
struct Demand {
    before: f64,
    after: f64,
}

impl Comparison<'_> {
    /// Demand of each region before and after the change of home regions.
    fn demands(&self, before: &Service) -> BTreeMap<RegionId, Demand> {
        let mut demands = BTreeMap::new();
        for region in self.old.regions.iter().chain(&self.new.regions) {
            let slots = usable_slots(self.old, before, &region.name) as f64;
            let busy = slots * self.loads.get(&region.name, &before.name);
            demands.insert(region.name.clone(), Demand { before: busy, after: busy });
        }
        for flow in &self.home_changes.flows {
            let slots = demands.get(&flow.from).map_or(0.0, |demand| demand.before) * flow.share;
            if let Some(demand) = demands.get_mut(&flow.from) {
                demand.after -= slots;
            }
            if let Some(demand) = demands.get_mut(&flow.to) {
                demand.after += slots;
            }
        }
        demands
    }
}

/// Changes of home regions between two manifests.
struct HomeChanges {
    flows: Vec<Flow>,
}

/// Share of a region's clients, by number of client blocks, that get another home region.
struct Flow {
    from: RegionId,
    share: Share,
    to: RegionId,
}

impl HomeChanges {
    fn between(old: &Manifest, new: &Manifest) -> Self {
        let new_homes: BTreeMap<IpNet, RegionId> =
            new.client_blocks.iter().map(|block| (block.block, block.home)).collect();
        let mut totals: BTreeMap<RegionId, f64> = BTreeMap::new();
        let mut moved: BTreeMap<(RegionId, RegionId), f64> = BTreeMap::new();
        for block in old.client_blocks.iter() {
            let new_home = new_homes.get(&block.block).filter(|home| **home != block.home);
            if let Some(new_home) = new_home {
                *moved.entry((block.home.clone(), new_home.clone())).or_default() += 1.0;
            }
            *totals.entry(block.home).or_default() += 1.0;
        }
        let flow = |((from, to), count): ((RegionId, RegionId), f64)| {
            let share = count / totals[&from];
            Flow { from, share, to }
        };
        Self { flows: moved.into_iter().map(flow).collect() }
    }

    /// Share of the region's clients that get another home region.
    fn share_leaving(&self, home: &str) -> Share {
        self.flows.iter().filter(|flow| &*flow.from == home).map(|flow| flow.share).sum()
    }
}

/// Slots of a service in a region that are not drained.
fn usable_slots(manifest: &Manifest, service: &Service, region: &str) -> u64 {
    let drained = |scope: DrainScope| manifest.drains.contains(&scope);
    service
        .targets
        .iter()
        .filter(|target| {
            let home = manifest.region_of(&target.zone);
            home.is_some_and(|home| {
                &*home.name == region && !drained(DrainScope::Region(home.name.clone()))
            }) && !drained(DrainScope::Zone(target.zone.clone()))
                && !drained(DrainScope::Target(target.name.clone()))
        })
        .map(|target| u64::from(target.slots))
        .sum()
}

/// Describes differences other than load shifts, for operators.
fn describe_differences(old: &Manifest, new: &Manifest) -> Vec<Arc<str>> {
    let mut notes = Vec::new();
    let mut compare = |what: &str, before: BTreeSet<String>, after: BTreeSet<String>| {
        for name in after.difference(&before) {
            notes.push(format!("{what} {name} is added").into());
        }
        for name in before.difference(&after) {
            notes.push(format!("{what} {name} is removed").into());
        }
    };
    compare("region", regions(old), regions(new));
    compare("service", services(old), services(new));
    compare("target", targets(old), targets(new));
    compare("drain of", drains(old), drains(new));
    if old.weighing != new.weighing {
        notes.push("weighing is changed".into());
    }
    notes
}

fn drains(manifest: &Manifest) -> BTreeSet<String> {
    let name = |scope: &DrainScope| match scope {
        DrainScope::Host(name) => format!("host {name}"),
        DrainScope::Region(name) => format!("region {name}"),
        DrainScope::Target(name) => format!("target {name}"),
        DrainScope::Zone(name) => format!("zone {name}"),
    };
    manifest.drains.iter().map(name).collect()
}

fn regions(manifest: &Manifest) -> BTreeSet<String> {
    manifest.regions.iter().map(|region| region.name.to_string()).collect()
}

fn services(manifest: &Manifest) -> BTreeSet<String> {
    manifest.services.iter().map(|service| service.name.to_string()).collect()
}

fn targets(manifest: &Manifest) -> BTreeSet<String> {
    let targets = manifest.services.iter().flat_map(|service| &service.targets);
    targets.map(|target| format!("{} at {}", target.name, target.address)).collect()
}
