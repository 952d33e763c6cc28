//! Counts the requests that hosts sent to each region, and limits how far traffic may still shift.
//!
//! The maximum shift holds for all hosts of a region together. It does not hold if every host only
//! limits its own shares: while load changes and hosts start one after the other, their views of
//! the demand differ, some start with other shares, and refusals of a full region increase the
//! fraction that the other regions run. So the limit is checked against what all hosts of the
//! region sent.

use std::collections::{HashMap, VecDeque};

use super::NameTag;
use crate::prelude::*;

/// Time window over which the maximum shift is defined.
pub const SHIFT_WINDOW: Duration = Duration::from_secs(2);

/// Resolution of the counts.
const BUCKET: Duration = Duration::from_millis(200);

/// Number of buckets in the newer and the older window together.
const BUCKETS: u64 = 2 * (SHIFT_WINDOW.as_millis() / BUCKET.as_millis()) as u64;

/// Minimum number of requests that shares are computed from; those of fewer are not meaningful.
const MIN_REQUESTS: u32 = 20;

/// Fraction of the maximum shift at which a growing region is capped. Hosts learn of each other's
/// requests a few tenths of a second late, and requests sent meanwhile add to the shift.
const CAP_FRACTION: f64 = 0.7;

/// Slope with which the pace of shares falls as traffic shifts: with 2, the pace is full until half
/// of the allowance is used.
const PACE_SLOPE: f64 = 2.0;

/// Service and region that requests were sent to.
pub type ServiceRegion = (NameTag, NameTag);

/// Request counts of the newer window and of the one before it.
pub type WindowCounts = (u32, u32);

/// Recent requests of one host.
#[derive(Debug, Default)]
pub struct SentCounter {
    buckets: VecDeque<(u64, HashMap<ServiceRegion, u32>)>,
}

impl SentCounter {
    /// Counts a request for the service that was sent to the region.
    pub fn record(&mut self, service: NameTag, region: NameTag, now: Moment) {
        let number = bucket_number(now);
        if self.buckets.back().is_none_or(|(last, _)| *last != number) {
            self.buckets.push_back((number, HashMap::new()));
        }
        let Some((_, counts)) = self.buckets.back_mut() else { return };
        *counts.entry((service, region)).or_default() += 1;
    }

    /// The counts of both windows. The newer one ends with the last complete bucket.
    pub fn counts(&mut self, now: Moment) -> Vec<(ServiceRegion, WindowCounts)> {
        let end = bucket_number(now);
        self.buckets.retain(|(number, _)| end <= number + BUCKETS);
        let mut sums: BTreeMap<ServiceRegion, WindowCounts> = BTreeMap::new();
        for (number, counts) in self.buckets.iter().filter(|(number, _)| *number < end) {
            let is_newer = end <= number + BUCKETS / 2;
            for (key, count) in counts {
                let (newer, older) = sums.entry(*key).or_default();
                *(if is_newer { newer } else { older }) += count;
            }
        }
        sums.into_iter().collect()
    }
}

fn bucket_number(now: Moment) -> u64 {
    (now.as_millis() / BUCKET.as_millis()) as u64
}

/// Recent requests of all hosts of a region.
#[derive(Clone, Debug, Default)]
pub struct SentTotals {
    counts: BTreeMap<ServiceRegion, WindowCounts>,
}

impl SentTotals {
    /// Adds the counts of some hosts.
    pub fn add(&mut self, counts: &[(ServiceRegion, WindowCounts)]) {
        for (key, (newer, older)) in counts {
            let sum = self.counts.entry(*key).or_default();
            sum.0 = sum.0.saturating_add(*newer);
            sum.1 = sum.1.saturating_add(*older);
        }
    }

    /// Each region's share of a service's requests; `None` if there are fewer than `MIN_REQUESTS`.
    pub fn shares(&self, service: NameTag) -> Option<BTreeMap<NameTag, f64>> {
        let matching = self.counts.iter().filter(|((name, _), _)| *name == service);
        let counts = matching.map(|((_, region), (newer, older))| (*region, newer + older));
        let counts: BTreeMap<NameTag, u32> = counts.collect();
        let total: u32 = counts.values().sum();
        let share = |(region, count)| (region, f64::from(count) / f64::from(total));
        (MIN_REQUESTS <= total).then(|| counts.into_iter().map(share).collect())
    }

    /// How much each region's share of all requests grew from the older window to the newer one,
    /// less one standard error; empty if a window has fewer than `MIN_REQUESTS`.
    ///
    /// The shares of few requests vary by chance alone. Without the deduction, hosts would react to
    /// this noise with a real shift.
    fn growth(&self) -> BTreeMap<NameTag, f64> {
        let mut regions: BTreeMap<NameTag, WindowCounts> = BTreeMap::new();
        for ((_, region), (newer, older)) in &self.counts {
            let sum = regions.entry(*region).or_default();
            *sum = (sum.0 + newer, sum.1 + older);
        }
        let newer: u32 = regions.values().map(|(newer, _)| newer).sum();
        let older: u32 = regions.values().map(|(_, older)| older).sum();
        if newer < MIN_REQUESTS || older < MIN_REQUESTS {
            return BTreeMap::new();
        }
        let (newer, older) = (f64::from(newer), f64::from(older));
        let grown = |(region, (new, old)): (NameTag, WindowCounts)| {
            let share = f64::from(new + old) / (newer + older);
            let standard_error = (share * (1.0 - share) * (newer.recip() + older.recip())).sqrt();
            let grown = f64::from(new) / newer - f64::from(old) / older;
            (region, (grown - standard_error).max(0.0))
        };
        regions.into_iter().map(grown).collect()
    }

    /// The fraction of all requests that shifted to another region.
    pub fn shifted(&self) -> f64 {
        self.growth().values().sum()
    }

    /// Regions whose share grew so much that no more traffic may shift there for now.
    pub fn capped_regions(&self, max_shift: f64) -> Vec<NameTag> {
        let is_capped = |(_, grown): &(NameTag, f64)| CAP_FRACTION * max_shift <= *grown;
        self.growth().into_iter().filter(is_capped).map(|(region, _)| region).collect()
    }

    /// How fast shares may move now, as a fraction of their normal pace.
    pub fn pace(&self, max_shift: f64) -> f64 {
        if max_shift <= 0.0 {
            return 0.0;
        }
        let limit = CAP_FRACTION * max_shift;
        ((limit - self.shifted()) / limit * PACE_SLOPE).clamp(0.0, 1.0)
    }
}
