//! Calls to the platform, counted by kind and held under a budget.
//!
//! The platform's rates are for everybody: one host in a loop must not take them from all others.

use crate::prelude::*;

/// Kind of a call, as the platform counts them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CallKind {
    Read,
    Watch,
    Write,
}

/// Calls so far.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallCounts {
    /// Refused by the own budget, so never sent.
    pub held_back: u64,
    pub reads: u64,
    pub watches: u64,
    pub writes: u64,
}

/// Most calls a second, by kind; short bursts of `BURST_SECONDS` are allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimits {
    pub reads: f64,
    pub watches: f64,
    pub writes: f64,
}

/// How many seconds' worth of calls may come at once.
const BURST_SECONDS: f64 = 5.0;

impl RateLimits {
    /// Of one host: with 1,700 hosts idle they use next to nothing, and a few that restart at once
    /// stay far below the platform's rates.
    pub const HOST: Self = Self { reads: 10.0, watches: 4.0, writes: 4.0 };

    /// Of a client that writes a manifest with hundreds of parts.
    pub const OPERATOR: Self = Self { reads: 100.0, watches: 4.0, writes: 40.0 };
}

/// Token buckets by kind of call.
#[derive(Debug)]
pub struct CallRateLimiter {
    counts: CallCounts,
    reads: TokenBucket,
    watches: TokenBucket,
    writes: TokenBucket,
}

impl CallRateLimiter {
    /// A full budget.
    pub fn new(limits: RateLimits, now: Moment) -> Self {
        Self {
            counts: CallCounts::default(),
            reads: TokenBucket::new(limits.reads, now),
            watches: TokenBucket::new(limits.watches, now),
            writes: TokenBucket::new(limits.writes, now),
        }
    }

    /// Calls so far.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    /// Takes one call; if there is none left, the time until there is.
    pub fn take(&mut self, kind: CallKind, now: Moment) -> Result<(), Duration> {
        let (bucket, count) = match kind {
            CallKind::Read => (&mut self.reads, &mut self.counts.reads),
            CallKind::Watch => (&mut self.watches, &mut self.counts.watches),
            CallKind::Write => (&mut self.writes, &mut self.counts.writes),
        };
        match bucket.take(now) {
            Ok(()) => *count += 1,
            Err(wait) => {
                self.counts.held_back += 1;
                return Err(wait);
            }
        }
        Ok(())
    }
}

#[derive(Debug)]
struct TokenBucket {
    filled: Moment,
    level: f64,
    rate: f64,
}

impl TokenBucket {
    fn new(rate: f64, now: Moment) -> Self {
        Self { filled: now, level: rate * BURST_SECONDS, rate }
    }

    fn take(&mut self, now: Moment) -> Result<(), Duration> {
        let passed = now.saturating_sub(self.filled);
        self.filled = now;
        self.level = (self.level + passed.as_secs_f64() * self.rate).min(self.rate * BURST_SECONDS);
        if self.level < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.level) / self.rate));
        }
        self.level -= 1.0;
        Ok(())
    }
}
