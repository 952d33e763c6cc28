//! What targets state of themselves in their responses, and what other hosts report of it.
//!
//! Load pattern: an overloaded target limits the rate of requests from all hosts together, or
//! refuses a request and asks its host to pause; a target that shuts down announces it. The hosts that it
//! answers learn this first; the store and the other hosts know nothing. A response without a limit
//! ends the limit, but a host that sends the target nothing gets no response, so the end travels
//! between hosts like the limit.

use std::collections::HashMap;

use super::TargetTag;
use crate::prelude::*;

/// Longest time that a report takes from the host that got the response to any other host. A
/// report counts against a host's own knowledge only if it is newer even after such a delay.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(4);

/// How long the end of a limit is reported, and how long a target that is gone is remembered. Far
/// longer than a report takes, and than an entry is missing while the store is out of service.
const RETENTION: Duration = Duration::from_secs(60);

/// Age of the last response from which a host prefers a limited target for one request, to learn
/// whether the limit still holds.
const RECHECK_AGE: Duration = Duration::from_secs(2);

/// Most targets in the report of one host; a heartbeat fits in one packet.
const MAX_REPORTED: usize = 32;

/// Largest limit that is told apart from none, in requests per second.
const MAX_LIMIT: f64 = 1e6;

/// Limit of a target that names one that cannot be read, in requests per second.
const UNREADABLE_LIMIT: f64 = 1.0;

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

/// A limit as one response names it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NamedLimit {
    /// Requests per second from all hosts together.
    PerSecond(f64),
    /// The value is no decimal number.
    Unreadable,
}

/// What the responses of a target to this host stated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct TargetNotice {
    /// When the last response came that stated something or ended a limit.
    heard_at: Moment,
    /// Whether the target said that it leaves. Holds until it starts again, under another tag.
    is_leaving: bool,
    limit: Option<LimitNotice>,
    /// End of the rest. Stays until the target answers without asking for another one.
    rest_until: Option<Moment>,
}

/// What a response said of its target's limit, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LimitNotice {
    heard_at: Moment,
    /// Requests per second; `None` if the response named no limit.
    limit: Option<f64>,
    /// When the first of the responses came that said the same without interruption.
    since: Moment,
}

/// A host's newest knowledge of a target's limit, for other hosts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitReport {
    /// Time since the response that named or ended the limit, in milliseconds.
    pub age_ms: u32,
    /// Requests per second; `None` if the limit has ended.
    pub limit: Option<f32>,
}

impl LimitReport {
    /// The newer of two reports; of equally old ones the one with the lower limit.
    pub fn newest(self, other: Self) -> Self {
        let rank = |report: &Self| (report.age_ms, report.limit.unwrap_or(f32::MAX));
        if rank(&other) < rank(&self) { other } else { self }
    }
}

/// Change of a target's limit by one of its responses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The target takes this many requests per second from now on.
    Limited(f64),
    Ended,
}

/// Whether a limit allows more requests than another; `None` is no limit.
fn is_looser(limit: Option<f64>, than: Option<f64>) -> bool {
    than.is_some_and(|than| limit.is_none_or(|limit| than < limit))
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
    /// From responses to this host.
    own: HashMap<TargetTag, TargetNotice>,
    /// Limits that other hosts reported.
    reported: HashMap<TargetTag, LimitNotice>,
}

impl TargetNotices {
    /// Records the limit that a response names; `None` if it names none. `sent_at` is when the request
    /// was sent, if the response is the target's complete answer to it. Only such an answer raises or
    /// ends a limit, and only one that was heard of before.
    pub fn record_limit(
        &mut self,
        tag: TargetTag,
        named: Option<NamedLimit>,
        sent_at: Option<Moment>,
        now: Moment,
    ) -> Option<LimitChange> {
        let before = self.limit(tag);
        let limit = named.map(|named| match named {
            NamedLimit::PerSecond(limit) => limit.clamp(0.0, MAX_LIMIT),
            NamedLimit::Unreadable => before.unwrap_or(UNREADABLE_LIMIT),
        });
        let latest = self.latest_limit(tag);
        if limit.is_none() && latest.is_none() {
            return None;
        }
        let is_later = latest.is_some_and(|latest| sent_at.is_some_and(|at| latest.heard_at < at));
        if is_looser(limit, before) && !is_later {
            return None;
        }
        let since = latest.filter(|latest| latest.limit == limit).map_or(now, |it| it.since);
        let notice = self.own.entry(tag).or_default();
        notice.heard_at = now;
        notice.limit = Some(LimitNotice { heard_at: now, limit, since });
        match limit {
            Some(limit) => (before != Some(limit)).then_some(LimitChange::Limited(limit)),
            None => before.map(|_| LimitChange::Ended),
        }
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

    /// Replaces the reports of other hosts by those that arrived at `now`. Returns the limits that
    /// have changed.
    pub fn apply_reports(
        &mut self,
        reports: &HashMap<TargetTag, LimitReport>,
        now: Moment,
    ) -> Vec<(TargetTag, Option<f64>)> {
        let reported_only = reports.keys().filter(|tag| !self.reported.contains_key(tag));
        let tags = self.tags().chain(reported_only.copied());
        let before: BTreeMap<TargetTag, Option<f64>> =
            tags.map(|tag| (tag, self.limit(tag))).collect();
        let notice = |report: &LimitReport| {
            let age = Duration::from_millis(report.age_ms.into());
            let limit = report.limit.map(f64::from).filter(|limit| limit.is_finite());
            let heard_at = now.saturating_sub(age);
            let limit = limit.map(|limit| limit.clamp(0.0, MAX_LIMIT));
            LimitNotice { heard_at, limit, since: heard_at }
        };
        self.reported = reports.iter().map(|(tag, report)| (*tag, notice(report))).collect();
        for (tag, own) in &mut self.own {
            let Some(reported) = self.reported.get(tag) else { continue };
            own.limit =
                own.limit.filter(|own| reported.heard_at <= own.heard_at + MAX_REPORT_DELAY);
        }
        let after = before.into_iter().map(|(tag, limit)| (tag, limit, self.limit(tag)));
        let changes = after.filter(|(_, before, after)| before != after);
        changes.map(|(tag, _, limit)| (tag, limit)).collect()
    }

    /// Requests per second that a target takes from all hosts together; `None` if it has no limit.
    pub fn limit(&self, tag: TargetTag) -> Option<f64> {
        self.latest_limit(tag)?.limit
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
        let latest = self.latest_limit(tag).filter(|notice| notice.limit.is_some());
        latest.is_some_and(|it| RECHECK_AGE <= now.saturating_sub(it.heard_at))
    }

    /// All targets that something is known of.
    pub fn tags(&self) -> impl Iterator<Item = TargetTag> {
        let reported_only = self.reported.keys().filter(|tag| !self.own.contains_key(tag));
        self.own.keys().chain(reported_only).copied()
    }

    /// Whether nothing is known of any target.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty() && self.reported.is_empty()
    }

    /// Numbers of targets by what they stated.
    pub fn counts(&self, now: Moment) -> NoticeCounts {
        let is_resting = |tag: TargetTag| matches!(self.rest(tag, now), Some(Rest::For(_)));
        NoticeCounts {
            leaving: self.tags().filter(|tag| self.is_leaving(*tag)).count(),
            limited: self.tags().filter(|tag| self.limit(*tag).is_some()).count(),
            resting: self.tags().filter(|tag| is_resting(*tag)).count(),
        }
    }

    /// The reports for other hosts: what this host's own responses said, the newest first.
    pub fn reports(&self, now: Moment) -> Vec<(TargetTag, LimitReport)> {
        let own = self.own.iter().filter_map(|(tag, notice)| Some((*tag, notice.limit?)));
        let mut own: Vec<(TargetTag, LimitNotice)> = own.collect();
        own.sort_unstable_by_key(|(tag, notice)| (std::cmp::Reverse(notice.heard_at), *tag));
        let report = |(tag, notice): (TargetTag, LimitNotice)| {
            let age = now.saturating_sub(notice.heard_at).as_millis();
            let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
            (tag, LimitReport { age_ms, limit: notice.limit.map(|limit| limit as f32) })
        };
        own.into_iter().take(MAX_REPORTED).map(report).collect()
    }

    /// Forgets old notices of targets that are gone, and what ended long ago.
    pub fn retain(&mut self, is_known: impl Fn(TargetTag) -> bool, now: Moment) {
        self.own.retain(|tag, notice| {
            let has_ended_lately = |limit: &LimitNotice| {
                limit.limit.is_some() || now.saturating_sub(limit.since) < RETENTION
            };
            notice.limit = notice.limit.filter(has_ended_lately);
            let is_limited = notice.limit.is_some_and(|notice| notice.limit.is_some());
            let is_resting = notice.rest_until.is_some_and(|until| now < until + RETENTION);
            let is_recent = now.saturating_sub(notice.heard_at) < RETENTION;
            let is_remembered = is_recent && (notice.limit.is_some() || notice.is_leaving);
            is_remembered || is_resting || ((is_limited || notice.is_leaving) && is_known(*tag))
        });
    }

    fn latest_limit(&self, tag: TargetTag) -> Option<&LimitNotice> {
        let own = self.own.get(&tag).and_then(|notice| notice.limit.as_ref());
        own.or_else(|| self.reported.get(&tag))
    }
}
