//! How long the answer to a request may take while the slots of a group are short.
//!
//! Load pattern: more requests than slots for several seconds. If requests may wait for twice their
//! objective, the queue stands at that length and nearly every answer is late. If they may not wait
//! at all, a short burst is refused although its answers would be in time.

use crate::prelude::*;

/// Requests for each slot, including those that wait, up to which a queue is a short burst, and from
/// which on it stands.
const BURST_PRESSURE: f64 = 0.9;
const STANDING_PRESSURE: f64 = 1.1;

/// Time that the mean covers: a burst that is shorter than most objectives is no standing queue.
const MEAN_TIME: Duration = Duration::from_millis(400);

/// Answer time at which a request that is late already still runs, as a multiple of the work on a
/// cached object: a free slot, and no first run.
const FREE_SLOT_FACTOR: f64 = 1.5;

/// Mean of the requests for each slot of a group.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pressure {
    mean: f64,
    updated_at: Moment,
}

impl Pressure {
    /// Records the requests of all hosts at the group's targets, which have this many slots.
    pub fn record(&mut self, requests: f64, slots: f64, now: Moment) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = now;
        let weight = 1.0 - (-elapsed.as_secs_f64() / MEAN_TIME.as_secs_f64()).exp();
        let pressure = if slots <= 0.0 { STANDING_PRESSURE } else { requests / slots };
        self.mean += (pressure - self.mean) * weight;
    }

    /// Longest acceptable answer time of a request that has `left` until it is late for its caller,
    /// of an `objective` in all. A short burst may wait for one objective more; while the queue
    /// stands, only what can be in time may wait.
    pub fn max_answer(&self, left: Duration, objective: Duration, hit: Duration) -> Duration {
        let range = STANDING_PRESSURE - BURST_PRESSURE;
        let extra = ((STANDING_PRESSURE - self.mean) / range).clamp(0.0, 1.0);
        (left + objective.mul_f64(extra)).max(hit.mul_f64(FREE_SLOT_FACTOR))
    }
}
