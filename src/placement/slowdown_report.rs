//! What hosts saw of slow targets, and tell each other.

use crate::prelude::*;

/// Runs that must agree before they count in full: one may have met with something else.
const TELLING: u16 = 3;

/// Most runs that count: what is seen now goes before what was seen a while ago.
const RUNS_MOST: u16 = 8;

/// Least mean that makes a target slow: less is the usual spread of work.
const SLOW: f64 = 1.5;

/// Runs at a target, and how many times the expected time they took.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlowdownReport {
    runs: u16,
    /// Of all runs, in hundredths.
    sum: u32,
}

impl SlowdownReport {
    /// One run.
    pub fn single(ratio: f64) -> Self {
        Self { runs: 1, sum: (ratio * 100.0) as u32 }
    }

    /// Further runs as well; beyond a few, those before lose weight.
    pub fn merge(self, other: Self) -> Self {
        let kept = RUNS_MOST.saturating_sub(other.runs).min(self.runs);
        let sum = u64::from(self.sum) * u64::from(kept) / u64::from(self.runs.max(1));
        let sum = other.sum.saturating_add(sum as u32);
        Self { runs: kept + other.runs, sum }
    }

    /// Whether there are any runs.
    pub fn has_runs(self) -> bool {
        0 < self.runs
    }

    /// Whether they took longer than usual.
    pub fn is_slow(self) -> bool {
        SLOW <= self.mean()
    }

    /// What the runs make of the time of an answer.
    pub fn slowdown(self) -> f64 {
        let weight = f64::from(self.runs.min(TELLING)) / f64::from(TELLING);
        1.0 + (self.mean() - 1.0).max(0.0) * weight
    }

    fn mean(self) -> f64 {
        f64::from(self.sum) / 100.0 / f64::from(self.runs.max(1))
    }
}
