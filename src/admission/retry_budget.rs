//! Retries as a share of the traffic.

use crate::{base::invariant, prelude::*};

/// Length of the sliding window, in buckets of one second.
const BUCKETS: usize = 10;
/// Retries that a window allows on top of the share, so that a quiet service can retry at all.
const RETRY_SLACK: f64 = 3.0;
/// Part of the budget that hedges may use up: failures must still find some.
const HEDGE_SHARE: f64 = 0.5;
/// Retries as a share of first attempts.
const RETRY_RATIO: f64 = 0.1;

/// What a budget allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// Retries that a window allows on top of the share.
    pub slack: f64,
    /// Retries as a share of first attempts.
    pub ratio: f64,
}

impl RetryAllowance {
    /// A tenth of the first attempts, and three.
    pub const DEFAULT: Self = Self { slack: RETRY_SLACK, ratio: RETRY_RATIO };
}

/// Allows retries up to a share of the first attempts of the last ten seconds.
///
/// Without it an outage multiplies its own load: each failure sends another request, the targets
/// that are left get twice the traffic and fail too.
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
    /// From now on allows that much.
    pub fn set_allowance(&mut self, allowance: RetryAllowance) {
        self.allowance = allowance;
    }

    /// An empty window.
    pub fn new() -> Self {
        Self::default()
    }

    /// A budget that refuses nothing, for measurements of what it is worth.
    pub fn unlimited() -> Self {
        Self { unlimited: true, ..Self::default() }
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now: Moment) {
        let bucket = self.bucket(now);
        bucket.first = bucket.first.saturating_add(1);
    }

    /// Takes one retry out of the budget; false when it is used up.
    pub fn take_retry(&mut self, now: Moment) -> bool {
        self.take_share(1.0, now)
    }

    /// Takes one hedge out of the budget; false when half of it is used up.
    pub fn take_hedge(&mut self, now: Moment) -> bool {
        self.take_share(HEDGE_SHARE, now)
    }

    fn take_share(&mut self, share: f64, now: Moment) -> bool {
        let (first, retries) = self.sums(now);
        let RetryAllowance { slack, ratio } = self.allowance;
        let allowed = (f64::from(first) * ratio + slack) * share;
        if !self.unlimited && allowed < f64::from(retries + 1) {
            return false;
        }
        self.bucket(now).retries += 1;
        let (_, retries) = self.sums(now);
        invariant::hold(f64::from(retries) <= allowed, "retry-budget", || {
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

    fn sums(&self, now: Moment) -> (u32, u32) {
        let oldest = (now.as_secs() + 1).saturating_sub(BUCKETS as u64);
        let live = self.buckets.iter().filter(|bucket| oldest <= bucket.second);
        live.fold((0, 0), |(first, retries), bucket| {
            (first + bucket.first, retries + bucket.retries)
        })
    }
}
