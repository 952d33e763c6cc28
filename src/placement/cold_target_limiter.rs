//! The rate of requests to cold targets.
//!
//! A cold target that gets more than it takes crashes. The bound is over all hosts together, so
//! two hosts, chosen by hash among the living, share it; all others send it nothing.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    entry::{KnownTarget, LiveHost},
    prelude::*,
};

/// Hosts that may send to one cold target. One alone could be cut off from it.
const SENDERS: usize = 2;

/// Part of the allowed rate that the senders use together: hosts that disagree for a moment about
/// who lives may make up to four senders, which must stay below one and a half times the rate.
const PART: f64 = 0.7;

/// Tokens by target.
#[derive(Debug, Default)]
pub struct ColdTargetLimiter {
    buckets: HashMap<u32, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    at: Moment,
    tokens: f64,
}

impl ColdTargetLimiter {
    /// Whether this host may send one request to the target now.
    pub fn has_token(&mut self, target: &KnownTarget, rate: f64, now: Moment) -> bool {
        let bucket = self.buckets.entry(target.tag).or_insert(Bucket { at: now, tokens: 1.0 });
        let gained = now.saturating_sub(bucket.at).as_secs_f64() * rate * PART / SENDERS as f64;
        bucket.tokens = (bucket.tokens + gained).min(1.0);
        bucket.at = now;
        1.0 <= bucket.tokens
    }

    /// One was sent.
    pub fn take_token(&mut self, target: &KnownTarget) {
        if let Some(bucket) = self.buckets.get_mut(&target.tag) {
            bucket.tokens -= 1.0;
        }
    }

    /// Forgets targets that are no longer cold.
    pub fn remove_idle(&mut self, now: Moment) {
        self.buckets.retain(|_, bucket| now.saturating_sub(bucket.at) < Duration::from_secs(10));
    }
}

/// Whether `host` is one of the senders of a target.
pub fn is_cold_sender(target: &KnownTarget, host: &HostId, hosts: &[LiveHost]) -> bool {
    let weight = |name: &HostId| xxh3_64_with_seed(name.as_bytes(), u64::from(target.tag));
    let own = weight(host);
    let near = hosts.iter().any(|live| live.region == target.region);
    let rivals = hosts.iter().filter(|live| {
        live.host != *host && (!near || live.region == target.region) && own < weight(&live.host)
    });
    let here = hosts.iter().any(|live| live.host == *host && live.region == target.region);
    (!near || here) && rivals.count() < SENDERS
}
