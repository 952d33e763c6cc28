//! What would change between two manifests, held against the caps and the regions' headroom.
//!
//! The load of a region is taken as a share of the slots it had before. Work that its own slots can
//! no longer hold is served elsewhere: that share is held against the service's cap, and the work
//! against the other regions' slots less their reserve and their own callers' work.

use std::{collections::BTreeSet, fmt};

use ipnet::IpNet;

use super::{DrainScope, Manifest, Service, Share};
use crate::prelude::*;

/// LoadShare that is assumed where none is given, as a share of a region's slots.
pub const DEFAULT_LOAD: Share = 0.5;

/// Rounding must not turn a share that equals its cap into a breach.
const TOLERANCE: f64 = 1e-9;

/// LoadShare of each region and service, as a share of its slots.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadShares {
    pub entries: Vec<LoadShare>,
    /// Where none is known.
    pub default: Share,
}

/// LoadShare of one service in one region.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadShare {
    pub region: RegionId,
    pub service: ServiceId,
    pub share: Share,
}

/// Share of a region's own traffic of a service that would be served elsewhere.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TrafficMove {
    /// Share of the home's callers that become callers of another region.
    pub rehomed: Share,
    pub cap: Share,
    pub home: RegionId,
    pub moved: Share,
    pub service: ServiceId,
    /// Usable slots in the home region.
    pub slots_after: u64,
    pub slots_before: u64,
}

/// Why a change is refused.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Breach {
    /// More than the cap would be served elsewhere.
    Cap { cap: Share, home: RegionId, moved: Share, service: ServiceId },
    /// Own callers and work from elsewhere together would need more slots than there are.
    Headroom { needed: f64, room: f64, service: ServiceId },
    /// A region's own callers would need more slots than it has.
    Overfilled { needed: f64, region: RegionId, service: ServiceId, slots: u64 },
}

/// What a manifest would change.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ManifestDiff {
    pub breaches: Vec<Breach>,
    pub moves: Vec<TrafficMove>,
    pub notes: Vec<Arc<str>>,
}

impl LoadShares {
    /// The same load everywhere.
    pub fn uniform(share: Share) -> Self {
        Self { entries: Vec::new(), default: share }
    }

    fn of(&self, region: &str, service: &str) -> Share {
        let matches = |load: &&LoadShare| &*load.region == region && &*load.service == service;
        self.entries.iter().find(matches).map_or(self.default, |load| load.share)
    }
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Breach::Cap { cap, home, moved, service } => write!(
                f,
                "{service}: {:.1} % of {home}'s traffic would be served elsewhere, its cap is \
                 {:.1} %; take it in smaller steps or raise shift_cap",
                100.0 * moved,
                100.0 * cap
            ),
            Breach::Headroom { needed, room, service } => write!(
                f,
                "{service}: {needed:.1} slots of work would move, the other regions have room for \
                 {room:.1}; add targets or take it in smaller steps"
            ),
            Breach::Overfilled { needed, region, service, slots } => write!(
                f,
                "{service}: callers that become {region}'s would need {needed:.1} slots, it has \
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

/// Compares two manifests at the assumed load.
pub fn diff(old: &Manifest, new: &Manifest) -> ManifestDiff {
    diff_with_loads(old, new, &LoadShares::uniform(DEFAULT_LOAD))
}

/// Compares two manifests at the given loads.
pub fn diff_with_loads(old: &Manifest, new: &Manifest, loads: &LoadShares) -> ManifestDiff {
    let mut change = ManifestDiff { notes: notes(old, new), ..ManifestDiff::default() };
    let rehomed = HomeChanges::between(old, new);
    for service in &new.services {
        if let Some(before) = old.service(&service.name) {
            judge(&mut change, &Comparison { loads, new, old, rehomed: &rehomed }, before, service);
        }
    }
    change
}

struct Comparison<'a> {
    loads: &'a LoadShares,
    new: &'a Manifest,
    old: &'a Manifest,
    rehomed: &'a HomeChanges,
}

fn judge(change: &mut ManifestDiff, sides: &Comparison<'_>, before: &Service, after: &Service) {
    let service = &after.name;
    let demands = sides.demands(before);
    let (mut moving, mut room) = (0.0, 0.0);
    for (home, demand) in &demands {
        let slots_before = usable_slots(sides.old, before, home);
        let slots_after = usable_slots(sides.new, after, home);
        let rehomed = sides.rehomed.leaving(home);
        let excess = (demand.now - slots_after as f64).max(0.0);
        let stays = if demand.now == 0.0 { 0.0 } else { excess / demand.now };
        let moved = rehomed + (1.0 - rehomed) * stays;
        let grown = demand.before + TOLERANCE < demand.now;
        if grown && slots_after as f64 + TOLERANCE < demand.now && slots_before <= slots_after {
            let region = home.clone();
            let (needed, slots) = (demand.now, slots_after);
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
        let reserve = sides.new.regions.iter().find(|region| region.name == *home);
        let reserve = reserve.map_or(0.0, |region| region.reserve);
        moving += excess;
        room += (slots_after as f64 * (1.0 - reserve) - demand.now).max(0.0);
    }
    if room + TOLERANCE < moving {
        let (needed, service) = (moving, service.clone());
        change.breaches.push(Breach::Headroom { needed, room, service });
    }
}

/// Slots that a region's callers keep busy.
struct Demand {
    before: f64,
    now: f64,
}

impl Comparison<'_> {
    fn demands(&self, before: &Service) -> BTreeMap<RegionId, Demand> {
        let mut demands = BTreeMap::new();
        for region in self.old.regions.iter().chain(&self.new.regions) {
            let slots = usable_slots(self.old, before, &region.name) as f64;
            let busy = slots * self.loads.of(&region.name, &before.name);
            demands.insert(region.name.clone(), Demand { before: busy, now: busy });
        }
        for flow in &self.rehomed.flows {
            let work = demands.get(&flow.from).map_or(0.0, |demand| demand.before) * flow.share;
            if let Some(demand) = demands.get_mut(&flow.from) {
                demand.now -= work;
            }
            if let Some(demand) = demands.get_mut(&flow.to) {
                demand.now += work;
            }
        }
        demands
    }
}

/// Client blocks that changed their home region.
struct HomeChanges {
    flows: Vec<Flow>,
}

/// Share of a region's callers (by number of its blocks) that go to another.
struct Flow {
    from: RegionId,
    share: Share,
    to: RegionId,
}

impl HomeChanges {
    fn between(old: &Manifest, new: &Manifest) -> Self {
        let now: BTreeMap<IpNet, RegionId> =
            new.client_blocks.iter().map(|block| (block.block, block.home)).collect();
        let mut totals: BTreeMap<RegionId, f64> = BTreeMap::new();
        let mut moved: BTreeMap<(RegionId, RegionId), f64> = BTreeMap::new();
        for block in old.client_blocks.iter() {
            let new_home = now.get(&block.block).filter(|home| **home != block.home);
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

    fn leaving(&self, home: &str) -> Share {
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

/// What else changes, in words.
fn notes(old: &Manifest, new: &Manifest) -> Vec<Arc<str>> {
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
