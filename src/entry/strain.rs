//! Detection of a strained host, which is one that gets too little CPU time.
//!
//! A host may become several times slower for seconds while its callers keep sending. Nothing
//! fails, but everything is late: callers wait in its queue although other hosts are idle. The host
//! detects the strain by the delay of its own ticks and reports it to all other hosts, and look-ups
//! omit it until its ticks are on time again.

use crate::prelude::*;

/// Mean tick delay at which a host becomes strained. Callers' latency objectives are a few times as
/// long.
const STRAINED_ABOVE: Duration = Duration::from_millis(150);

/// Mean tick delay below which a host is no longer strained. The distance from `STRAINED_ABOVE`
/// prevents a host at the limit from alternating between both states.
const RECOVERED_BELOW: Duration = Duration::from_millis(40);

/// Weight of the newest tick in the moving average: the ticks of one second have two thirds of the
/// weight.
const EMA_WEIGHT: f64 = 0.1;

/// Limit on the delay that one tick contributes, since a host that was frozen for seconds works
/// normally once it resumes.
const MAX_TICK_DELAY: Duration = Duration::from_millis(600);

/// Moving average of the delay of a host's ticks.
#[derive(Debug, Default)]
pub struct StrainDetector {
    /// Mean delay in seconds.
    mean_delay_s: f64,
    is_strained: bool,
    last_tick: Option<Moment>,
}

impl StrainDetector {
    /// Records a tick that was due `interval` after the last one. Returns whether the host has
    /// become strained or has recovered.
    pub fn record_tick(&mut self, interval: Duration, now: Moment) -> bool {
        let Some(last) = self.last_tick.replace(now) else { return false };
        let delay = now.saturating_sub(last).saturating_sub(interval).min(MAX_TICK_DELAY);
        self.mean_delay_s += (delay.as_secs_f64() - self.mean_delay_s) * EMA_WEIGHT;
        let before = self.is_strained;
        let threshold = if before { RECOVERED_BELOW } else { STRAINED_ABOVE };
        self.is_strained = threshold.as_secs_f64() <= self.mean_delay_s;
        before != self.is_strained
    }

    /// Whether callers should use other hosts.
    pub fn is_strained(&self) -> bool {
        self.is_strained
    }

    /// Mean delay of the ticks.
    pub fn mean_delay(&self) -> Duration {
        Duration::from_secs_f64(self.mean_delay_s)
    }
}
