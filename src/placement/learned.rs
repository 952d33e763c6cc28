//! What hosts have learned of services, as it is kept in the store for hosts that start later.
//!
//! Load pattern: all hosts are lost at once, and new ones start while callers send as much as
//! before. With the default estimates, which fit no deployment, they accept requests that targets
//! cannot run in time. The targets have not changed, so the times that were measured before apply.

use super::{
    CacheCapacity, InitialTimes, LearnedError, NameTag, RegionShares, ServiceEstimates, WorkTime,
    cache_capacity::MIN_CAPACITY,
    name_tag,
    work_time::{MAX_MISS_RATIO, MIN_MISS_RATIO},
};
use crate::prelude::*;

/// Age from which on learned values are ignored.
const MAX_AGE: Duration = Duration::from_secs(3_600);

/// Age up to which times count as measured. A release of the member's software that changes the
/// times takes longer to be rolled out.
const MAX_TRUSTED_AGE: Duration = Duration::from_secs(600);

/// How far the clock of the host that wrote may be ahead of that of the host that reads.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(60);

/// Longest time that is used, in milliseconds.
const MAX_TIME_MS: f64 = 60_000.0;

/// Largest cache capacity that is used, in objects.
const MAX_OBJECTS: f64 = 100_000.0;

/// Largest difference between the sum of the shares and 1.
const MAX_SHARE_SUM_ERROR: f64 = 0.01;

/// Number of own hits and of own misses from which on estimates are worth keeping.
const MIN_RUNS: u32 = 3;

/// Changes since the last write from which on a service is written again: of times as a fraction,
/// of the cache capacity in objects, of a region's share.
const TIME_CHANGE: f64 = 0.1;
const OBJECTS_CHANGE: f64 = 2.0;
const SHARE_CHANGE: f64 = 0.05;

/// Age of the stored values from which on a service is written again although nothing has changed.
/// Otherwise the values of a calm service would become too old to be used.
const REFRESH_AGE: Duration = Duration::from_secs(1_800);

/// What was learned of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LearnedService {
    /// Time at a target that has the object cached, in milliseconds.
    pub hit_ms: f64,
    /// Mean time over recent requests, in milliseconds.
    pub mean_ms: f64,
    /// Wall-clock time of the write by a host that measured these values, in milliseconds since the
    /// Unix epoch.
    pub measured_ms: u64,
    /// Time of a miss as a multiple of a hit.
    pub miss_ratio: f64,
    /// Cache capacity of the targets, in objects.
    pub objects: f64,
    pub primary_hit_rate: f64,
    /// Shares of the regions; empty if there are none yet.
    pub shares: BTreeMap<RegionId, f64>,
}

impl LearnedService {
    /// What a host has learned; `None` while it has measured too little. `measured_ms` is 0.
    pub fn of(estimates: &ServiceEstimates, shares: Option<&RegionShares>) -> Option<Self> {
        let work = &estimates.work;
        if work.own_runs() < MIN_RUNS {
            return None;
        }
        let share = |(region, share): (&RegionId, f64)| (region.clone(), rounded(share));
        Some(Self {
            hit_ms: rounded(work.hit().as_secs_f64() * 1e3),
            mean_ms: rounded(work.mean().as_secs_f64() * 1e3),
            measured_ms: 0,
            miss_ratio: rounded(work.miss().as_secs_f64() / work.hit().as_secs_f64()),
            objects: rounded(estimates.cache_capacity.objects()),
            primary_hit_rate: rounded(estimates.primary_hit_rate),
            shares: shares.map(|shares| shares.iter().map(share).collect()).unwrap_or_default(),
        })
    }

    /// Estimates of a host that read these values at the wall-clock time `read_ms`.
    ///
    /// Targets keep their caches when hosts are lost, so the rate of hits at primary targets is then
    /// at least the default. The learned rate is lower: while hosts run, an object of which no
    /// request is known is usually new.
    pub fn initial_estimates(&self, read_ms: u64) -> ServiceEstimates {
        let default = ServiceEstimates::default();
        let millis = |millis: f64| Duration::from_secs_f64(millis / 1e3);
        ServiceEstimates {
            cache_capacity: CacheCapacity::starting_from(self.objects),
            primary_hit_rate: default.primary_hit_rate.max(self.primary_hit_rate),
            work: WorkTime::starting_from(InitialTimes {
                hit: millis(self.hit_ms),
                is_trusted: self.age(read_ms) <= MAX_TRUSTED_AGE,
                mean: millis(self.mean_ms),
                miss_ratio: self.miss_ratio,
            }),
        }
    }

    /// The shares by hash of the region, as `RegionShares::resume` takes them; `None` if there are
    /// none.
    pub fn share_tags(&self) -> Option<BTreeMap<NameTag, f64>> {
        let tag = |(region, share): (&RegionId, &f64)| (name_tag(region), *share);
        (!self.shares.is_empty()).then(|| self.shares.iter().map(tag).collect())
    }

    /// Whether the values have changed enough since `old` to be written again.
    pub(super) fn differs_from(&self, old: &Self) -> bool {
        let has_changed = |new: f64, old: f64| TIME_CHANGE * old <= (new - old).abs();
        let share = |service: &Self, region| service.shares.get(region).copied().unwrap_or(0.0);
        let mut regions = self.shares.keys().chain(old.shares.keys());
        has_changed(self.hit_ms, old.hit_ms)
            || has_changed(self.miss_ms(), old.miss_ms())
            || has_changed(self.mean_ms, old.mean_ms)
            || OBJECTS_CHANGE <= (self.objects - old.objects).abs()
            || regions.any(|it| SHARE_CHANGE <= (share(self, it) - share(old, it)).abs())
            || REFRESH_AGE <= old.age(self.measured_ms)
    }

    /// Checks whether the values may be used at the wall-clock time `now_ms`.
    pub(super) fn check(&self, now_ms: u64) -> Result<(), LearnedError> {
        let lead = Duration::from_millis(self.measured_ms.saturating_sub(now_ms));
        if MAX_CLOCK_LEAD < lead {
            return Err(LearnedError::Future(lead));
        }
        if MAX_AGE <= self.age(now_ms) {
            return Err(LearnedError::TooOld(self.age(now_ms)));
        }
        let is_time = |millis: f64| 0.0 < millis && millis <= MAX_TIME_MS;
        let is_share = |share: &f64| (0.0..=1.0).contains(share);
        let share_sum: f64 = self.shares.values().sum();
        let are_shares = self.shares.values().all(is_share)
            && (self.shares.is_empty() || (share_sum - 1.0).abs() <= MAX_SHARE_SUM_ERROR);
        let checks = [
            ("hit_ms", is_time(self.hit_ms)),
            ("miss_ratio", (MIN_MISS_RATIO..=MAX_MISS_RATIO).contains(&self.miss_ratio)),
            ("the time of a miss", is_time(self.miss_ms())),
            ("mean_ms", is_time(self.mean_ms)),
            ("objects", (MIN_CAPACITY..=MAX_OBJECTS).contains(&self.objects)),
            ("primary_hit_rate", (0.0..=1.0).contains(&self.primary_hit_rate)),
            ("shares", are_shares),
        ];
        let wrong = checks.into_iter().find(|(_, holds)| !holds);
        wrong.map_or(Ok(()), |(name, _)| Err(LearnedError::OutOfBounds(name)))
    }

    fn miss_ms(&self) -> f64 {
        self.hit_ms * self.miss_ratio
    }

    fn age(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms.saturating_sub(self.measured_ms))
    }
}

/// What was learned of all services.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    pub services: BTreeMap<ServiceId, LearnedService>,
}

/// Learned values for a host that starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InitialState {
    /// Wall-clock time of the read, in milliseconds since the Unix epoch.
    pub read_ms: u64,
    pub state: LearnedState,
}

impl LearnedState {
    /// Age of the oldest values at the wall-clock time `now_ms`.
    pub fn max_age(&self, now_ms: u64) -> Duration {
        self.services.values().map(|service| service.age(now_ms)).max().unwrap_or_default()
    }

    /// Adds the values of another state that may still be used and that this one lacks.
    pub(super) fn add_missing(
        &mut self,
        other: &Self,
        is_known: impl Fn(&ServiceId) -> bool,
        now_ms: u64,
    ) {
        let is_usable = |(name, service): &(&ServiceId, &LearnedService)| {
            is_known(name) && service.check(now_ms).is_ok()
        };
        for (name, service) in other.services.iter().filter(is_usable) {
            self.services.entry(name.clone()).or_insert_with(|| service.clone());
        }
    }
}

/// Rounds to three decimals, which is more than the measurements are worth.
fn rounded(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}
