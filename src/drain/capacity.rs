//! Whether enough slots remain if a drain starts.

use std::collections::BTreeSet;

use crate::{
    manifest::{DrainScope, Manifest, Service, Share, Target},
    prelude::*,
};

/// Load that the callers of a region put on a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoad {
    /// Mean number of slots in use.
    pub busy: f64,
    pub region: RegionId,
    pub service: ServiceId,
}

/// Slots of one service in one region, before and after a drain starts.
#[derive(Clone, Copy, Debug, Default)]
struct SlotCounts {
    after: u32,
    before: u32,
}

/// Why draining `scope` in addition to `drained` has to wait, or `None` if enough slots remain.
/// Without a load the use of a service is not known; then the drain waits only if it would leave a
/// region without any slot of the service, because all of the region's traffic would have to move.
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
        let slot_counts = slot_counts(service, manifest, &before, &after);
        let busy = |region: &RegionId| {
            let load = |load: &&ServiceLoad| load.region == *region && load.service == service.name;
            loads.iter().find(load).map(|load| load.busy)
        };
        slot_counts.iter().filter(|(_, counts)| counts.after < counts.before).find_map(
            |(region, counts)| {
                shortage_reason(service, region, *counts, &slot_counts, manifest, &busy)
            },
        )
    })
}

fn shortage_reason(
    service: &Service,
    region: &RegionId,
    counts: SlotCounts,
    slot_counts: &BTreeMap<RegionId, SlotCounts>,
    manifest: &Manifest,
    busy: &impl Fn(&RegionId) -> Option<f64>,
) -> Option<Arc<str>> {
    let remaining = f64::from(counts.after);
    let (moved, share): (f64, Share) = match busy(region) {
        Some(busy) if 0.0 < busy => {
            ((busy - remaining).max(0.0), (busy - remaining).max(0.0) / busy)
        }
        Some(_) => (0.0, 0.0),
        None if counts.after == 0 => (0.0, 1.0),
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
            let slots = slot_counts.get(&other.name).map_or(0, |counts| counts.after);
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

fn slot_counts(
    service: &Service,
    manifest: &Manifest,
    before: &BTreeSet<DrainScope>,
    after: &BTreeSet<DrainScope>,
) -> BTreeMap<RegionId, SlotCounts> {
    let mut slot_counts: BTreeMap<RegionId, SlotCounts> = BTreeMap::new();
    for target in &service.targets {
        let Some(region) = manifest.region_of(&target.zone) else { continue };
        let counts = slot_counts.entry(region.name.clone()).or_default();
        let slots =
            |drains| if is_drained(drains, target, &region.name) { 0 } else { target.slots };
        counts.before += slots(before);
        counts.after += slots(after);
    }
    slot_counts
}

fn is_drained(drains: &BTreeSet<DrainScope>, target: &Target, region: &RegionId) -> bool {
    drains.contains(&DrainScope::Target(target.name.clone()))
        || drains.contains(&DrainScope::Zone(target.zone.clone()))
        || drains.contains(&DrainScope::Region(region.clone()))
}
