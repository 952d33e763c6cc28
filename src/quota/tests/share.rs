//! A separate token bucket per host, with a share of the team's limit.
//!
//! Delayed reports cannot cause the limit to be exceeded as long as the shares add up to it.
//! Capacity that a host does not use is unavailable to the others, which causes rejections for a
//! team whose few requests are spread over many hosts.

use std::collections::HashMap;

use super::super::{
    PeerState, Quota, TeamCounts, Verdict,
    bucket::report,
    retry_after,
    window::{CountWindow, rate},
};
use crate::{entry::TeamLimit, placement::NameTag, prelude::*};

/// How the limit is divided among hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShareBy {
    /// In proportion to the recent arrivals that each host reported.
    Demand,
    /// Evenly.
    Host,
}

/// Fraction of the limit that is divided evenly regardless of demand, so that a host without recent
/// requests can admit its first ones.
const EVEN_FRACTION: f64 = 0.2;

/// Minimum capacity of a host's bucket, in requests.
const MIN_CAPACITY: f64 = 1.0;

/// The buckets of one host.
#[derive(Debug)]
pub struct ShareBuckets {
    buckets: HashMap<NameTag, Bucket>,
    by: ShareBy,
    peers: PeerState,
}

#[derive(Debug)]
struct Bucket {
    level: f64,
    limit: TeamLimit,
    updated: Moment,
    window: CountWindow,
}

impl ShareBuckets {
    /// Creates the buckets of a host that starts.
    pub fn new(by: ShareBy) -> Self {
        let peers = PeerState { live_hosts: 1, known_hosts: 1, ..PeerState::default() };
        Self { buckets: HashMap::new(), by, peers }
    }
}

/// The fraction of the limit that this host may use.
fn share(by: ShareBy, peers: &PeerState, team: NameTag, own: f64) -> f64 {
    let even = 1.0 / peers.known_hosts.max(1) as f64;
    let peer_rate = rate(peers.counts.get(&team).copied().unwrap_or_default().0);
    match by {
        ShareBy::Demand if 0.0 < own + peer_rate => {
            EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * own / (own + peer_rate)
        }
        ShareBy::Demand | ShareBy::Host => even,
    }
}

impl Quota for ShareBuckets {
    fn set_limits(&mut self, limits: &BTreeMap<NameTag, TeamLimit>, now: Moment) {
        self.buckets.retain(|team, _| limits.contains_key(team));
        for (team, limit) in limits {
            let new = || Bucket {
                level: MIN_CAPACITY,
                limit: *limit,
                updated: now,
                window: CountWindow::default(),
            };
            self.buckets.entry(*team).or_insert_with(new).limit = *limit;
        }
    }

    fn admit(&mut self, team: NameTag, draw: f64, now: Moment) -> Verdict {
        let Some(bucket) = self.buckets.get_mut(&team) else { return Verdict::Admitted };
        bucket.window.record_arrival(now);
        let share = share(self.by, &self.peers, team, rate(bucket.window.counts(now).0));
        let refill = bucket.limit.rate * share;
        let elapsed = now.saturating_sub(bucket.updated).as_secs_f64();
        bucket.updated = bucket.updated.max(now);
        let capacity = (bucket.limit.burst * share).max(MIN_CAPACITY);
        bucket.level = (bucket.level + refill * elapsed).min(capacity);
        if bucket.level < 1.0 {
            return Verdict::Limited { retry_after: retry_after(bucket.level, refill, draw) };
        }
        bucket.level -= 1.0;
        bucket.window.record_admission(now);
        Verdict::Admitted
    }

    fn charge(&mut self, team: NameTag, now: Moment) {
        if let Some(bucket) = self.buckets.get_mut(&team) {
            bucket.level -= 1.0;
            bucket.window.record_admission(now);
        }
    }

    fn refund(&mut self, team: NameTag) {
        if let Some(bucket) = self.buckets.get_mut(&team) {
            bucket.level += 1.0;
            bucket.window.undo_admission();
        }
    }

    fn update_peers(&mut self, peers: &PeerState, _: Moment) {
        self.peers.clone_from(peers);
    }

    fn report(&self, now: Moment) -> Vec<(NameTag, TeamCounts)> {
        report(self.buckets.iter().map(|(team, bucket)| (*team, &bucket.window)), now)
    }
}
