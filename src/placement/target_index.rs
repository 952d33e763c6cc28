//! Which few of a service's targets are worth looking at for a request.
//!
//! Load pattern: hundreds of targets of one service, and a host with a tenth of a core that places
//! dozens of requests a second. Weighed in full, each of them would cost more than its forwarding.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{ObjectTag, TargetTag};
use crate::{entry::KnownTarget, prelude::*};

/// First targets of an object by hash that are looked at in each region. Enough that some of them
/// take requests where others are paused, cold or full.
const FIRSTS: usize = 8;

/// Other targets of a region that are looked at: where the first ones are crowded, some of these
/// are likely to be idle if many are.
const OTHERS: usize = 8;

/// Objects whose first targets are remembered.
const REMEMBERED: usize = 4_096;

/// A service's targets, by region and by tag.
#[derive(Debug, Default)]
pub struct TargetIndex {
    by_region: BTreeMap<RegionId, Vec<u32>>,
    by_tag: HashMap<TargetTag, u32>,
    /// First targets of objects in each region, worked out once for each change of the targets.
    firsts: HashMap<ObjectTag, Arc<[u32]>>,
    targets: Arc<[Arc<KnownTarget>]>,
}

/// What a shortlist is made for.
#[derive(Clone, Copy, Debug)]
pub struct ShortlistQuery<'a> {
    /// Targets that are known to have been asked for the object.
    pub holders: &'a [TargetTag],
    pub object: Option<ObjectTag>,
    /// Regions to look at.
    pub regions: &'a [RegionId],
    /// A number that differs from request to request.
    pub spread: u32,
}

impl TargetIndex {
    /// Takes over the targets, if they are others than before.
    pub fn update(&mut self, targets: &Arc<[Arc<KnownTarget>]>) {
        if Arc::ptr_eq(&self.targets, targets) {
            return;
        }
        self.targets = targets.clone();
        self.firsts.clear();
        self.by_region.clear();
        self.by_tag.clear();
        for (at, target) in (0..).zip(targets.iter()) {
            self.by_region.entry(target.region.clone()).or_default().push(at);
            self.by_tag.insert(target.tag, at);
        }
    }

    /// All targets, in the order that positions go by.
    pub fn targets(&self) -> &Arc<[Arc<KnownTarget>]> {
        &self.targets
    }

    /// The regions that have other targets than those that were tried.
    pub fn untried_regions(&self, tried: &[TargetTag]) -> impl Iterator<Item = &RegionId> {
        let is_open = |at: &u32| !tried.contains(&self.targets[*at as usize].tag);
        let open = self.by_region.iter().filter(move |(_, all)| all.iter().any(is_open));
        open.map(|(region, _)| region)
    }

    /// Positions of the targets to look at, in rising order.
    pub fn shortlist(&mut self, wanted: &ShortlistQuery<'_>) -> Vec<usize> {
        let mut found: Vec<u32> = Vec::with_capacity(4 * (FIRSTS + OTHERS));
        found.extend(wanted.holders.iter().filter_map(|tag| self.by_tag.get(tag)));
        if let Some(object) = wanted.object {
            found.extend(self.firsts(object).iter());
        }
        for region in wanted.regions {
            let Some(all) = self.by_region.get(region) else { continue };
            let others = if wanted.object.is_some() { OTHERS } else { FIRSTS + OTHERS };
            let first = wanted.spread as usize;
            found.extend((0..others.min(all.len())).map(|step| all[(first + step) % all.len()]));
        }
        found.retain(|at| wanted.regions.contains(&self.targets[*at as usize].region));
        found.sort_unstable();
        found.dedup();
        found.into_iter().map(|at| at as usize).collect()
    }

    /// The first targets of an object by hash, of all regions.
    fn firsts(&mut self, object: ObjectTag) -> Arc<[u32]> {
        if let Some(firsts) = self.firsts.get(&object) {
            return firsts.clone();
        }
        let mut firsts = Vec::with_capacity(FIRSTS * self.by_region.len());
        for all in self.by_region.values() {
            let weigh = |at: &u32| (weight(self.targets[*at as usize].tag, object), *at);
            let mut weighed: Vec<(u64, u32)> = all.iter().map(weigh).collect();
            if FIRSTS < weighed.len() {
                weighed.select_nth_unstable_by(FIRSTS - 1, |a, b| b.cmp(a));
                weighed.truncate(FIRSTS);
            }
            firsts.extend(weighed.into_iter().map(|(_, at)| at));
        }
        if REMEMBERED <= self.firsts.len() {
            self.firsts.clear();
        }
        let firsts: Arc<[u32]> = firsts.into();
        self.firsts.insert(object, firsts.clone());
        firsts
    }
}

/// Weight of a target for an object; the highest comes first, at every host.
pub fn weight(target: TargetTag, object: ObjectTag) -> u64 {
    xxh3_64_with_seed(&target.to_le_bytes(), u64::from(object))
}
