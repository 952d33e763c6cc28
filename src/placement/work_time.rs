//! Estimates of how long a request occupies a slot, for cache hits and misses.

use crate::prelude::*;

/// Time of a hit assumed before any is measured. It only affects which targets are preferred: no
/// request is refused for its expected work before that was measured.
const DEFAULT_HIT_TIME: Duration = Duration::from_millis(300);

/// Time of a miss as a multiple of a hit, assumed before it is measured. A cached object saves most
/// of the work, or caching would not be worthwhile.
const DEFAULT_MISS_RATIO: f64 = 3.0;

/// Minimum weight of the newest run, which makes the mean cover about the last twenty runs.
const MIN_SAMPLE_WEIGHT: f64 = 0.05;

/// Cap on how far one run exceeds the estimate, as a fraction of it. A run that had a free slot by
/// the reported loads may have had to wait after all.
const MAX_EXCESS: f64 = 0.3;

/// The cap applies from this run on: the default may be far off, so the first runs count in full.
const FIRST_CAPPED_RUN: u32 = 5;

/// Weight of the newest request in `mean`, which then covers about the last fifty requests.
const MEAN_SAMPLE_WEIGHT: f64 = 0.02;

/// Bounds of the ratio of miss to hit: a miss is not faster than a hit, and one outlier must not
/// inflate the estimate without limit.
pub(super) const MIN_MISS_RATIO: f64 = 1.0;
pub(super) const MAX_MISS_RATIO: f64 = 20.0;

/// Weight of initial times, in runs. The first four runs of the host then count for more than half
/// of its estimate.
const INITIAL_RUNS: u32 = 3;

/// Resolution of timers, in seconds: shorter times are rounded up to it.
const MIN_SECS: f64 = 0.001;

/// Times that another host measured, from which estimates may begin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InitialTimes {
    pub hit: Duration,
    /// Whether the times count as measured. Requests may then be refused for their run time.
    pub is_trusted: bool,
    pub mean: Duration,
    /// Time of a miss as a multiple of a hit.
    pub miss_ratio: f64,
}

/// Estimated times of one service.
#[derive(Clone, Copy, Debug)]
pub struct WorkTime {
    /// In seconds.
    hit: f64,
    hit_runs: u32,
    /// Part of `hit_runs` and of `miss_runs` that stands for initial times.
    initial_runs: u32,
    /// Whether initial times count as measured.
    is_initial_trusted: bool,
    /// In seconds.
    mean: f64,
    miss_ratio: f64,
    miss_runs: u32,
}

impl Default for WorkTime {
    fn default() -> Self {
        let hit = DEFAULT_HIT_TIME.as_secs_f64();
        Self {
            hit,
            hit_runs: 0,
            initial_runs: 0,
            is_initial_trusted: false,
            mean: hit,
            miss_ratio: DEFAULT_MISS_RATIO,
            miss_runs: 0,
        }
    }
}

impl WorkTime {
    /// Estimates that begin from the times of another host, with the weight of a few runs.
    pub fn starting_from(initial: InitialTimes) -> Self {
        Self {
            hit: initial.hit.as_secs_f64().max(MIN_SECS),
            hit_runs: INITIAL_RUNS,
            initial_runs: INITIAL_RUNS,
            is_initial_trusted: initial.is_trusted,
            mean: initial.mean.as_secs_f64(),
            miss_ratio: initial.miss_ratio.clamp(MIN_MISS_RATIO, MAX_MISS_RATIO),
            miss_runs: INITIAL_RUNS,
        }
    }

    /// Whether both hits and misses were measured, by this host or, while initial times are
    /// trusted, by another one.
    pub fn is_measured(&self) -> bool {
        self.is_initial_trusted || 0 < self.own_runs()
    }

    /// Number of both hits and misses that this host measured.
    pub fn own_runs(&self) -> u32 {
        self.hit_runs.min(self.miss_runs) - self.initial_runs
    }

    /// Whether this host measured any hit or miss.
    pub fn has_own_run(&self) -> bool {
        self.initial_runs < self.hit_runs.max(self.miss_runs)
    }

    /// Stops counting initial times as measured. If they are too long, all requests would be refused
    /// for them and nothing would ever be measured.
    pub fn distrust_initial(&mut self) {
        self.is_initial_trusted = false;
    }

    /// Time at a target that has the object cached.
    pub fn hit(&self) -> Duration {
        Duration::from_secs_f64(self.hit)
    }

    /// Time at a target that does not have the object cached.
    pub fn miss(&self) -> Duration {
        Duration::from_secs_f64(self.hit * self.miss_ratio)
    }

    /// Mean time over recent requests, as expected for the targets that they were sent to.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Records the time that a request is expected to occupy a slot at the target it is sent to.
    pub fn record_sent(&mut self, expected: Duration) {
        self.mean += (expected.as_secs_f64() - self.mean) * MEAN_SAMPLE_WEIGHT;
    }

    /// Records the time of a run that found a free slot, and returns whether it was fast.
    /// `was_cached` is whether the target had the object cached; `None` if that is uncertain.
    pub fn record_run(&mut self, took: Duration, was_cached: Option<bool>) -> bool {
        let took = took.as_secs_f64().max(MIN_SECS);
        let was_fast = took < self.hit * self.miss_ratio.sqrt();
        match was_cached {
            Some(true) => self.record_hit(took),
            Some(false) if !was_fast => self.record_miss(took),
            _ => {}
        }
        was_fast
    }

    fn record_hit(&mut self, took: f64) {
        self.hit_runs = self.hit_runs.saturating_add(1);
        let excess = took - self.hit;
        let excess = if self.hit_runs < self.initial_runs + FIRST_CAPPED_RUN {
            excess
        } else {
            excess.min(self.hit * MAX_EXCESS)
        };
        self.hit += excess * sample_weight(self.hit_runs);
    }

    fn record_miss(&mut self, took: f64) {
        self.miss_runs = self.miss_runs.saturating_add(1);
        let ratio = (took / self.hit).clamp(MIN_MISS_RATIO, MAX_MISS_RATIO);
        self.miss_ratio += (ratio - self.miss_ratio) * sample_weight(self.miss_runs);
    }
}

/// Weight of the newest of `runs` runs. It gives the plain mean of the first runs, and then an
/// exponential mean of the latest ones.
fn sample_weight(runs: u32) -> f64 {
    MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(runs))
}
