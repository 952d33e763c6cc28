//! Health of one target, as observed by this host.

use super::{HealthSignal, LoadReport, SelectorOptions};
use crate::prelude::*;

/// Duration of the first ejection; doubles with each further one.
const EJECTION_BASE: Duration = Duration::from_secs(2);
const EJECTION_MAX: Duration = Duration::from_secs(60);
/// Consecutive failures that eject a target.
const FAILURES_TO_EJECT: u32 = 3;
/// An ejection this long after the last readmission counts as the first one again.
const EJECTION_RESET_AFTER: Duration = Duration::from_secs(120);
/// Latency assumed for a target that has not answered yet.
const DEFAULT_LATENCY_SECS: f64 = 0.05;
/// Time in which the mean latency halves while there are no new samples.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(10);
/// Weight of a new sample in the mean latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Maximum of the ramp limit; the target's slots bound it further.
const MAX_RAMP_LIMIT: u32 = 1 << 10;
/// Time in which the weight of a shed request halves.
const SHED_HALF_LIFE: Duration = Duration::from_secs(1);
/// Successes that raise the ramp limit by one.
const RAMP_SUCCESSES: u32 = 3;
/// After this long without requests a target counts as cold, that is, its caches are assumed to be
/// empty. In `crate::placement`, a cold target is instead one that started recently.
const COLD_AFTER: Duration = Duration::from_secs(300);
/// Age up to which a load report is fully trusted.
const REPORT_FRESH_FOR: Duration = Duration::from_secs(3);
/// Time, after `REPORT_FRESH_FOR`, over which trust in a report decays to `MIN_TRUST`.
const TRUST_DECAY_TIME: Duration = Duration::from_secs(30);
/// Trust in a target whose reports stopped long ago.
const MIN_TRUST: f64 = 0.5;

/// State of one target.
#[derive(Clone, Debug)]
pub(super) struct Health {
    /// Concurrency allowed by the ramp since the last cold start, not yet bounded by the slots.
    ramp_limit: u32,
    ejected_until: Option<Moment>,
    ejections: u32,
    failures: u32,
    in_flight: u32,
    /// The target ran more requests than its report has slots, without shedding: the report is
    /// wrong.
    report_disproved: bool,
    last_end: Moment,
    /// Mean latency in seconds; `None` before the first answer.
    latency: Option<f64>,
    /// Requests shed recently, as of `last_shed`; the count halves every second.
    recent_sheds: f64,
    last_shed: Moment,
    report: Option<(LoadReport, Moment)>,
    readmitted_at: Moment,
    /// Successes since `ramp_limit` last changed.
    successes: u32,
}

impl Health {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            ramp_limit: 1,
            ejected_until: None,
            ejections: 0,
            failures: 0,
            in_flight: 0,
            report_disproved: false,
            last_end: now,
            latency: None,
            recent_sheds: 0.0,
            last_shed: now,
            report: None,
            readmitted_at: now,
            successes: 0,
        }
    }

    pub(super) fn record_start(&mut self) {
        self.in_flight += 1;
    }

    /// Records the end of a request. Returns whether it ejects the target.
    pub(super) fn record_end(
        &mut self,
        signal: HealthSignal,
        latency: Duration,
        now: Moment,
    ) -> bool {
        if COLD_AFTER < now.saturating_sub(self.last_end) {
            self.reset_ramp();
        }
        let in_flight_before = self.in_flight;
        self.in_flight = in_flight_before.saturating_sub(1);
        let sample = latency.as_secs_f64();
        match signal {
            // It took at least this long. Without this sample, a slow target whose requests are
            // always cancelled for another target's faster answer would still be considered fast.
            HealthSignal::Cancelled => {
                if self.latency(now) < sample {
                    self.add_latency_sample(sample, now);
                    self.last_end = now;
                }
                false
            }
            HealthSignal::Failed => {
                // A late failure, such as a timeout, counts as slowness; an early one must not make
                // the target look fast.
                if self.latency(now) < sample {
                    self.add_latency_sample(sample, now);
                }
                self.last_end = now;
                self.record_failure(now)
            }
            HealthSignal::Shed => {
                // The target has shed under actual load: it can run fewer requests than it was
                // running.
                self.ramp_limit =
                    self.ramp_limit.min(in_flight_before.max(1)).saturating_sub(1).max(1);
                self.successes = 0;
                self.report_disproved = false;
                self.recent_sheds = self.recent_sheds(now) + 1.0;
                self.last_shed = now;
                self.last_end = now;
                false
            }
            HealthSignal::Succeeded => {
                self.add_latency_sample(sample, now);
                self.last_end = now;
                self.failures = 0;
                self.grow_ramp();
                self.report_disproved |=
                    self.report.is_some_and(|(report, _)| report.slots < in_flight_before);
                false
            }
        }
    }

    /// Ends the ejection if its time is over. Returns whether the target was readmitted.
    pub(super) fn try_readmit(&mut self, now: Moment) -> bool {
        if self.ejected_until.is_none_or(|until| now < until) {
            return false;
        }
        self.ejected_until = None;
        self.failures = FAILURES_TO_EJECT - 1; // the next failure ejects it again
        self.readmitted_at = now;
        self.reset_ramp();
        true
    }

    pub(super) fn ejected_until(&self) -> Option<Moment> {
        self.ejected_until
    }

    pub(super) fn is_ejected(&self, now: Moment) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Concurrency allowed now, from 1 to `slots`; 0 only while draining or without slots.
    pub(super) fn limit(&self, slots: u32, options: SelectorOptions, now: Moment) -> u32 {
        if self.is_draining() || slots == 0 {
            return 0;
        }
        let cold = COLD_AFTER < now.saturating_sub(self.last_end);
        let ramp_limit = if cold { 1 } else { self.ramp_limit };
        let ramp_limit = if options.ramp { ramp_limit } else { slots };
        ramp_limit.min(self.reported_limit(slots)).clamp(1, slots)
    }

    pub(super) fn is_draining(&self) -> bool {
        self.report.is_some_and(|(report, _)| report.draining)
    }

    pub(super) fn report(&mut self, report: LoadReport, now: Moment) {
        if self.is_draining() && !report.draining {
            self.reset_ramp();
        }
        let old = self.report.map(|(old, _)| old.slots);
        self.report_disproved &= old == Some(report.slots);
        self.report = Some((report, now));
    }

    /// Share of the target's slots that are in use, according to its last report; one half without
    /// a report.
    pub(super) fn reported_utilization(&self) -> f64 {
        let Some((report, _)) = self.report else { return 0.5 };
        f64::from(report.busy) / f64::from(report.slots.max(1))
    }

    /// Mean latency in seconds. It decays while there are no new samples, so that a target that was
    /// slow is eventually tried again; nothing else would show that it has recovered.
    pub(super) fn latency(&self, now: Moment) -> f64 {
        let Some(latency) = self.latency else { return DEFAULT_LATENCY_SECS };
        let age = now.saturating_sub(self.last_end).as_secs_f64();
        latency * 0.5_f64.powf(age / LATENCY_HALF_LIFE.as_secs_f64())
    }

    /// Number of requests shed recently, decayed. The load on another host's target is not known
    /// here; that it was full a moment ago is the best estimate.
    pub(super) fn recent_sheds(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.last_shed).as_secs_f64();
        self.recent_sheds * 0.5_f64.powf(age / SHED_HALF_LIFE.as_secs_f64())
    }

    /// Mean latency as last measured.
    pub(super) fn measured_latency(&self) -> Option<Duration> {
        self.latency.map(Duration::from_secs_f64)
    }

    /// Trust in the last report, from 1 (recent, or the target never sent one) down to `MIN_TRUST`
    /// (reports stopped long ago). It is a factor in comparisons between targets and cancels out
    /// when all reports stop, so lost reports alone do not divert traffic.
    pub(super) fn report_trust(&self, now: Moment) -> f64 {
        let Some((_, at)) = self.report else { return 1.0 };
        let outdated_for = now.saturating_sub(at).saturating_sub(REPORT_FRESH_FOR).as_secs_f64();
        1.0 - (1.0 - MIN_TRUST) * (outdated_for / TRUST_DECAY_TIME.as_secs_f64()).min(1.0)
    }

    /// The limit set by the last report. A report lowers the limit to half of the slots at most:
    /// otherwise a wrong report of almost no slots would take its target, or every target, out of
    /// use. The last report stays valid while none arrive, until the target runs more requests than
    /// it reported slots without shedding. 0 reported slots means that the number is not known.
    fn reported_limit(&self, slots: u32) -> u32 {
        match self.report {
            Some((report, _)) if report.slots != 0 && !self.report_disproved => {
                report.slots.max(slots.div_ceil(2))
            }
            _ => slots,
        }
    }

    fn record_failure(&mut self, now: Moment) -> bool {
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT || self.is_ejected(now) {
            return false;
        }
        if EJECTION_RESET_AFTER < now.saturating_sub(self.readmitted_at) {
            self.ejections = 0;
        }
        let backoff = EJECTION_BASE.saturating_mul(1 << self.ejections.min(10)).min(EJECTION_MAX);
        self.ejections += 1;
        self.ejected_until = Some(now + backoff);
        true
    }

    fn add_latency_sample(&mut self, sample: f64, now: Moment) {
        let mean = self.latency.map_or(sample, |_| self.latency(now));
        self.latency = Some(mean + LATENCY_WEIGHT * (sample - mean));
    }

    fn grow_ramp(&mut self) {
        self.successes += 1;
        if RAMP_SUCCESSES <= self.successes {
            self.successes = 0;
            self.ramp_limit = self.ramp_limit.saturating_add(1).min(MAX_RAMP_LIMIT);
        }
    }

    fn reset_ramp(&mut self) {
        self.ramp_limit = 1;
        self.successes = 0;
    }
}
