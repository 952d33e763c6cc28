//! What is known of one target's condition.

use crate::prelude::*;

/// First time out after repeated failures; doubles with each further ejection.
const EJECT_BASE: Duration = Duration::from_secs(2);
/// Longest time out.
const EJECT_MAX: Duration = Duration::from_secs(60);
/// Failures in a row that eject a target.
const EJECT_FAILURES: u32 = 3;
/// A target that ran well for this long after a return is as good as new.
const FORGIVE: Duration = Duration::from_secs(120);
/// Latency assumed of a target that has not answered yet.
const LATENCY_GUESS: Duration = Duration::from_millis(50);
/// Share of a new sample in the mean latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Successes that earn one more concurrent request during a cold start.
const RAMP_SUCCESSES: u32 = 3;
/// A target without work for this long has cold caches again.
const COLD_AFTER: Duration = Duration::from_secs(300);
/// A report older than this says nothing about the present.
const REPORT_FRESH: Duration = Duration::from_secs(3);
/// Age of a report at which trust in its target has decayed to the floor.
const REPORT_GONE: Duration = Duration::from_secs(30);

/// How a dispatched request ended, as far as the target's condition goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Signal {
    /// No whole answer: connection lost, timeout, broken answer.
    Failed,
    /// The target refused it for want of capacity.
    Shed,
    /// A whole answer.
    Succeeded,
}

/// What a target's load endpoint said.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Slots in use.
    pub busy: u32,
    /// The target retires: no new work.
    pub draining: bool,
    /// Slots that it has in all.
    pub slots: u32,
}

/// State of one target.
#[derive(Clone, Debug)]
pub(super) struct Health {
    /// Concurrency earned since the cold start, before the slots bound it.
    earned: u32,
    ejected_until: Option<Moment>,
    ejections: u32,
    failures: u32,
    last_end: Moment,
    /// Mean latency in seconds; `None` before the first answer.
    latency: Option<f64>,
    report: Option<(LoadReport, Moment)>,
    returned_at: Moment,
    /// Successes since `earned` last moved.
    successes: u32,
}

impl Health {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            earned: 1,
            ejected_until: None,
            ejections: 0,
            failures: 0,
            last_end: now,
            latency: None,
            report: None,
            returned_at: now,
            successes: 0,
        }
    }

    /// Takes in the end of a request; true when the target is ejected by it.
    pub(super) fn ended(&mut self, signal: Signal, latency: Duration, now: Moment) -> bool {
        if COLD_AFTER < now.saturating_sub(self.last_end) {
            self.cool();
        }
        self.last_end = now;
        match signal {
            Signal::Failed => self.failed(now),
            Signal::Shed => {
                // The target's own word at the time of use: it holds fewer than we thought.
                self.earned = self.earned.saturating_sub(1).max(1);
                self.successes = 0;
                false
            }
            Signal::Succeeded => {
                self.succeeded(latency, now);
                false
            }
        }
    }

    /// Ends the time out when it is over; true when the target comes back by it.
    pub(super) fn try_return(&mut self, now: Moment) -> bool {
        if self.ejected_until.is_none_or(|until| now < until) {
            return false;
        }
        self.ejected_until = None;
        self.failures = EJECT_FAILURES - 1; // one more failure ejects it again
        self.returned_at = now;
        self.cool();
        true
    }

    pub(super) fn is_ejected(&self, now: Moment) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Concurrency allowed now, from 1 to `slots`; 0 only while draining.
    pub(super) fn limit(&self, slots: u32, now: Moment) -> u32 {
        if self.is_draining() || slots == 0 {
            return 0;
        }
        let cold = COLD_AFTER < now.saturating_sub(self.last_end);
        let earned = if cold { 1 } else { self.earned };
        earned.min(self.reported_limit(slots)).clamp(1, slots)
    }

    pub(super) fn is_draining(&self) -> bool {
        self.report.is_some_and(|(report, _)| report.draining)
    }

    pub(super) fn report(&mut self, report: LoadReport, now: Moment) {
        self.report = Some((report, now));
    }

    /// Busy share by the last report, as the target told it.
    pub(super) fn reported_share(&self) -> f64 {
        let Some((report, _)) = self.report else { return 0.5 };
        f64::from(report.busy) / f64::from(report.slots.max(1))
    }

    /// Mean latency in seconds.
    pub(super) fn latency(&self) -> f64 {
        self.latency.unwrap_or(LATENCY_GUESS.as_secs_f64())
    }

    /// From 1 (trusted) down to 0.5 (its reports stopped long ago). As a factor among targets it
    /// cancels out when all reports stop, so lost measurements alone never take traffic away.
    pub(super) fn trust(&self, now: Moment) -> f64 {
        let Some((_, at)) = self.report else { return 1.0 };
        let stale = now.saturating_sub(at).saturating_sub(REPORT_FRESH).as_secs_f64();
        1.0 - 0.5 * (stale / REPORT_GONE.as_secs_f64()).min(1.0)
    }

    /// A report may lower the limit to half of the slots and no further: a lying endpoint that
    /// claims to be full would otherwise take its target, or every target, out of use.
    fn reported_limit(&self, slots: u32) -> u32 {
        let Some((report, _)) = self.report else { return slots };
        report.slots.max(slots.div_ceil(2))
    }

    fn failed(&mut self, now: Moment) -> bool {
        self.failures += 1;
        if self.failures < EJECT_FAILURES || self.is_ejected(now) {
            return false;
        }
        if FORGIVE < now.saturating_sub(self.returned_at) {
            self.ejections = 0;
        }
        let backoff = EJECT_BASE.saturating_mul(1 << self.ejections.min(10)).min(EJECT_MAX);
        self.ejections += 1;
        self.ejected_until = Some(now + backoff);
        true
    }

    fn succeeded(&mut self, latency: Duration, _now: Moment) {
        self.failures = 0;
        let sample = latency.as_secs_f64();
        let mean = self.latency.unwrap_or(sample);
        self.latency = Some(mean + LATENCY_WEIGHT * (sample - mean));
        self.successes += 1;
        if RAMP_SUCCESSES <= self.successes {
            self.successes = 0;
            self.earned = self.earned.saturating_add(1).min(1 << 16);
        }
    }

    fn cool(&mut self) {
        self.earned = 1;
        self.successes = 0;
    }
}
