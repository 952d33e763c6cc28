//! Rate limit of requests to cold targets.
//!
//! A cold target crashes if it receives requests faster than its cold rate. The limit holds for all
//! hosts together, so for each target two live hosts, selected by hash, share the rate, and all
//! others send it nothing.

use std::collections::HashMap;

use super::SENDERS_PER_TARGET;
use crate::{entry::KnownTarget, prelude::*};

/// Fraction of the cold rate that the senders use together. While hosts disagree about which hosts
/// are live, up to four may send, and together they must stay below 1.5 times the rate.
const RATE_FRACTION: f64 = 0.7;

/// Token buckets by tag of the target.
#[derive(Debug, Default)]
pub struct ColdTargetLimiter {
    buckets: HashMap<u32, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    refilled_at: Moment,
    tokens: f64,
}

impl ColdTargetLimiter {
    /// Refills the target's bucket at this host's part of `rate`, and returns whether the host may
    /// send it a request now.
    pub fn has_token(&mut self, target: &KnownTarget, rate: f64, now: Moment) -> bool {
        let bucket =
            self.buckets.entry(target.tag).or_insert(Bucket { refilled_at: now, tokens: 1.0 });
        let gained = now.saturating_sub(bucket.refilled_at).as_secs_f64() * rate * RATE_FRACTION
            / SENDERS_PER_TARGET as f64;
        bucket.tokens = (bucket.tokens + gained).min(1.0);
        bucket.refilled_at = now;
        1.0 <= bucket.tokens
    }

    /// Takes a token for a request that is sent.
    pub fn take_token(&mut self, target: &KnownTarget) {
        if let Some(bucket) = self.buckets.get_mut(&target.tag) {
            bucket.tokens -= 1.0;
        }
    }

    /// Removes targets not checked for ten seconds, such as those that are no longer cold.
    pub fn remove_idle(&mut self, now: Moment) {
        self.buckets
            .retain(|_, bucket| now.saturating_sub(bucket.refilled_at) < Duration::from_secs(10));
    }
}
