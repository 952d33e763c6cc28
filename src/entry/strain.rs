//! Whether this host gets too little of its processor.
//!
//! Load pattern: a host turns several times slower for seconds while its callers go on. All that it
//! does comes late then, and nothing fails: callers wait behind its queue although others are idle.
//! It sees so by its own ticks, which come late too; told to all, it is left out of look-ups until
//! they come in time again.

use crate::prelude::*;

/// Mean delay of ticks from which on a host is strained: callers' objectives are a few times that.
const STRAINED_FROM: Duration = Duration::from_millis(150);

/// Mean delay below which it no longer is; well below, so that a host at the edge stays on one side.
const STRAINED_TO: Duration = Duration::from_millis(40);

/// Weight of the newest tick in the mean: a second's ticks carry two thirds.
const NEWEST: f64 = 0.1;

/// Most that one tick counts: a host that was frozen for seconds is well again when it wakes.
const DELAY_MOST: Duration = Duration::from_millis(600);

/// The delay of a host's ticks.
#[derive(Debug, Default)]
pub struct Strain {
    /// Mean, in seconds.
    delay: f64,
    is_strained: bool,
    last: Option<Moment>,
}

impl Strain {
    /// A tick came that was due `every` after the last one; tells whether that changes anything.
    pub fn ticked(&mut self, every: Duration, now: Moment) -> bool {
        let Some(last) = self.last.replace(now) else { return false };
        let delay = now.saturating_sub(last).saturating_sub(every).min(DELAY_MOST);
        self.delay += (delay.as_secs_f64() - self.delay) * NEWEST;
        let before = self.is_strained;
        let bound = if before { STRAINED_TO } else { STRAINED_FROM };
        self.is_strained = bound.as_secs_f64() <= self.delay;
        before != self.is_strained
    }

    /// Whether callers are better off with other hosts.
    pub fn is_strained(&self) -> bool {
        self.is_strained
    }

    /// Mean delay of its ticks.
    pub fn delay(&self) -> Duration {
        Duration::from_secs_f64(self.delay)
    }
}
