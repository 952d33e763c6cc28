//! Limits retries to a share of the traffic.

use crate::{base::invariant, prelude::*};

/// Length of the sliding window, in buckets of one second.
const BUCKETS: usize = 10;
/// Retries allowed per window in addition to the ratio, so that a service with little traffic can
/// retry at all.
const RETRY_SLACK: f64 = 3.0;
/// Share of the budget that hedges may use; the rest is left for retries after failures.
const HEDGE_SHARE: f64 = 0.5;
/// Retries allowed per first attempt.
const RETRY_RATIO: f64 = 0.1;

/// Parameters of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Retries allowed per window in addition to the ratio.
    pub slack: f64,
    /// Retries allowed per first attempt.
    pub ratio: f64,
}

impl RetryAllowance {
    /// A tenth of the first attempts, plus three.
    pub const DEFAULT: Self = Self { slack: RETRY_SLACK, ratio: RETRY_RATIO };
}

/// Allows retries up to a share of the first attempts of the last ten seconds.
///
/// Without it an outage amplifies its own load: each failure causes another request, the remaining
/// targets get twice the traffic and fail too.
#[derive(Debug)]
pub struct RetryBudget {
    allowance: RetryAllowance,
    buckets: [Bucket; BUCKETS],
    unlimited: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    first: u32,
    retries: u32,
    second: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { allowance: RetryAllowance::DEFAULT, buckets: Default::default(), unlimited: false }
    }
}

impl RetryBudget {
    pub fn set_allowance(&mut self, allowance: RetryAllowance) {
        self.allowance = allowance;
    }

    /// A budget with an empty window and the default allowance.
    pub fn new() -> Self {
        Self::default()
    }

    /// A budget that refuses nothing, to measure the effect of the limit.
    pub fn unlimited() -> Self {
        Self { unlimited: true, ..Self::default() }
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now: Moment) {
        let bucket = self.bucket(now);
        bucket.first = bucket.first.saturating_add(1);
    }

    /// Takes one retry out of the budget. Returns false if the budget is used up.
    pub fn take_retry(&mut self, now: Moment) -> bool {
        self.take_within(1.0, now)
    }

    /// Takes one hedge out of the budget. Returns false if half of the budget is used up.
    pub fn take_hedge(&mut self, now: Moment) -> bool {
        self.take_within(HEDGE_SHARE, now)
    }

    fn take_within(&mut self, share: f64, now: Moment) -> bool {
        let (first, retries) = self.window_totals(now);
        let RetryAllowance { slack, ratio } = self.allowance;
        let allowed = (f64::from(first) * ratio + slack) * share;
        if !self.unlimited && allowed < f64::from(retries + 1) {
            return false;
        }
        self.bucket(now).retries += 1;
        let (_, retries) = self.window_totals(now);
        invariant::check(f64::from(retries) <= allowed, "retry-budget", || {
            format!("{retries} retries of {first}")
        });
        true
    }

    fn bucket(&mut self, now: Moment) -> &mut Bucket {
        let second = now.as_secs();
        let bucket = &mut self.buckets[(second % BUCKETS as u64) as usize];
        if bucket.second != second {
            *bucket = Bucket { second, ..Bucket::default() };
        }
        bucket
    }

    fn window_totals(&self, now: Moment) -> (u32, u32) {
        let oldest = (now.as_secs() + 1).saturating_sub(BUCKETS as u64);
        let in_window = self.buckets.iter().filter(|bucket| oldest <= bucket.second);
        in_window.fold((0, 0), |(first, retries), bucket| {
            (first + bucket.first, retries + bucket.retries)
        })
    }
}
