//! What targets state of themselves in their responses.
//!
//! Load pattern: an overloaded target limits the rate of requests from all hosts together, or
//! refuses a request and asks its host to pause; a target that shuts down announces it. The hosts that it
//! answers learn this first; the store and the other hosts know nothing.

use std::collections::HashMap;

use super::{LimitChange, LimitReport, NamedLimit, TargetLimits, TargetTag};
use crate::prelude::*;

/// How long a target that is gone is remembered. Far longer than an entry is missing while the store is
/// out of service.
const RETENTION: Duration = Duration::from_secs(60);

/// Longest rest that a target gets. A longer one is taken for an error, and the target asked again.
const MAX_REST: Duration = Duration::from_secs(3_600);

/// What one response states of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetStatement {
    /// The target is shutting down and takes no new requests.
    pub is_leaving: bool,
    /// The limit for requests of all hosts together.
    pub limit: Option<NamedLimit>,
    /// Time during which this host must not send to the target.
    pub rest: Option<Duration>,
}

/// What the responses of a target to this host stated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct TargetNotice {
    /// When the last response came that stated something.
    heard_at: Moment,
    /// Whether the target said that it leaves. Holds until it starts again, under another tag.
    is_leaving: bool,
    /// End of the rest. Stays until the target answers without asking for another one.
    rest_until: Option<Moment>,
}

/// A target's rest, by what it said to this host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rest {
    /// The target takes no requests of this host for this long.
    For(Duration),
    /// The rest is over, and the target has not answered since.
    Unconfirmed,
}

/// Numbers of targets that stated something that still holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct NoticeCounts {
    pub leaving: usize,
    pub limited: usize,
    pub resting: usize,
}

/// What is known of all targets that stated something.
#[derive(Debug, Default)]
pub struct TargetNotices {
    limits: TargetLimits,
    /// What they said of rests and leaving.
    own: HashMap<TargetTag, TargetNotice>,
}

impl TargetNotices {
    /// Records the limit that a response names; see `TargetLimits::record`.
    pub fn record_limit(
        &mut self,
        tag: TargetTag,
        named: Option<NamedLimit>,
        sent_at: Option<Moment>,
        now: Moment,
    ) -> Option<LimitChange> {
        self.limits.record(tag, named, sent_at, now)
    }

    /// Records the rest that a response asks for. A rest that has begun lasts until its end. Returns
    /// the time until then if the rest is new or longer than before.
    pub fn record_rest(&mut self, tag: TargetTag, rest: Duration, now: Moment) -> Option<Duration> {
        if rest.is_zero() {
            return None;
        }
        let rest = rest.min(MAX_REST);
        let notice = self.own.entry(tag).or_default();
        notice.heard_at = now;
        if notice.rest_until.is_some_and(|until| now + rest <= until) {
            return None;
        }
        notice.rest_until = Some(now + rest);
        Some(rest)
    }

    /// Records that the target answered a request that was sent at `sent_at`, and asked for no rest.
    pub fn confirm_rested(&mut self, tag: TargetTag, sent_at: Moment) {
        if let Some(notice) = self.own.get_mut(&tag) {
            notice.rest_until = notice.rest_until.filter(|until| sent_at < *until);
        }
    }

    /// Records that a response says that its target leaves. Returns whether that is new.
    pub fn record_leaving(&mut self, tag: TargetTag, now: Moment) -> bool {
        let notice = self.own.entry(tag).or_default();
        notice.heard_at = now;
        !std::mem::replace(&mut notice.is_leaving, true)
    }

    /// Applies the limits that other hosts report. Returns those that have changed.
    pub fn apply_reports(
        &mut self,
        reports: &HashMap<TargetTag, LimitReport>,
        now: Moment,
    ) -> Vec<(TargetTag, LimitChange)> {
        self.limits.apply_reports(reports, now)
    }

    /// Requests per second that a target takes from all hosts together; `None` if it has no limit.
    pub fn limit(&self, tag: TargetTag) -> Option<f64> {
        self.limits.get(tag)
    }

    /// When a response to any host last told the limit of a target, as far as this host knows.
    pub fn limit_confirmed_at(&self, tag: TargetTag) -> Option<Moment> {
        self.limits.confirmed_at(tag)
    }

    /// All targets with a limit.
    pub fn limited_tags(&self) -> impl Iterator<Item = TargetTag> {
        self.limits.tags()
    }

    /// The target's rest; `None` if it takes requests of this host.
    pub fn rest(&self, tag: TargetTag, now: Moment) -> Option<Rest> {
        let until = self.own.get(&tag)?.rest_until?;
        Some(if now < until { Rest::For(until - now) } else { Rest::Unconfirmed })
    }

    /// Whether the target said that it leaves.
    pub fn is_leaving(&self, tag: TargetTag) -> bool {
        self.own.get(&tag).is_some_and(|notice| notice.is_leaving)
    }

    /// Whether the target should be asked again whether its limit still holds.
    pub fn is_recheck_due(&self, tag: TargetTag, now: Moment) -> bool {
        self.limits.is_recheck_due(tag, now)
    }

    /// All targets with a limit, and those that rest or leave.
    pub fn tags(&self) -> impl Iterator<Item = TargetTag> {
        let limited_only = self.limits.tags().filter(|tag| !self.own.contains_key(tag));
        self.own.keys().copied().chain(limited_only)
    }

    /// Whether no target has stated anything.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty() && self.limits.is_empty()
    }

    /// Numbers of targets by what they stated.
    pub fn counts(&self, now: Moment) -> NoticeCounts {
        let is_resting = |tag: TargetTag| matches!(self.rest(tag, now), Some(Rest::For(_)));
        NoticeCounts {
            leaving: self.tags().filter(|tag| self.is_leaving(*tag)).count(),
            limited: self.limits.tags().count(),
            resting: self.tags().filter(|tag| is_resting(*tag)).count(),
        }
    }

    /// The limits that this host reports to others; see `TargetLimits::reports`.
    pub fn reports(&self, now: Moment) -> Vec<(TargetTag, LimitReport)> {
        self.limits.reports(now)
    }

    /// Forgets old notices of targets that are gone.
    pub fn retain(&mut self, is_known: impl Fn(TargetTag) -> bool, now: Moment) {
        self.own.retain(|tag, notice| {
            let is_resting = notice.rest_until.is_some_and(|until| now < until + RETENTION);
            let is_recent = now.saturating_sub(notice.heard_at) < RETENTION;
            is_resting || (notice.is_leaving && (is_recent || is_known(*tag)))
        });
        self.limits.retain(is_known, now);
    }
}
