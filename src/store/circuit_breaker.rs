//! Stops calls to a platform that does not answer.
//!
//! Without it every call of every host would wait for its whole deadline during an outage, and all
//! would come back at once at its end.

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};

use crate::prelude::*;

/// Failures in a row that open the breaker.
const FAILURES_TO_OPEN: u32 = 4;

/// First and longest time that it stays open; each lies between once and twice this. The longest
/// one, with a follower's own pause, is part of what a zone still lags behind after a cut.
const FIRST_OPEN: Duration = Duration::from_millis(250);
const LONGEST_OPEN: Duration = Duration::from_secs(2);

/// Whether calls are let through.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakerState {
    Closed,
    /// One call is on its way to find out.
    HalfOpen,
    /// Calls fail at once before this moment.
    Open {
        until: Moment,
    },
}

/// Counts failures in a row and spaces out the attempts that follow.
#[derive(Debug)]
pub struct CircuitBreaker {
    backoff: ExponentialBackoff,
    failures: u32,
    seed: u64,
    state: BreakerState,
}

impl CircuitBreaker {
    /// A closed breaker. `seed` spreads the attempts of many hosts.
    pub fn new(seed: u64) -> Self {
        Self { backoff: delays(seed), failures: 0, seed, state: BreakerState::Closed }
    }

    /// The state at `now`.
    pub fn state(&self) -> BreakerState {
        self.state
    }

    /// Whether a call may be made; if not, when to ask again. Whoever is let through reports back.
    pub fn admit(&mut self, now: Moment) -> Result<(), Duration> {
        match self.state {
            BreakerState::Closed => Ok(()),
            BreakerState::HalfOpen => Err(FIRST_OPEN),
            BreakerState::Open { until } if now < until => Err(until - now),
            BreakerState::Open { .. } => {
                self.state = BreakerState::HalfOpen;
                Ok(())
            }
        }
    }

    /// A call was record_answer, whatever the answer said.
    pub fn record_answer(&mut self) {
        if self.state != BreakerState::Closed {
            self.backoff = delays(self.seed);
        }
        self.failures = 0;
        self.state = BreakerState::Closed;
    }

    /// A call was not record_answer.
    pub fn failed(&mut self, now: Moment) {
        self.failures = self.failures.saturating_add(1);
        let opens = self.state == BreakerState::HalfOpen || FAILURES_TO_OPEN <= self.failures;
        // Calls that began before it opened fail later: they don't lengthen the pause.
        if opens && !matches!(self.state, BreakerState::Open { .. }) {
            let pause = self.backoff.next().unwrap_or(LONGEST_OPEN);
            self.state = BreakerState::Open { until: now + pause };
        }
    }

    /// A call was given up by its own caller: nothing is known. Another may find out.
    pub fn record_abandoned(&mut self, now: Moment) {
        if self.state == BreakerState::HalfOpen {
            self.state = BreakerState::Open { until: now };
        }
    }
}

fn delays(seed: u64) -> ExponentialBackoff {
    ExponentialBuilder::new()
        .with_min_delay(FIRST_OPEN)
        .with_max_delay(LONGEST_OPEN)
        .without_max_times()
        .with_jitter()
        .with_jitter_seed(seed)
        .build()
}
