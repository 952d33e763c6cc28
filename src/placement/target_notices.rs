//! Limits that targets name in their responses, and what other hosts report of them.
//!
//! Load pattern: a target in need names how many requests a second it takes from all hosts
//! together. The hosts that it answers learn this first; the store and the other hosts know
//! nothing. A response without a limit ends it, but a host that sends the target nothing gets no
//! response, so the end travels between hosts like the limit.

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

/// A limit as one response names it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NamedLimit {
    /// Requests per second from all hosts together.
    PerSecond(f64),
    /// The value is no decimal number.
    Unreadable,
}

/// What a response said of its target's limit, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LimitNotice {
    heard_at: Moment,
    /// Requests per second; `None` if the response named no limit.
    limit: Option<f64>,
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

/// The limits of all targets that named one.
#[derive(Debug, Default)]
pub struct TargetNotices {
    /// From responses to this host.
    own: HashMap<TargetTag, LimitNotice>,
    /// From other hosts.
    reported: HashMap<TargetTag, LimitNotice>,
}

impl TargetNotices {
    /// Records the limit that a response names; `None` if it names none.
    pub fn record_limit(
        &mut self,
        tag: TargetTag,
        named: Option<NamedLimit>,
        now: Moment,
    ) -> Option<LimitChange> {
        let before = self.limit(tag);
        let limit = named.map(|named| match named {
            NamedLimit::PerSecond(limit) => limit.clamp(0.0, MAX_LIMIT),
            NamedLimit::Unreadable => before.unwrap_or(UNREADABLE_LIMIT),
        });
        if limit.is_none() && !self.own.contains_key(&tag) && !self.reported.contains_key(&tag) {
            return None;
        }
        self.own.insert(tag, LimitNotice { heard_at: now, limit });
        match limit {
            Some(limit) => (before != Some(limit)).then_some(LimitChange::Limited(limit)),
            None => before.map(|_| LimitChange::Ended),
        }
    }

    /// Replaces the reports of other hosts by those that arrived at `now`.
    pub fn apply_reports(&mut self, reports: &HashMap<TargetTag, LimitReport>, now: Moment) {
        let notice = |report: &LimitReport| {
            let age = Duration::from_millis(report.age_ms.into());
            let limit = report.limit.map(f64::from).filter(|limit| limit.is_finite());
            LimitNotice {
                heard_at: now.saturating_sub(age),
                limit: limit.map(|limit| limit.clamp(0.0, MAX_LIMIT)),
            }
        };
        self.reported = reports.iter().map(|(tag, report)| (*tag, notice(report))).collect();
        let reported = &self.reported;
        self.own.retain(|tag, own| {
            reported.get(tag).is_none_or(|it| it.heard_at <= own.heard_at + MAX_REPORT_DELAY)
        });
    }

    /// Requests per second that a target takes from all hosts together; `None` if it has no limit.
    pub fn limit(&self, tag: TargetTag) -> Option<f64> {
        self.latest(tag)?.limit
    }

    /// Whether the target should be asked again whether its limit still holds.
    pub fn is_recheck_due(&self, tag: TargetTag, now: Moment) -> bool {
        let latest = self.latest(tag).filter(|notice| notice.limit.is_some());
        latest.is_some_and(|it| RECHECK_AGE <= now.saturating_sub(it.heard_at))
    }

    /// All targets with a limit, in requests per second.
    pub fn limits(&self) -> impl Iterator<Item = (TargetTag, f64)> {
        let reported_only = self.reported.keys().filter(|tag| !self.own.contains_key(tag));
        let tags = self.own.keys().chain(reported_only);
        tags.filter_map(|tag| Some((*tag, self.limit(*tag)?)))
    }

    /// Whether no target has a limit or had one lately.
    pub fn is_empty(&self) -> bool {
        self.own.is_empty() && self.reported.is_empty()
    }

    /// The reports for other hosts: what this host's own responses said, the newest first.
    pub fn reports(&self, now: Moment) -> Vec<(TargetTag, LimitReport)> {
        let mut own: Vec<_> = self.own.iter().collect();
        own.sort_unstable_by_key(|(tag, notice)| (std::cmp::Reverse(notice.heard_at), **tag));
        let report = |(tag, notice): (&TargetTag, &LimitNotice)| {
            let age = now.saturating_sub(notice.heard_at).as_millis();
            let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
            (*tag, LimitReport { age_ms, limit: notice.limit.map(|limit| limit as f32) })
        };
        own.into_iter().take(MAX_REPORTED).map(report).collect()
    }

    /// Forgets old notices of targets that are gone, and limits that ended long ago.
    pub fn retain(&mut self, is_known: impl Fn(TargetTag) -> bool, now: Moment) {
        self.own.retain(|tag, notice| {
            let is_recent = now.saturating_sub(notice.heard_at) < RETENTION;
            is_recent || (notice.limit.is_some() && is_known(*tag))
        });
    }

    fn latest(&self, tag: TargetTag) -> Option<&LimitNotice> {
        self.own.get(&tag).or_else(|| self.reported.get(&tag))
    }
}
