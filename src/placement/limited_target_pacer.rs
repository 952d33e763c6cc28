//! Rate of this host's requests to targets that named a limit.
//!
//! The limit holds for all hosts together. Any share for each of a thousand hosts would round up
//! to one request a host, so that few hosts, selected by hash, send to a limited target at all.

use std::collections::HashMap;

use super::{SENDERS_PER_TARGET, TargetTag};
use crate::prelude::*;

/// Fraction of the limit that the senders use together. While hosts disagree about which hosts are
/// live, twice as many send. In four seconds they must stay below 1.5 times the limit.
const LIMIT_FRACTION: f64 = 0.9;

/// Lowest rate of one sender, in requests per second. A target that gets nothing sends no response,
/// and so could never end its limit.
const MIN_SENDER_RATE: f64 = 0.05;

/// Requests per second that all hosts together send to a target with a limit.
pub fn paced_rate(limit: f64) -> f64 {
    limit * LIMIT_FRACTION
}

/// Mean time between two requests of any host to a target with a limit.
pub fn request_interval(limit: f64) -> Duration {
    Duration::from_secs_f64(1.0 / paced_rate(limit).max(MIN_SENDER_RATE))
}

/// Token buckets of one request, by target.
#[derive(Debug, Default)]
pub struct LimitedTargetPacer {
    buckets: HashMap<TargetTag, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    refilled_at: Moment,
    tokens: f64,
}

impl LimitedTargetPacer {
    /// Whether this host may send the target a request now. The bucket of a target that has just
    /// named its limit is empty: it got a request a moment ago.
    pub fn has_token(&mut self, tag: TargetTag, limit: f64, now: Moment) -> bool {
        let rate = (paced_rate(limit) / SENDERS_PER_TARGET as f64).max(MIN_SENDER_RATE);
        let bucket = self.buckets.entry(tag).or_insert(Bucket { refilled_at: now, tokens: 0.0 });
        let elapsed = now.saturating_sub(bucket.refilled_at);
        bucket.tokens = (bucket.tokens + elapsed.as_secs_f64() * rate).min(1.0);
        bucket.refilled_at = now;
        1.0 <= bucket.tokens
    }

    /// Takes the token of a request that is sent now. False if there is none.
    pub fn take_token(&mut self, tag: TargetTag, limit: f64, now: Moment) -> bool {
        let has_token = self.has_token(tag, limit, now);
        if let Some(bucket) = self.buckets.get_mut(&tag).filter(|_| has_token) {
            bucket.tokens -= 1.0;
        }
        has_token
    }

    /// Removes the buckets of targets that have no limit any more.
    pub fn retain(&mut self, is_limited: impl Fn(TargetTag) -> bool) {
        self.buckets.retain(|tag, _| is_limited(*tag));
    }
}
