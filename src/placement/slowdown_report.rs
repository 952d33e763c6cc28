//! Reports on slow targets that hosts exchange.

use crate::prelude::*;

/// Runs that a report needs to count in full: a single one may be slow for another reason.
const FULL_WEIGHT_RUNS: u16 = 3;

/// Maximum number of runs in a report, so that new runs replace older ones.
const MAX_RUNS: u16 = 8;

/// Mean ratio of actual to expected time from which a target is slow; less is normal variation.
const SLOW_RATIO: f64 = 1.5;

/// Recent runs at a target, and the ratio of their actual to their expected time.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlowdownReport {
    runs: u16,
    /// Sum of the ratios of all runs, in hundredths.
    sum: u32,
}

impl SlowdownReport {
    /// The report of one run that took `ratio` times its expected time.
    pub fn single(ratio: f64) -> Self {
        Self { runs: 1, sum: (ratio * 100.0) as u32 }
    }

    /// Adds the runs of `other`. If there are more than `MAX_RUNS`, the runs of `self` lose weight.
    pub fn merge(self, other: Self) -> Self {
        let kept = MAX_RUNS.saturating_sub(other.runs).min(self.runs);
        let sum = u64::from(self.sum) * u64::from(kept) / u64::from(self.runs.max(1));
        let sum = other.sum.saturating_add(sum as u32);
        Self { runs: kept + other.runs, sum }
    }

    /// Removes runs that were merged into this report.
    pub fn without(self, other: Self) -> Self {
        let runs = self.runs.saturating_sub(other.runs);
        match runs {
            0 => Self::default(),
            _ => Self { runs, sum: self.sum.saturating_sub(other.sum) },
        }
    }

    /// Whether there are any runs.
    pub fn has_runs(self) -> bool {
        0 < self.runs
    }

    /// Whether the runs took at least `SLOW_RATIO` times their expected time on average.
    pub fn is_slow(self) -> bool {
        SLOW_RATIO <= self.mean()
    }

    /// Factor by which the target prolongs answers, judged by the runs.
    pub fn slowdown(self) -> f64 {
        let weight = f64::from(self.runs.min(FULL_WEIGHT_RUNS)) / f64::from(FULL_WEIGHT_RUNS);
        1.0 + (self.mean() - 1.0).max(0.0) * weight
    }

    fn mean(self) -> f64 {
        f64::from(self.sum) / 100.0 / f64::from(self.runs.max(1))
    }
}
