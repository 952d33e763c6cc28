//! What a host has learnt of one service from the ends of its attempts.

use super::{Forecast, Keeps, WorkTime};
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
pub struct Learnt {
    /// How likely an object's first target by hash is to know it where nothing was heard of it.
    pub home_knows: f64,
    pub keeps: Keeps,
    pub work: WorkTime,
}

impl Default for Learnt {
    fn default() -> Self {
        Self { home_knows: HOME_ASSUMED, keeps: Keeps::default(), work: WorkTime::default() }
    }
}

impl Learnt {
    /// An answer came after that time, without that for a new connection. `learn_keeps`: see
    /// `Tuning`.
    pub fn answered(&mut self, forecast: &Forecast, took: Duration, learn_keeps: bool) {
        if !forecast.finds_slot || forecast.object.is_none() {
            return;
        }
        let knew = match forecast.depth {
            Some(depth) if depth <= SURE_DEPTH => Some(true),
            Some(_) => None,
            None => Some(false),
        };
        let was_fast = self.work.ran(took.saturating_sub(forecast.trip), knew);
        if forecast.is_home_guess {
            self.home_knows += (f64::from(u8::from(was_fast)) - self.home_knows) * HOME_NEWEST;
        }
        if let Some(depth) = forecast.depth.filter(|_| learn_keeps) {
            self.keeps.learn(depth, was_fast);
        }
    }

    /// The usual time of an answer that is no sign of a slow target: a first run is slow anywhere.
    pub fn usual(&self, forecast: &Forecast) -> Duration {
        if forecast.object.is_none() || forecast.depth.is_some() {
            return forecast.expected;
        }
        let more = self.work.unknown().saturating_sub(self.work.known());
        forecast.expected + more.mul_f64(forecast.knows)
    }
}
