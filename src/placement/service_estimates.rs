//! What a host has learnt of one service from the ends of its attempts.

use super::{CacheCapacity, Forecast, WorkTime};
use crate::prelude::*;

/// Up to this depth a target surely still knows an object, whatever it keeps.
const SURE_DEPTH: usize = 2;

/// How likely an object's first target by hash is to know it, before any such run was seen.
const HOME_ASSUMED: f64 = 0.5;

/// Weight of the newest such run. After a start of all hosts targets know their objects, at the
/// first start of all they know none: a dozen runs tell which it is.
const HOME_NEWEST: f64 = 0.2;

/// Learnt figures of one service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceEstimates {
    /// How likely an object's first target by hash is to know it where nothing was heard of it.
    pub primary_hit_rate: f64,
    pub cache_capacity: CacheCapacity,
    pub work: WorkTime,
}

impl Default for ServiceEstimates {
    fn default() -> Self {
        Self {
            primary_hit_rate: HOME_ASSUMED,
            cache_capacity: CacheCapacity::default(),
            work: WorkTime::default(),
        }
    }
}

impl ServiceEstimates {
    /// An answer came after that time, without that for a new connection. `learn_keeps`: see
    /// `Tuning`.
    pub fn record_answer(
        &mut self,
        forecast: &Forecast,
        took: Duration,
        learn_cache_capacity: bool,
    ) {
        if !forecast.has_free_slot || forecast.object.is_none() {
            return;
        }
        let knew = match forecast.depth {
            Some(depth) if depth <= SURE_DEPTH => Some(true),
            Some(_) => None,
            None => Some(false),
        };
        let was_fast = self.work.record_run(took.saturating_sub(forecast.round_trip), knew);
        if forecast.is_primary_guess {
            self.primary_hit_rate +=
                (f64::from(u8::from(was_fast)) - self.primary_hit_rate) * HOME_NEWEST;
        }
        if let Some(depth) = forecast.depth.filter(|_| learn_cache_capacity) {
            self.cache_capacity.learn(depth, was_fast);
        }
    }

    /// The usual time of an answer that is no sign of a slow target: a first run is slow anywhere.
    pub fn expected_time(&self, forecast: &Forecast) -> Duration {
        if forecast.object.is_none() || forecast.depth.is_some() {
            return forecast.expected;
        }
        let more = self.work.miss().saturating_sub(self.work.hit());
        forecast.expected + more.mul_f64(forecast.hit_probability)
    }
}
