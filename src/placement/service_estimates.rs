//! Estimates of one service, updated from the answers of its targets.

use super::{CacheCapacity, Forecast, WorkTime};
use crate::prelude::*;

/// LRU depth up to which an object is certainly still cached, whatever the cache capacity is.
const CERTAIN_HIT_DEPTH: usize = 2;

/// Default of `primary_hit_rate`.
const DEFAULT_PRIMARY_HIT_RATE: f64 = 0.5;

/// Weight of the newest run in `primary_hit_rate`. After a restart of all hosts, targets have their
/// objects cached; after the very first start of a deployment, they do not. A dozen runs show which
/// applies.
const PRIMARY_SAMPLE_WEIGHT: f64 = 0.2;

/// Estimates of one service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceEstimates {
    /// Probability that an object's primary target, the first in hash order, has it cached when no
    /// request for it is known.
    pub primary_hit_rate: f64,
    pub cache_capacity: CacheCapacity,
    pub work: WorkTime,
}

impl Default for ServiceEstimates {
    fn default() -> Self {
        Self {
            primary_hit_rate: DEFAULT_PRIMARY_HIT_RATE,
            cache_capacity: CacheCapacity::default(),
            work: WorkTime::default(),
        }
    }
}

impl ServiceEstimates {
    /// Records an answer that took this time, not counting the setup of a connection. For
    /// `learn_cache_capacity`, see `Tuning`.
    pub fn record_answer(
        &mut self,
        forecast: &Forecast,
        took: Duration,
        learn_cache_capacity: bool,
    ) {
        if !forecast.has_free_slot || forecast.object.is_none() {
            return;
        }
        let was_cached = match forecast.depth {
            Some(depth) if depth <= CERTAIN_HIT_DEPTH => Some(true),
            Some(_) => None,
            None => Some(false),
        };
        let was_fast = self.work.record_run(took.saturating_sub(forecast.round_trip), was_cached);
        if forecast.is_primary_guess {
            self.primary_hit_rate +=
                (f64::from(u8::from(was_fast)) - self.primary_hit_rate) * PRIMARY_SAMPLE_WEIGHT;
        }
        if let Some(depth) = forecast.depth.filter(|_| learn_cache_capacity) {
            self.cache_capacity.record_run(depth, was_fast);
        }
    }

    /// The answer time above which a target counts as slow. If no request for the object is known,
    /// it allows for a cache miss, which is slow at any target.
    pub fn expected_time(&self, forecast: &Forecast) -> Duration {
        if forecast.object.is_none() || forecast.depth.is_some() {
            return forecast.expected;
        }
        let miss_penalty = self.work.miss().saturating_sub(self.work.hit());
        forecast.expected + miss_penalty.mul_f64(forecast.hit_probability)
    }
}
