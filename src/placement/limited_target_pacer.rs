//! Rate of this host's requests to targets that named a limit.
//!
//! The limit holds for all hosts together. Any share for each of a thousand hosts would round up
//! to one request a host, so that few hosts, selected by hash, send to a limited target at all. Callers
//! may ask those hosts for other services only. When no host has heard of the target for a while, the
//! others take turns to ask it for one request each, so that the end of a limit is noticed.

use std::collections::HashMap;

use super::{SENDERS_PER_TARGET, TargetTag};
use crate::prelude::*;

/// Fraction of the limit that the senders use together. In four seconds they must stay below 1.5 times
/// the limit and five requests more.
const LIMIT_FRACTION: f64 = 0.9;

/// The same while hosts may disagree about which hosts are live, so that twice as many send.
const SPLIT_LIMIT_FRACTION: f64 = 0.75;

/// Lowest rate of one sender, in requests per second. A target that gets nothing sends no response,
/// and so could never end its limit.
const MIN_SENDER_RATE: f64 = 0.05;

/// Shortest time after the last known response before the other hosts ask a target, so that reports
/// still on their way count.
const MIN_SILENCE: Duration = Duration::from_secs(3);

/// Shortest time for which it is the turn of one host.
const MIN_TURN: Duration = Duration::from_secs(1);

/// Requests per second that all hosts together send to a target with a limit.
pub fn paced_rate(limit: f64) -> f64 {
    limit * LIMIT_FRACTION
}

/// Mean time between two requests of any host to a target with a limit.
pub fn request_interval(limit: f64) -> Duration {
    Duration::from_secs_f64(1.0 / paced_rate(limit).max(MIN_SENDER_RATE))
}

/// What decides when a host may send to a limited target.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// When a response to any host last told the limit, as far as this host knows.
    pub confirmed_at: Moment,
    /// Number of live hosts.
    pub hosts: usize,
    /// Requests per second from all hosts together.
    pub limit: f64,
    /// Whether other hosts may take other hosts for live than this one does.
    pub may_be_split: bool,
    /// Rank of this host among those that may send; see `paced_rank`.
    pub rank: Option<usize>,
}

impl Pace {
    fn is_sender(&self) -> bool {
        self.rank.is_some_and(|rank| rank < SENDERS_PER_TARGET)
    }

    /// Requests per second of one sender.
    fn sender_rate(&self) -> f64 {
        let fraction = if self.may_be_split { SPLIT_LIMIT_FRACTION } else { LIMIT_FRACTION };
        (self.limit * fraction / SENDERS_PER_TARGET as f64).max(MIN_SENDER_RATE)
    }

    /// When the turn of this host to ask a silent target began; `None` if it is not its turn.
    fn turn_began_at(&self, now: Moment) -> Option<Moment> {
        let place = self.rank?.checked_sub(SENDERS_PER_TARGET)?;
        let interval = request_interval(self.limit);
        let turn = interval.max(MIN_TURN);
        let silent_at = self.confirmed_at + MIN_SILENCE.max(interval);
        let silent_for = now.checked_sub(silent_at)?;
        let number = silent_for.div_duration_f64(turn) as u32;
        let others = self.hosts.saturating_sub(1).max(1);
        (number as usize % others == place).then(|| silent_at + turn * number)
    }
}

/// Token buckets of one request, by target, and the turns that were used.
#[derive(Debug, Default)]
pub struct LimitedTargetPacer {
    buckets: HashMap<TargetTag, Bucket>,
    /// When this host last used its turn.
    used_turns: HashMap<TargetTag, Moment>,
}

#[derive(Debug)]
struct Bucket {
    refilled_at: Moment,
    tokens: f64,
}

impl LimitedTargetPacer {
    /// Whether this host may send the target a request now.
    pub fn may_send(&mut self, tag: TargetTag, pace: &Pace, now: Moment) -> bool {
        if pace.is_sender() {
            return self.has_token(tag, pace, now);
        }
        let used_at = self.used_turns.get(&tag);
        pace.turn_began_at(now).is_some_and(|began_at| used_at.is_none_or(|at| *at < began_at))
    }

    /// Charges a request that is sent now. False if this host may not send it.
    pub fn charge(&mut self, tag: TargetTag, pace: &Pace, now: Moment) -> bool {
        if !self.may_send(tag, pace, now) {
            return false;
        }
        if !pace.is_sender() {
            self.used_turns.insert(tag, now);
        } else if let Some(bucket) = self.buckets.get_mut(&tag) {
            bucket.tokens -= 1.0;
        }
        true
    }

    /// The bucket of a target that has just named its limit is empty: it got a request a moment ago.
    fn has_token(&mut self, tag: TargetTag, pace: &Pace, now: Moment) -> bool {
        let bucket = self.buckets.entry(tag).or_insert(Bucket { refilled_at: now, tokens: 0.0 });
        let elapsed = now.saturating_sub(bucket.refilled_at);
        bucket.tokens = (bucket.tokens + elapsed.as_secs_f64() * pace.sender_rate()).min(1.0);
        bucket.refilled_at = now;
        1.0 <= bucket.tokens
    }

    /// Forgets targets that have no limit any more.
    pub fn retain(&mut self, is_limited: impl Fn(TargetTag) -> bool) {
        self.buckets.retain(|tag, _| is_limited(*tag));
        self.used_turns.retain(|tag, _| is_limited(*tag));
    }
}
