//! What a host has seen of one target by its own requests.

use super::SlowdownReport;
use crate::prelude::*;

/// First pause after failures in a row; doubles up to `LONGEST_PAUSE`.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Failures in a row after which a target is left alone: one can be chance, as with a lost answer.
const FAILURES: u32 = 2;

/// Time for which a target that had no room gets nothing more from this host.
const FULL_PAUSE: Duration = Duration::from_millis(80);

/// Weight of the newest sample in a mean; five samples carry two thirds.
const NEWEST: f64 = 0.2;

/// Time in which an unused mean loses half of its distance from the usual, so that a target that
/// was slow or failing is tried again.
const FORGET_HALF: f64 = 3.0;

/// Shortest time that counts, in seconds: timers do not tell less apart.
const LEAST: f64 = 0.001;

/// Most times the expected time that one answer counts for.
const RATIO_MOST: f64 = 10.0;

/// Time without a run after which what was seen of a target says nothing more of it.
const FRESH: Duration = Duration::from_millis(1_500);

/// How an attempt at a target ended, as far as the target's state goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthSignal {
    /// A whole answer, after that time.
    Answered(Duration),
    /// The target's own failure, or a broken or lost answer.
    Failed,
    /// It refused the request since it had no room.
    Full,
    /// Nobody could be reached at its address.
    Unreachable,
    /// Cancelled; says nothing, or that it took at least that long.
    Cancelled(Duration),
}

/// What an attempt's end changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthChange {
    /// The target gets nothing for that long, after so many failures in a row.
    Paused { failures: u32, pause: Duration },
    /// It answers again after a pause.
    Recovered,
}

/// The condition of one target.
#[derive(Clone, Debug, Default)]
pub struct TargetHealth {
    failures: u32,
    /// Share of recent attempts that failed.
    failing: f64,
    full_until: Moment,
    /// Requests of this host in attempt.
    pub in_flight: u32,
    paused_until: Moment,
    pauses: u32,
    /// Its last runs, none of them long before the next.
    seen: SlowdownReport,
    seen_at: Moment,
    /// Recent time of an answer as a multiple of what was expected.
    slow: Option<f64>,
    touched: Moment,
}

impl TargetHealth {
    /// An attempt ended; `expected` is the time that an answer usually takes there.
    pub fn record_attempt(
        &mut self,
        ended: HealthSignal,
        expected: Duration,
        now: Moment,
    ) -> Option<HealthChange> {
        match ended {
            HealthSignal::Answered(took) => {
                let was_paused = 0 < self.pauses;
                self.failures = 0;
                self.pauses = 0;
                self.paused_until = Moment::ZERO;
                self.sample(0.0, now);
                self.paced(ratio(took, expected), now);
                return was_paused.then_some(HealthChange::Recovered);
            }
            HealthSignal::Cancelled(took) if expected < took => {
                self.paced(ratio(took, expected), now)
            }
            HealthSignal::Cancelled(_) => {}
            HealthSignal::Full => self.full_until = now + FULL_PAUSE,
            HealthSignal::Failed => return self.failed(1, now),
            HealthSignal::Unreachable => return self.failed(FAILURES, now),
        }
        None
    }

    /// How much the time of an answer is stretched here, for slowness and failures.
    pub fn slowdown(&self, now: Moment) -> f64 {
        let keep = self.keep(now);
        let slow = 1.0 + (self.slow.unwrap_or(1.0).max(1.0) - 1.0) * keep;
        let failing = (self.failing * keep).min(0.9);
        slow / ((1.0 - failing) * (1.0 - failing))
    }

    /// The same, with what all hosts saw of the target lately: each host of a large fleet meets a
    /// target too seldom to learn by itself that it has turned slow.
    pub fn slowdown_with_report(&self, told: Option<SlowdownReport>, now: Moment) -> f64 {
        let own = self.slowdown(now);
        match told {
            Some(told) => own.max(told.merge(self.seen(now)).slowdown()),
            None => own,
        }
    }

    /// What other hosts are told of the target: that it is slow, or, where others say so, what this
    /// host saw, be it slow or not.
    pub fn report(&self, told: Option<SlowdownReport>, now: Moment) -> Option<SlowdownReport> {
        let seen = self.seen(now);
        (seen.is_slow() || (seen.has_runs() && told.is_some())).then_some(seen)
    }

    /// A run that had not to wait for a slot took that part of the usual time. Others say little:
    /// where all targets have queues, all of them would look slow.
    pub fn record_run(&mut self, took: Duration, expected: Duration, now: Moment) {
        let ratio = ratio(took, expected);
        self.seen = self.seen(now).merge(SlowdownReport::single(ratio));
        self.seen_at = now;
    }

    /// The runs of the last moments.
    fn seen(&self, now: Moment) -> SlowdownReport {
        if now.saturating_sub(self.seen_at) < FRESH { self.seen } else { SlowdownReport::default() }
    }

    /// Whether it is to be left alone for now.
    pub fn is_paused(&self, now: Moment) -> bool {
        now < self.paused_until
    }

    /// A target whose pause is over gets one request at a time until it answers.
    pub fn is_half_open(&self, now: Moment) -> bool {
        FAILURES <= self.failures && !self.is_paused(now)
    }

    /// Whether it just said that it has no room.
    pub fn is_full(&self, now: Moment) -> bool {
        now < self.full_until
    }

    fn failed(&mut self, count: u32, now: Moment) -> Option<HealthChange> {
        self.sample(1.0, now);
        self.failures = self.failures.saturating_add(count);
        if self.failures < FAILURES {
            return None;
        }
        let pause = FIRST_PAUSE.saturating_mul(1 << self.pauses.min(8)).min(LONGEST_PAUSE);
        self.paused_until = now + pause;
        self.pauses += 1;
        Some(HealthChange::Paused { failures: self.failures, pause })
    }

    fn keep(&self, now: Moment) -> f64 {
        0.5_f64.powf(now.saturating_sub(self.touched).as_secs_f64() / FORGET_HALF)
    }

    fn sample(&mut self, failed: f64, now: Moment) {
        self.fade(now);
        self.failing = self.failing * (1.0 - NEWEST) + failed * NEWEST;
    }

    fn paced(&mut self, ratio: f64, now: Moment) {
        self.fade(now);
        self.slow = Some(self.slow.map_or(ratio, |slow| slow + (ratio - slow) * NEWEST));
    }

    /// Takes the time since the last sample off both means, which then run from now.
    fn fade(&mut self, now: Moment) {
        let keep = self.keep(now);
        self.failing *= keep;
        self.slow = self.slow.map(|slow| 1.0 + (slow - 1.0) * keep);
        self.touched = now;
    }
}

/// Time of an answer as a multiple of what was expected.
fn ratio(took: Duration, expected: Duration) -> f64 {
    (took.as_secs_f64() / expected.as_secs_f64().max(LEAST)).min(RATIO_MOST)
}
