//! Whether this host gets too little of its processor.
//!
//! Load pattern: a host turns several times slower for seconds while its callers go on. All that it
//! does comes late then, and nothing fails: callers wait behind its queue although others are idle.
//! It sees so by its own ticks, which come late too; told to all, it is left out of look-ups until
//! they come in time again.

use crate::prelude::*;

/// Mean delay of ticks from which on a host is strained: callers' objectives are a few times that.
const STRAINED_ABOVE: Duration = Duration::from_millis(150);

/// Mean delay below which it no longer is; well below, so that a host at the edge stays on one side.
const RECOVERED_BELOW: Duration = Duration::from_millis(40);

/// Weight of the newest tick in the mean: a second's ticks carry two thirds.
const EMA_WEIGHT: f64 = 0.1;

/// Most that one tick counts: a host that was frozen for seconds is well again when it wakes.
const MAX_TICK_DELAY: Duration = Duration::from_millis(600);

/// The delay of a host's ticks.
#[derive(Debug, Default)]
pub struct StrainDetector {
    /// Mean, in seconds.
    mean_delay_s: f64,
    is_strained: bool,
    last_tick: Option<Moment>,
}

impl StrainDetector {
    /// A tick came that was due `every` after the last one; tells whether that changes anything.
    pub fn record_tick(&mut self, interval: Duration, now: Moment) -> bool {
        let Some(last) = self.last_tick.replace(now) else { return false };
        let delay = now.saturating_sub(last).saturating_sub(interval).min(MAX_TICK_DELAY);
        self.mean_delay_s += (delay.as_secs_f64() - self.mean_delay_s) * EMA_WEIGHT;
        let before = self.is_strained;
        let threshold = if before { RECOVERED_BELOW } else { STRAINED_ABOVE };
        self.is_strained = threshold.as_secs_f64() <= self.mean_delay_s;
        before != self.is_strained
    }

    /// Whether callers are better off with other hosts.
    pub fn is_strained(&self) -> bool {
        self.is_strained
    }

    /// Mean delay of its ticks.
    pub fn mean_delay(&self) -> Duration {
        Duration::from_secs_f64(self.mean_delay_s)
    }
}
