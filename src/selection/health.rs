//! What is known of one target's condition.

use super::{HealthSignal, LoadReport, SelectorOptions};
use crate::prelude::*;

/// First time out after repeated failures; doubles with each further ejection.
const EJECT_BASE: Duration = Duration::from_secs(2);
/// Longest time out.
const EJECT_MAX: Duration = Duration::from_secs(60);
/// Failures in a row that eject a target.
const EJECT_FAILURES: u32 = 3;
/// A target that ran well for this long after a return is as good as new.
const FORGIVE: Duration = Duration::from_secs(120);
/// Latency assumed of a target that has not answered yet, in seconds.
const LATENCY_GUESS: f64 = 0.05;
/// Time in which a mean latency that gets no new samples halves.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(10);
/// Share of a new sample in the mean latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Most concurrency that successes earn; the slots bound it further.
const EARNED_MAX: u32 = 1 << 10;
/// Time in which what a refusal says halves.
const REFUSAL_HALF_LIFE: Duration = Duration::from_secs(1);
/// Successes that earn one more concurrent request during a cold start.
const RAMP_SUCCESSES: u32 = 3;
/// A target without work for this long has cold caches again.
const COLD_AFTER: Duration = Duration::from_secs(300);
/// A report older than this says nothing about the present.
const REPORT_FRESH: Duration = Duration::from_secs(3);
/// Time after which trust in a target without reports has decayed to the floor.
const REPORT_GONE: Duration = Duration::from_secs(30);
/// Trust in a target whose reports stopped long ago.
const TRUST_FLOOR: f64 = 0.5;

/// State of one target.
#[derive(Clone, Debug)]
pub(super) struct Health {
    /// Concurrency earned since the cold start, before the slots bound it.
    earned: u32,
    ejected_until: Option<Moment>,
    ejections: u32,
    failures: u32,
    in_flight: u32,
    /// It ran more than the slots of its report without shedding: the report is wrong.
    contradicted: bool,
    last_end: Moment,
    /// Mean latency in seconds; `None` before the first answer.
    latency: Option<f64>,
    /// Recent refusals for want of a slot, as of `refused_at`; they halve every second.
    refusals: f64,
    refused_at: Moment,
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
            in_flight: 0,
            contradicted: false,
            last_end: now,
            latency: None,
            refusals: 0.0,
            refused_at: now,
            report: None,
            returned_at: now,
            successes: 0,
        }
    }

    pub(super) fn started(&mut self) {
        self.in_flight += 1;
    }

    /// Takes in the end of a request; true when the target is ejected by it.
    pub(super) fn ended(&mut self, signal: HealthSignal, latency: Duration, now: Moment) -> bool {
        if COLD_AFTER < now.saturating_sub(self.last_end) {
            self.cool();
        }
        let running = self.in_flight;
        self.in_flight = running.saturating_sub(1);
        let sample = latency.as_secs_f64();
        match signal {
            // It took at least this long. Left out, a slow target whose requests are always given
            // up for a faster one's answer would go on being taken for a fast one.
            HealthSignal::Cancelled => {
                if self.latency(now) < sample {
                    self.sample(sample, now);
                    self.last_end = now;
                }
                false
            }
            HealthSignal::Failed => {
                // A late failure (a timeout) is slowness; a fast one must not look like speed.
                if self.latency(now) < sample {
                    self.sample(sample, now);
                }
                self.last_end = now;
                self.failed(now)
            }
            HealthSignal::Shed => {
                // The target's word at the time of use: it holds fewer than ran.
                self.earned = self.earned.min(running.max(1)).saturating_sub(1).max(1);
                self.successes = 0;
                self.contradicted = false;
                self.refusals = self.refusals(now) + 1.0;
                self.refused_at = now;
                self.last_end = now;
                false
            }
            HealthSignal::Succeeded => {
                self.sample(sample, now);
                self.last_end = now;
                self.failures = 0;
                self.earn();
                self.contradicted |= self.report.is_some_and(|(report, _)| report.slots < running);
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

    pub(super) fn ejected_until(&self) -> Option<Moment> {
        self.ejected_until
    }

    pub(super) fn is_ejected(&self, now: Moment) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Concurrency allowed now, from 1 to `slots`; 0 only while draining.
    pub(super) fn limit(&self, slots: u32, rules: SelectorOptions, now: Moment) -> u32 {
        if self.is_draining() || slots == 0 {
            return 0;
        }
        let cold = COLD_AFTER < now.saturating_sub(self.last_end);
        let earned = if cold { 1 } else { self.earned };
        let earned = if rules.ramp { earned } else { slots };
        earned.min(self.reported_limit(slots)).clamp(1, slots)
    }

    pub(super) fn is_draining(&self) -> bool {
        self.report.is_some_and(|(report, _)| report.draining)
    }

    pub(super) fn report(&mut self, report: LoadReport, now: Moment) {
        if self.is_draining() && !report.draining {
            self.cool();
        }
        let old = self.report.map(|(old, _)| old.slots);
        self.contradicted &= old == Some(report.slots);
        self.report = Some((report, now));
    }

    /// Busy share by the last report, as the target told it.
    pub(super) fn reported_share(&self) -> f64 {
        let Some((report, _)) = self.report else { return 0.5 };
        f64::from(report.busy) / f64::from(report.slots.max(1))
    }

    /// Mean latency in seconds. Without samples it decays, so that a target that was slow once is
    /// tried again: nothing else would ever tell that it has recovered.
    pub(super) fn latency(&self, now: Moment) -> f64 {
        let Some(latency) = self.latency else { return LATENCY_GUESS };
        let age = now.saturating_sub(self.last_end).as_secs_f64();
        latency * 0.5_f64.powf(age / LATENCY_HALF_LIFE.as_secs_f64())
    }

    /// Recent refusals for want of a slot. What another host's target has running is unknown
    /// here; that it was full a moment ago is the best guess.
    pub(super) fn refusals(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.refused_at).as_secs_f64();
        self.refusals * 0.5_f64.powf(age / REFUSAL_HALF_LIFE.as_secs_f64())
    }

    /// Mean latency as last measured.
    pub(super) fn measured_latency(&self) -> Option<Duration> {
        self.latency.map(Duration::from_secs_f64)
    }

    /// From 1 (trusted) down to the floor (its reports stopped long ago). As a factor among targets
    /// it cancels out when all reports stop, so lost measurements alone never take traffic away.
    pub(super) fn trust(&self, now: Moment) -> f64 {
        let Some((_, at)) = self.report else { return 1.0 };
        let stale = now.saturating_sub(at).saturating_sub(REPORT_FRESH).as_secs_f64();
        1.0 - (1.0 - TRUST_FLOOR) * (stale / REPORT_GONE.as_secs_f64()).min(1.0)
    }

    /// A report may lower the limit to half of the slots and no further: a lying endpoint that
    /// claims to have next to none would otherwise take its target, or every target, out of use.
    /// The last word stands while reports are missing, until the target itself runs more than it
    /// says without shedding; 0 slots means that it does not say.
    fn reported_limit(&self, slots: u32) -> u32 {
        match self.report {
            Some((report, _)) if report.slots != 0 && !self.contradicted => {
                report.slots.max(slots.div_ceil(2))
            }
            _ => slots,
        }
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

    fn sample(&mut self, sample: f64, now: Moment) {
        let mean = self.latency.map_or(sample, |_| self.latency(now));
        self.latency = Some(mean + LATENCY_WEIGHT * (sample - mean));
    }

    fn earn(&mut self) {
        self.successes += 1;
        if RAMP_SUCCESSES <= self.successes {
            self.successes = 0;
            self.earned = self.earned.saturating_add(1).min(EARNED_MAX);
        }
    }

    fn cool(&mut self) {
        self.earned = 1;
        self.successes = 0;
    }
}
