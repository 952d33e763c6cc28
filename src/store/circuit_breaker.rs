//! Circuit breaker for calls to a platform that does not answer.
//!
//! Without it, every call of every host would wait for its full timeout during an outage, and all
//! hosts would retry at the same moment when the outage ends.

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};

use crate::prelude::*;

/// Consecutive failures that open the breaker.
const FAILURES_TO_OPEN: u32 = 4;

/// Shortest and longest time for which the breaker stays open; jitter makes each up to twice as
/// long. After a partition ends, a zone stays out of date for up to the longest open time plus the
/// pause of a `Follower`.
const MIN_OPEN: Duration = Duration::from_millis(250);
const MAX_OPEN: Duration = Duration::from_secs(2);

/// Whether calls are allowed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakerState {
    Closed,
    /// A single probe call is in progress; its result closes or reopens the breaker.
    HalfOpen,
    /// Calls fail immediately until this time.
    Open {
        until: Moment,
    },
}

/// Counts consecutive failures; once open, it allows single probe calls with increasing pauses.
#[derive(Debug)]
pub struct CircuitBreaker {
    backoff: ExponentialBackoff,
    failures: u32,
    seed: u64,
    state: BreakerState,
}

impl CircuitBreaker {
    /// Returns a closed breaker. `seed` varies the jitter, so that hosts do not probe in step.
    pub fn new(seed: u64) -> Self {
        Self { backoff: open_delays(seed), failures: 0, seed, state: BreakerState::Closed }
    }

    pub fn state(&self) -> BreakerState {
        self.state
    }

    /// Allows or refuses a call; the error is the time until the next try. The caller must report
    /// the result of an allowed call with one of the `record_` methods.
    pub fn admit(&mut self, now: Moment) -> Result<(), Duration> {
        match self.state {
            BreakerState::Closed => Ok(()),
            BreakerState::HalfOpen => Err(MIN_OPEN),
            BreakerState::Open { until } if now < until => Err(until - now),
            BreakerState::Open { .. } => {
                self.state = BreakerState::HalfOpen;
                Ok(())
            }
        }
    }

    /// Records that the platform answered, with any status that is not a server error.
    pub fn record_answer(&mut self) {
        if self.state != BreakerState::Closed {
            self.backoff = open_delays(self.seed);
        }
        self.failures = 0;
        self.state = BreakerState::Closed;
    }

    /// Records a call that got no answer or a server error.
    pub fn record_failure(&mut self, now: Moment) {
        self.failures = self.failures.saturating_add(1);
        let opens = self.state == BreakerState::HalfOpen || FAILURES_TO_OPEN <= self.failures;
        // Calls that started before the breaker opened may fail later; they must not extend the
        // pause.
        if opens && !matches!(self.state, BreakerState::Open { .. }) {
            let pause = self.backoff.next().unwrap_or(MAX_OPEN);
            self.state = BreakerState::Open { until: now + pause };
        }
    }

    /// Records a call that its caller cancelled, so that its result is unknown. If it was the
    /// probe, the next call becomes the probe.
    pub fn record_abandoned(&mut self, now: Moment) {
        if self.state == BreakerState::HalfOpen {
            self.state = BreakerState::Open { until: now };
        }
    }
}

fn open_delays(seed: u64) -> ExponentialBackoff {
    ExponentialBuilder::new()
        .with_min_delay(MIN_OPEN)
        .with_max_delay(MAX_OPEN)
        .without_max_times()
        .with_jitter()
        .with_jitter_seed(seed)
        .build()
}
