//! Whether a drain leaves enough room.

use std::collections::BTreeSet;

use crate::{
    manifest::{DrainScope, Manifest, Service, Share, Target},
    prelude::*,
};

/// Use of a service by the callers of a region.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoad {
    /// Mean number of slots in use.
    pub busy: f64,
    pub region: RegionId,
    pub service: ServiceId,
}

/// Slots of one service in one region.
#[derive(Clone, Copy, Debug, Default)]
struct Room {
    after: u32,
    before: u32,
}

/// Why draining `scope` on top of `drained` has to wait, or `None` if there is room. Without a load
/// for a service nothing is known of its use: then only a drain that leaves a region without any
/// slot of it counts, since all of its traffic would have to move.
pub fn wait_reason(
    scope: &DrainScope,
    drained: &BTreeSet<DrainScope>,
    manifest: &Manifest,
    loads: &[ServiceLoad],
) -> Option<Arc<str>> {
    let before: BTreeSet<_> = drained.iter().chain(&manifest.drains).cloned().collect();
    let mut after = before.clone();
    after.insert(scope.clone());
    manifest.services.iter().find_map(|service| {
        let rooms = rooms(service, manifest, &before, &after);
        let busy = |region: &RegionId| {
            let load = |load: &&ServiceLoad| load.region == *region && load.service == service.name;
            loads.iter().find(load).map(|load| load.busy)
        };
        rooms
            .iter()
            .filter(|(_, room)| room.after < room.before)
            .find_map(|(region, room)| lacks(service, region, *room, &rooms, manifest, &busy))
    })
}

fn lacks(
    service: &Service,
    region: &RegionId,
    room: Room,
    rooms: &BTreeMap<RegionId, Room>,
    manifest: &Manifest,
    busy: &impl Fn(&RegionId) -> Option<f64>,
) -> Option<Arc<str>> {
    let left = f64::from(room.after);
    let (moved, share): (f64, Share) = match busy(region) {
        Some(busy) if 0.0 < busy => ((busy - left).max(0.0), (busy - left).max(0.0) / busy),
        Some(_) => (0.0, 0.0),
        None if room.after == 0 => (0.0, 1.0),
        None => (0.0, 0.0),
    };
    let name = &service.name;
    if service.shift_cap < share {
        let (share, cap) = (share * 100.0, service.shift_cap * 100.0);
        let text = format!(
            "{share:.0} % of {name} would have to leave region {region}, its cap is {cap:.0} %"
        );
        return Some(text.into());
    }
    let others = manifest.regions.iter().filter(|other| other.name != *region);
    let spare: f64 = others
        .map(|other| {
            let slots = rooms.get(&other.name).map_or(0, |room| room.after);
            let usable = f64::from(slots) * (1.0 - other.reserve);
            (usable - busy(&other.name).unwrap_or_default()).max(0.0)
        })
        .sum();
    (spare < moved).then(|| {
        format!(
            "{name} would need {moved:.1} slots outside region {region}, {spare:.1} are spare \
             above the reserves"
        )
        .into()
    })
}

fn rooms(
    service: &Service,
    manifest: &Manifest,
    before: &BTreeSet<DrainScope>,
    after: &BTreeSet<DrainScope>,
) -> BTreeMap<RegionId, Room> {
    let mut rooms: BTreeMap<RegionId, Room> = BTreeMap::new();
    for target in &service.targets {
        let Some(region) = manifest.region_of(&target.zone) else { continue };
        let room = rooms.entry(region.name.clone()).or_default();
        let slots = |drains| if covers(drains, target, &region.name) { 0 } else { target.slots };
        room.before += slots(before);
        room.after += slots(after);
    }
    rooms
}

fn covers(drains: &BTreeSet<DrainScope>, target: &Target, region: &RegionId) -> bool {
    drains.contains(&DrainScope::Target(target.name.clone()))
        || drains.contains(&DrainScope::Zone(target.zone.clone()))
        || drains.contains(&DrainScope::Region(region.clone()))
}
