//! Index of a service's targets that makes a shortlist of candidates for each request.
//!
//! A service can have hundreds of targets, and a host with a tenth of a core places dozens of
//! requests a second. Evaluating all targets would cost more than forwarding the request.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{ObjectTag, TargetTag};
use crate::{entry::KnownTarget, prelude::*};

/// Number of targets shortlisted in each region by their hash rank for the object. Enough that some
/// of them take requests while others are paused, cold or full.
const TOP_RANKED: usize = 8;

/// Number of other targets shortlisted in each region. If the top-ranked targets are overloaded and
/// many others are idle, some of these probably are.
const OTHER_TARGETS: usize = 8;

/// Number of objects whose top-ranked targets are kept in memory.
const MAX_RANKED_OBJECTS: usize = 4_096;

/// The targets of a service, by region and by tag. Positions are indices into `targets`.
#[derive(Debug, Default)]
pub struct TargetIndex {
    by_region: BTreeMap<RegionId, Vec<u32>>,
    by_tag: HashMap<TargetTag, u32>,
    /// When the last cold target is warm.
    warm_at: Moment,
    /// Slots of all targets by region.
    slots: BTreeMap<RegionId, f64>,
    /// Positions of the top-ranked targets of objects in all regions, cleared when the targets
    /// change.
    top_ranked: HashMap<ObjectTag, Arc<[u32]>>,
    targets: Arc<[Arc<KnownTarget>]>,
}

/// The request that a shortlist is made for.
#[derive(Clone, Copy, Debug)]
pub struct ShortlistQuery<'a> {
    /// Targets that are known to have received requests for the object.
    pub holders: &'a [TargetTag],
    pub object: Option<ObjectTag>,
    /// Regions to take targets from.
    pub regions: &'a [RegionId],
    /// Position where the selection of other targets starts; differs from request to request.
    pub offset: u32,
}

impl TargetIndex {
    /// Rebuilds the index if `targets` is a different list than before.
    pub fn update(&mut self, targets: &Arc<[Arc<KnownTarget>]>) {
        if Arc::ptr_eq(&self.targets, targets) {
            return;
        }
        self.targets = targets.clone();
        self.top_ranked.clear();
        self.by_region.clear();
        self.by_tag.clear();
        for (position, target) in (0..).zip(targets.iter()) {
            match self.by_region.get_mut(&target.region) {
                Some(positions) => positions.push(position),
                None => _ = self.by_region.insert(target.region.clone(), vec![position]),
            }
            self.by_tag.insert(target.tag, position);
        }
        self.warm_at = targets.iter().map(|target| target.cold_until).max().unwrap_or_default();
        self.slots = self
            .by_region
            .iter()
            .map(|(region, all)| {
                let slots = |position: &u32| f64::from(targets[*position as usize].entry.slots);
                (region.clone(), all.iter().map(slots).sum())
            })
            .collect();
    }

    /// Slots of the warm and of the cold targets in each region.
    pub fn slots(&self, now: Moment) -> Vec<(&RegionId, f64, f64)> {
        if self.warm_at <= now {
            return self.slots.iter().map(|(region, slots)| (region, *slots, 0.0)).collect();
        }
        let cold_slots = |positions: &[u32]| -> f64 {
            let targets = positions.iter().map(|position| &self.targets[*position as usize]);
            let cold = targets.filter(|target| target.is_cold(now));
            cold.map(|target| f64::from(target.entry.slots)).sum()
        };
        let regions = self.slots.iter().zip(self.by_region.values());
        let slots = regions.map(|((region, slots), positions)| {
            let cold = cold_slots(positions);
            (region, slots - cold, cold)
        });
        slots.collect()
    }

    /// Slots of all targets in a region.
    pub fn slots_of(&self, region: &RegionId) -> f64 {
        self.slots.get(region).copied().unwrap_or_default()
    }

    /// All targets, ordered by position.
    pub fn targets(&self) -> &Arc<[Arc<KnownTarget>]> {
        &self.targets
    }

    /// The target with a tag, if the service has it.
    pub fn get(&self, tag: TargetTag) -> Option<&Arc<KnownTarget>> {
        self.by_tag.get(&tag).map(|position| &self.targets[*position as usize])
    }

    /// The regions with at least one target that is not in `tried`.
    pub fn untried_regions(&self, tried: &[TargetTag]) -> impl Iterator<Item = &RegionId> {
        let is_untried = |position: &u32| !tried.contains(&self.targets[*position as usize].tag);
        let untried = self.by_region.iter().filter(move |(_, all)| all.iter().any(is_untried));
        untried.map(|(region, _)| region)
    }

    /// Positions of the shortlisted targets, in ascending order.
    pub fn shortlist(&mut self, query: &ShortlistQuery<'_>) -> Vec<usize> {
        let mut positions: Vec<u32> = Vec::with_capacity(4 * (TOP_RANKED + OTHER_TARGETS));
        positions.extend(query.holders.iter().filter_map(|tag| self.by_tag.get(tag)));
        if let Some(object) = query.object {
            positions.extend(self.top_ranked(object).iter());
        }
        for region in query.regions {
            let Some(all) = self.by_region.get(region) else { continue };
            let others =
                if query.object.is_some() { OTHER_TARGETS } else { TOP_RANKED + OTHER_TARGETS };
            let start = query.offset as usize;
            positions
                .extend((0..others.min(all.len())).map(|index| all[(start + index) % all.len()]));
        }
        positions
            .retain(|position| query.regions.contains(&self.targets[*position as usize].region));
        positions.sort_unstable();
        positions.dedup();
        positions.into_iter().map(|position| position as usize).collect()
    }

    /// Positions of an object's top-ranked targets in all regions.
    fn top_ranked(&mut self, object: ObjectTag) -> Arc<[u32]> {
        if let Some(ranked) = self.top_ranked.get(&object) {
            return ranked.clone();
        }
        let mut ranked = Vec::with_capacity(TOP_RANKED * self.by_region.len());
        for all in self.by_region.values() {
            let with_weight = |position: &u32| {
                (rendezvous_weight(self.targets[*position as usize].tag, object), *position)
            };
            let mut weighted: Vec<(u64, u32)> = all.iter().map(with_weight).collect();
            if TOP_RANKED < weighted.len() {
                weighted.select_nth_unstable_by(TOP_RANKED - 1, |a, b| b.cmp(a));
                weighted.truncate(TOP_RANKED);
            }
            ranked.extend(weighted.into_iter().map(|(_, position)| position));
        }
        if MAX_RANKED_OBJECTS <= self.top_ranked.len() {
            self.top_ranked.clear();
        }
        let ranked: Arc<[u32]> = ranked.into();
        self.top_ranked.insert(object, ranked.clone());
        ranked
    }
}

/// Rendezvous hashing weight of a target for an object. All hosts compute the same weights, and the
/// target with the highest weight ranks first.
pub fn rendezvous_weight(target: TargetTag, object: ObjectTag) -> u64 {
    xxh3_64_with_seed(&target.to_le_bytes(), u64::from(object))
}
