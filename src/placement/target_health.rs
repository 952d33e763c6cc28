//! Health of one target, as a host observes it through its own requests.

use super::SlowdownReport;
use crate::prelude::*;

/// First pause after consecutive failures; doubles with each further pause up to `MAX_PAUSE`.
const MIN_PAUSE: Duration = Duration::from_millis(500);
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Consecutive failures that pause a target. A single one can be chance, such as a lost answer.
const FAILURES_BEFORE_PAUSE: u32 = 2;

/// Time for which this host sends nothing more to a target that refused a request as full.
const FULL_PAUSE: Duration = Duration::from_millis(80);

/// Weight of the newest sample in an exponential mean; the last five samples carry two thirds.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Half-life with which unused means decay to normal, so that a target that was slow or failing is
/// tried again.
const HALF_LIFE_SECS: f64 = 3.0;

/// Resolution of timers, in seconds: shorter expected times are rounded up to it.
const MIN_EXPECTED_SECS: f64 = 0.001;

/// Cap on the ratio of actual to expected time of one answer.
const MAX_RATIO: f64 = 10.0;

/// Age at which the recorded runs of a target are discarded.
const MAX_RUN_AGE: Duration = Duration::from_millis(1_500);

/// What the end of an attempt says about the health of its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthSignal {
    /// A complete answer, after this time.
    Answered(Duration),
    /// The head of an answer, after this time. Whether its body ends is open.
    Began(Duration),
    /// The target reported a failure, or its answer was broken or lost.
    Failed,
    /// The target refused the request because it had no free capacity.
    Full,
    /// The target could not be reached at its address.
    Unreachable,
    /// The attempt was cancelled after this time. It counts only if that exceeds the expected time.
    Cancelled(Duration),
}

impl HealthSignal {
    /// Time until the target answered, if it did.
    pub fn answer_time(self) -> Option<Duration> {
        match self {
            HealthSignal::Answered(took) | HealthSignal::Began(took) => Some(took),
            _ => None,
        }
    }
}

/// Change of a target's health caused by the end of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthChange {
    /// The target receives no requests for `pause`, after `failures` consecutive failures.
    Paused { failures: u32, pause: Duration },
    /// The target answered again after a pause.
    Recovered,
}

/// Health of one target.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    consecutive_failures: u32,
    /// Exponential mean of failed attempts: 0 if none failed recently, 1 if all did.
    failure_rate: f64,
    full_until: Moment,
    /// Requests of this host in flight.
    pub in_flight: u32,
    paused_until: Moment,
    consecutive_pauses: u32,
    /// The latest runs, discarded when `MAX_RUN_AGE` passes without a new one.
    runs: SlowdownReport,
    last_run_at: Moment,
    /// Exponential mean of answer times as multiples of the expected time.
    time_ratio: Option<f64>,
    updated_at: Moment,
}

impl TargetHealth {
    /// Records the end of an attempt; `expected` is the usual time of an answer from this target.
    pub fn record_attempt(
        &mut self,
        signal: HealthSignal,
        expected: Duration,
        now: Moment,
    ) -> Option<HealthChange> {
        match signal {
            HealthSignal::Answered(took) => {
                self.record_ratio(time_ratio(took, expected), now);
                return self.record_complete(now);
            }
            HealthSignal::Began(took) => self.record_ratio(time_ratio(took, expected), now),
            HealthSignal::Cancelled(took) if expected < took => {
                self.record_ratio(time_ratio(took, expected), now)
            }
            HealthSignal::Cancelled(_) => {}
            HealthSignal::Full => self.full_until = now + FULL_PAUSE,
            HealthSignal::Failed => return self.record_failures(1, now),
            HealthSignal::Unreachable => return self.record_failures(FAILURES_BEFORE_PAUSE, now),
        }
        None
    }

    /// Records that an answer was received completely.
    pub fn record_complete(&mut self, now: Moment) -> Option<HealthChange> {
        let was_paused = 0 < self.consecutive_pauses;
        self.consecutive_failures = 0;
        self.consecutive_pauses = 0;
        self.paused_until = Moment::ZERO;
        self.record_failure_sample(0.0, now);
        was_paused.then_some(HealthChange::Recovered)
    }

    /// Forgets failures and pauses that this host caused itself.
    pub fn forget_failures(&mut self) {
        self.consecutive_failures = 0;
        self.consecutive_pauses = 0;
        self.failure_rate = 0.0;
        self.paused_until = Moment::ZERO;
    }

    /// Factor by which slowness and failures prolong answers of this target.
    pub fn slowdown(&self, now: Moment) -> f64 {
        let decay = self.decay_factor(now);
        let slowness = 1.0 + (self.time_ratio.unwrap_or(1.0).max(1.0) - 1.0) * decay;
        let failure_rate = (self.failure_rate * decay).min(0.9);
        slowness / ((1.0 - failure_rate) * (1.0 - failure_rate))
    }

    /// The same, including the recent reports of other hosts: in a large fleet, one host sends too
    /// few requests to a target to detect by itself that it has become slow.
    pub fn slowdown_with_report(&self, reported: Option<SlowdownReport>, now: Moment) -> f64 {
        let own = self.slowdown(now);
        match reported {
            Some(reported) => own.max(reported.merge(self.recent_runs(now)).slowdown()),
            None => own,
        }
    }

    /// The report for other hosts: the recent runs if they were slow or, when others reported the
    /// target as slow, at whatever speed they were.
    pub fn report(&self, reported: Option<SlowdownReport>, now: Moment) -> Option<SlowdownReport> {
        let runs = self.recent_runs(now);
        (runs.is_slow() || (runs.has_runs() && reported.is_some())).then_some(runs)
    }

    /// Records the time of a run that found a free slot. Callers leave out queued runs: with queues
    /// everywhere, all targets would look slow.
    pub fn record_run(&mut self, took: Duration, expected: Duration, now: Moment) {
        let ratio = time_ratio(took, expected);
        self.runs = self.recent_runs(now).merge(SlowdownReport::single(ratio));
        self.last_run_at = now;
    }

    fn recent_runs(&self, now: Moment) -> SlowdownReport {
        if now.saturating_sub(self.last_run_at) < MAX_RUN_AGE {
            self.runs
        } else {
            SlowdownReport::default()
        }
    }

    /// Whether the target receives no requests for now.
    pub fn is_paused(&self, now: Moment) -> bool {
        now < self.paused_until
    }

    /// Whether the pause is over but the target has not answered yet; until then it receives one
    /// request at a time.
    pub fn is_half_open(&self, now: Moment) -> bool {
        FAILURES_BEFORE_PAUSE <= self.consecutive_failures && !self.is_paused(now)
    }

    /// Whether the target refused a request as full within `FULL_PAUSE`.
    pub fn is_full(&self, now: Moment) -> bool {
        now < self.full_until
    }

    fn record_failures(&mut self, count: u32, now: Moment) -> Option<HealthChange> {
        self.record_failure_sample(1.0, now);
        self.consecutive_failures = self.consecutive_failures.saturating_add(count);
        if self.consecutive_failures < FAILURES_BEFORE_PAUSE {
            return None;
        }
        let pause = MIN_PAUSE.saturating_mul(1 << self.consecutive_pauses.min(8)).min(MAX_PAUSE);
        self.paused_until = now + pause;
        self.consecutive_pauses += 1;
        Some(HealthChange::Paused { failures: self.consecutive_failures, pause })
    }

    fn decay_factor(&self, now: Moment) -> f64 {
        0.5_f64.powf(now.saturating_sub(self.updated_at).as_secs_f64() / HALF_LIFE_SECS)
    }

    fn record_failure_sample(&mut self, failed: f64, now: Moment) {
        self.decay(now);
        self.failure_rate = self.failure_rate * (1.0 - SAMPLE_WEIGHT) + failed * SAMPLE_WEIGHT;
    }

    fn record_ratio(&mut self, ratio: f64, now: Moment) {
        self.decay(now);
        self.time_ratio =
            Some(self.time_ratio.map_or(ratio, |mean| mean + (ratio - mean) * SAMPLE_WEIGHT));
    }

    /// Applies the decay since the last update to both means.
    fn decay(&mut self, now: Moment) {
        let decay = self.decay_factor(now);
        self.failure_rate *= decay;
        self.time_ratio = self.time_ratio.map(|mean| 1.0 + (mean - 1.0) * decay);
        self.updated_at = now;
    }
}

/// Answer time as a multiple of the expected time, up to `MAX_RATIO`.
fn time_ratio(took: Duration, expected: Duration) -> f64 {
    (took.as_secs_f64() / expected.as_secs_f64().max(MIN_EXPECTED_SECS)).min(MAX_RATIO)
}
