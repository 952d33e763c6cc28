//! What the hosts of a region really sent to each region, and how far that may still move.
//!
//! Load pattern: callers' numbers jump while hosts start one after the other and hear of demand at
//! different moments. Each host keeps its own shares within the bound, and yet together they break
//! it: their pictures differ, some begin with other shares, and a full region's refusals leave the
//! others a larger part of what runs. So what counts is what all hosts of the region sent.

use std::collections::{HashMap, VecDeque};

use super::NameTag;
use crate::prelude::*;

/// Length of a window of the bound.
pub const SHIFT_WINDOW: Duration = Duration::from_secs(2);

/// Length of a bucket.
const BUCKET: Duration = Duration::from_millis(200);

/// Buckets of both windows.
const BUCKETS: u64 = 2 * (SHIFT_WINDOW.as_millis() / BUCKET.as_millis()) as u64;

/// Fewest requests in a window that tell anything of its parts.
const TELLING: u32 = 20;

/// Part of the bound from which on no more is sent to a region whose part grows: hosts hear of each
/// other's requests a few tenths of a second late, and what is on its way adds to it.
const HOLD: f64 = 0.7;

/// How steeply the pace of shares falls with what was moved: full up to half of what may be.
const PACE_SLOPE: f64 = 2.0;

/// Service and region of requests.
pub type ServiceRegion = (NameTag, NameTag);

/// Requests of the newer window and of the one before it.
pub type WindowCounts = (u32, u32);

/// What one host sent lately.
#[derive(Debug, Default)]
pub struct SentCounter {
    buckets: VecDeque<(u64, HashMap<ServiceRegion, u32>)>,
}

impl SentCounter {
    /// A request for the service was sent to the region.
    pub fn record(&mut self, service: NameTag, region: NameTag, now: Moment) {
        let number = number(now);
        if self.buckets.back().is_none_or(|(last, _)| *last != number) {
            self.buckets.push_back((number, HashMap::new()));
        }
        let Some((_, counts)) = self.buckets.back_mut() else { return };
        *counts.entry((service, region)).or_default() += 1;
    }

    /// The counts of both windows, which end with the last whole bucket.
    pub fn counts(&mut self, now: Moment) -> Vec<(ServiceRegion, WindowCounts)> {
        let end = number(now);
        self.buckets.retain(|(number, _)| end <= number + BUCKETS);
        let mut sums: BTreeMap<ServiceRegion, WindowCounts> = BTreeMap::new();
        for (number, counts) in self.buckets.iter().filter(|(number, _)| *number < end) {
            let is_newer = end <= number + BUCKETS / 2;
            for (way, count) in counts {
                let (newer, older) = sums.entry(*way).or_default();
                *(if is_newer { newer } else { older }) += count;
            }
        }
        sums.into_iter().collect()
    }
}

fn number(now: Moment) -> u64 {
    (now.as_millis() / BUCKET.as_millis()) as u64
}

/// What all hosts of a region sent lately.
#[derive(Clone, Debug, Default)]
pub struct SentTotals {
    ways: BTreeMap<ServiceRegion, WindowCounts>,
}

impl SentTotals {
    /// Adds what some of the hosts sent.
    pub fn add(&mut self, counts: &[(ServiceRegion, WindowCounts)]) {
        for (way, (newer, older)) in counts {
            let sum = self.ways.entry(*way).or_default();
            sum.0 = sum.0.saturating_add(*newer);
            sum.1 = sum.1.saturating_add(*older);
        }
    }

    /// The parts of the regions in a service's requests, if these are enough to tell.
    pub fn shares(&self, service: NameTag) -> Option<BTreeMap<NameTag, f64>> {
        let of = self.ways.iter().filter(|((name, _), _)| *name == service);
        let counts = of.map(|((_, region), (newer, older))| (*region, newer + older));
        let counts: BTreeMap<NameTag, u32> = counts.collect();
        let all: u32 = counts.values().sum();
        let part = |(region, count)| (region, f64::from(count) / f64::from(all));
        (TELLING <= all).then(|| counts.into_iter().map(part).collect())
    }

    /// By how much each region's part of all requests has surely grown from the older window to the
    /// newer one; nothing where a window has too few to tell.
    ///
    /// Chance alone changes the parts of few requests. Taken for a move, it would be answered with a
    /// real one, so what chance usually makes is left out.
    fn grown(&self) -> BTreeMap<NameTag, f64> {
        let mut regions: BTreeMap<NameTag, WindowCounts> = BTreeMap::new();
        for ((_, region), (newer, older)) in &self.ways {
            let sum = regions.entry(*region).or_default();
            *sum = (sum.0 + newer, sum.1 + older);
        }
        let newer: u32 = regions.values().map(|(newer, _)| newer).sum();
        let older: u32 = regions.values().map(|(_, older)| older).sum();
        if newer < TELLING || older < TELLING {
            return BTreeMap::new();
        }
        let (newer, older) = (f64::from(newer), f64::from(older));
        let grown = |(region, (new, old)): (NameTag, WindowCounts)| {
            let part = f64::from(new + old) / (newer + older);
            let chance = (part * (1.0 - part) * (newer.recip() + older.recip())).sqrt();
            let grown = f64::from(new) / newer - f64::from(old) / older;
            (region, (grown - chance).max(0.0))
        };
        regions.into_iter().map(grown).collect()
    }

    /// The part of all requests that has changed its region.
    pub fn shifted(&self) -> f64 {
        self.grown().values().sum()
    }

    /// Regions whose part has grown so far that nothing more may be moved there for now.
    pub fn capped_regions(&self, max_shift: f64) -> Vec<NameTag> {
        let is_held = |(_, grown): &(NameTag, f64)| HOLD * max_shift <= *grown;
        self.grown().into_iter().filter(is_held).map(|(region, _)| region).collect()
    }

    /// How fast shares may move now, as a part of their usual pace.
    pub fn pace(&self, max_shift: f64) -> f64 {
        if max_shift <= 0.0 {
            return 0.0;
        }
        let most = HOLD * max_shift;
        ((most - self.shifted()) / most * PACE_SLOPE).clamp(0.0, 1.0)
    }
}
