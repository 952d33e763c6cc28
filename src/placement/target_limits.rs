//! Limits on the rate of requests from all hosts together, as targets state them in their responses.
//!
//! Load pattern: an overloaded target names a limit in its responses. The hosts that it answers learn
//! this first; the store and the other hosts know nothing. A response without a limit ends the limit,
//! but a host that sends the target nothing gets no response, so the end travels between hosts like the
//! limit. Hosts that report it are lost, frozen or cut off meanwhile, and messages are late.
//!
//! Hosts number what a target states: one that is told another limit than it knows gives it the next
//! number. Of two statements that with the higher number is the later one, whatever the age of the
//! message that brings it. A statement holds until a later one replaces it; silence ends nothing.

use std::{cmp::Reverse, collections::HashMap};

use super::TargetTag;
use crate::prelude::*;

/// Time after the target's last response with a limit to this host in which reports do not loosen
/// it. Longer than a report takes from any host to any other.
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
const MAX_LIMIT: f32 = 1e6;

/// Limit of a target that names one that cannot be read, in requests per second.
const UNREADABLE_LIMIT: f32 = 1.0;

/// A limit as one response names it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NamedLimit {
    /// Requests per second from all hosts together.
    PerSecond(f64),
    /// The value is no decimal number.
    Unreadable,
}

/// A host's knowledge of a target's limit, for other hosts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitReport {
    /// Time since the host's last response that said so, in milliseconds.
    pub age_ms: u32,
    /// Requests per second; `None` if the limit has ended.
    pub limit: Option<f32>,
    /// Number of the statement. A later one of the same target has a higher number.
    pub number: u32,
}

impl LimitReport {
    /// The later of two reports; of those with the same number the one with the lower limit.
    pub fn latest(self, other: Self) -> Self {
        let rank = |report: &Self| {
            (Reverse(report.number), report.limit.unwrap_or(f32::MAX), report.age_ms)
        };
        if rank(&other) < rank(&self) { other } else { self }
    }
}

/// Change of what is known of a target's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The target takes this many requests per second from now on.
    Limited(f32),
    Ended,
}

impl LimitChange {
    fn between(before: Option<f32>, after: Option<f32>) -> Option<Self> {
        if before == after {
            return None;
        }
        Some(after.map_or(Self::Ended, Self::Limited))
    }
}

/// The last statement of a target that is known.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LimitStatement {
    /// When a response to this host last said so; `None` if only other hosts report it.
    answered_at: Option<Moment>,
    /// When a response to any host last said so, as far as this host knows.
    confirmed_at: Moment,
    /// Requests per second; `None` if the limit has ended. As precise as in reports, so that the same
    /// limit is equal wherever it was heard.
    limit: Option<f32>,
    number: u32,
    /// When this host learned of it.
    since: Moment,
}

impl LimitStatement {
    /// When this host last heard of it, by reports only if they were the first to tell it.
    fn heard_at(&self) -> Moment {
        self.answered_at.unwrap_or(self.since)
    }

    /// Whether a response named this limit so lately that a report without it may be older.
    fn is_fresh(&self, now: Moment) -> bool {
        let is_fresh = |at: Moment| now.saturating_sub(at) < MAX_REPORT_DELAY;
        self.limit.is_some() && self.answered_at.is_some_and(is_fresh)
    }
}

/// What is known of the limits of all targets that named one.
#[derive(Debug, Default)]
pub struct TargetLimits {
    statements: HashMap<TargetTag, LimitStatement>,
}

impl TargetLimits {
    /// Records the limit that a response names; `None` if it names none. `sent_at` is when the request
    /// was sent, if the response is the target's complete answer to it. Only such an answer raises or
    /// ends a limit, and only one that was heard of before.
    pub fn record(
        &mut self,
        tag: TargetTag,
        named: Option<NamedLimit>,
        sent_at: Option<Moment>,
        now: Moment,
    ) -> Option<LimitChange> {
        let known = self.statements.get(&tag).copied();
        let before = known.and_then(|known| known.limit);
        let limit = named.map(|named| match named {
            NamedLimit::PerSecond(limit) => clamped(limit as f32),
            NamedLimit::Unreadable => before.unwrap_or(UNREADABLE_LIMIT),
        });
        if limit.is_none() && (known.is_none() || sent_at.is_none()) {
            return None;
        }
        let is_later = known.is_some_and(|known| sent_at.is_some_and(|at| known.heard_at() < at));
        if is_looser(limit, before) && !is_later {
            return None;
        }
        let (number, since) = match known {
            Some(known) if known.limit == limit => (known.number, known.since),
            Some(known) => (known.number.saturating_add(1), now),
            None => (1, now),
        };
        let answered_at = Some(now);
        let statement = LimitStatement { answered_at, confirmed_at: now, limit, number, since };
        self.statements.insert(tag, statement);
        LimitChange::between(before, limit)
    }

    /// Applies what other hosts report. Returns the limits that have changed.
    pub fn apply_reports(
        &mut self,
        reports: &HashMap<TargetTag, LimitReport>,
        now: Moment,
    ) -> Vec<(TargetTag, LimitChange)> {
        let is_readable = |report: &LimitReport| report.limit.is_none_or(f32::is_finite);
        let reports = reports.iter().filter(|(_, report)| is_readable(report));
        let changes = reports.filter_map(|(tag, report)| {
            let change = self.apply_report(*tag, report, now)?;
            Some((*tag, change))
        });
        changes.collect()
    }

    fn apply_report(
        &mut self,
        tag: TargetTag,
        report: &LimitReport,
        now: Moment,
    ) -> Option<LimitChange> {
        let limit = report.limit.map(clamped);
        let number = report.number;
        let confirmed_at = now.saturating_sub(Duration::from_millis(report.age_ms.into()));
        let reported =
            LimitStatement { answered_at: None, confirmed_at, limit, number, since: now };
        let Some(known) = self.statements.get_mut(&tag) else {
            self.statements.insert(tag, reported);
            return LimitChange::between(None, limit);
        };
        let before = known.limit;
        if known.number < number && known.is_fresh(now) && is_looser(limit, before) {
            // The report may be older than the response: the limit is stated anew.
            known.number = number.saturating_add(1);
        } else if known.number < number || (known.number == number && is_looser(known.limit, limit))
        {
            *known = reported;
        } else if known.number == number && known.limit == limit {
            known.confirmed_at = known.confirmed_at.max(confirmed_at);
        }
        LimitChange::between(before, known.limit)
    }

    /// Requests per second that a target takes from all hosts together; `None` if it has no limit.
    pub fn get(&self, tag: TargetTag) -> Option<f64> {
        self.statements.get(&tag)?.limit.map(f64::from)
    }

    /// When a response to any host last told the limit of a target, as far as this host knows.
    pub fn confirmed_at(&self, tag: TargetTag) -> Option<Moment> {
        Some(self.statements.get(&tag)?.confirmed_at)
    }

    /// Whether the target should be asked again whether its limit still holds.
    pub fn is_recheck_due(&self, tag: TargetTag, now: Moment) -> bool {
        let limited = self.statements.get(&tag).filter(|it| it.limit.is_some());
        limited.is_some_and(|it| RECHECK_AGE <= now.saturating_sub(it.confirmed_at))
    }

    /// All targets with a limit.
    pub fn tags(&self) -> impl Iterator<Item = TargetTag> {
        self.statements.iter().filter(|(_, it)| it.limit.is_some()).map(|(tag, _)| *tag)
    }

    /// Whether no target has ever named a limit.
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// The reports for other hosts: what the responses to this host said, the latest changes first.
    /// Leaves out limits that other hosts confirm.
    pub fn reports(&self, now: Moment) -> Vec<(TargetTag, LimitReport)> {
        let is_news = |statement: &LimitStatement, answered_at: Moment| match statement.limit {
            Some(_) => statement.confirmed_at <= answered_at + MAX_REPORT_DELAY,
            None => now.saturating_sub(statement.since) < RETENTION,
        };
        let news = self.statements.iter().filter_map(|(tag, statement)| {
            let answered_at = statement.answered_at.filter(|at| is_news(statement, *at))?;
            Some((*tag, *statement, answered_at))
        });
        let mut news: Vec<(TargetTag, LimitStatement, Moment)> = news.collect();
        news.sort_unstable_by_key(|(tag, statement, _)| (Reverse(statement.since), *tag));
        let report = |(tag, statement, answered_at): (TargetTag, LimitStatement, Moment)| {
            let age = now.saturating_sub(answered_at).as_millis();
            let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
            (tag, LimitReport { age_ms, limit: statement.limit, number: statement.number })
        };
        news.into_iter().take(MAX_REPORTED).map(report).collect()
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, is_known: impl Fn(TargetTag) -> bool, now: Moment) {
        self.statements.retain(|tag, statement| {
            is_known(*tag) || now.saturating_sub(statement.heard_at()) < RETENTION
        });
    }
}

/// Whether a limit allows more requests than another; `None` is no limit.
fn is_looser(limit: Option<f32>, than: Option<f32>) -> bool {
    than.is_some_and(|than| limit.is_none_or(|limit| than < limit))
}

fn clamped(limit: f32) -> f32 {
    limit.clamp(0.0, MAX_LIMIT)
}
