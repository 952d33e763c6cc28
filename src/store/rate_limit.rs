//! Counts calls to the platform by kind and limits their rate.
//!
//! The platform's rate limits are shared by all clients: a host that calls in a loop must not use
//! them up for the others.

use crate::prelude::*;

/// Kind of a call. The platform limits the rate of each kind separately.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CallKind {
    Read,
    Watch,
    Write,
}

/// Number of calls by kind.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallCounts {
    /// Refused by the client's own rate limiter and never sent.
    pub held_back: u64,
    pub reads: u64,
    pub watches: u64,
    pub writes: u64,
}

/// Maximum calls per second by kind; bursts of up to `BURST_SECONDS` worth of calls are allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimits {
    pub reads: f64,
    pub watches: f64,
    pub writes: f64,
}

/// Capacity of each token bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 5.0;

impl RateLimits {
    /// Limits of one host. 1,700 idle hosts make almost no calls, and a few hosts that restart at
    /// once stay far below the platform's limits.
    pub const HOST: Self = Self { reads: 10.0, watches: 4.0, writes: 4.0 };

    /// Limits of a client that writes a manifest with hundreds of parts.
    pub const OPERATOR: Self = Self { reads: 100.0, watches: 4.0, writes: 40.0 };
}

/// Limits the rate of calls with one token bucket per kind.
#[derive(Debug)]
pub struct CallRateLimiter {
    counts: CallCounts,
    reads: TokenBucket,
    watches: TokenBucket,
    writes: TokenBucket,
}

impl CallRateLimiter {
    /// Returns a limiter with full buckets.
    pub fn new(limits: RateLimits, now: Moment) -> Self {
        Self {
            counts: CallCounts::default(),
            reads: TokenBucket::new(limits.reads, now),
            watches: TokenBucket::new(limits.watches, now),
            writes: TokenBucket::new(limits.writes, now),
        }
    }

    /// Returns the calls counted since the start.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    /// Takes a token for one call. If none is left, the error is the time until there is one.
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
    refilled_at: Moment,
    tokens: f64,
    rate: f64,
}

impl TokenBucket {
    fn new(rate: f64, now: Moment) -> Self {
        Self { refilled_at: now, tokens: rate * BURST_SECONDS, rate }
    }

    fn take(&mut self, now: Moment) -> Result<(), Duration> {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = now;
        self.tokens =
            (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.rate * BURST_SECONDS);
        if self.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
