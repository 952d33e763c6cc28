//! A hybrid logical clock: close to wall time, and never earlier than any cause it has seen.

use std::time::Duration;

use super::HybridTime;

/// A remote time further ahead of the own wall clock than this is not followed. Without the bound
/// one host with a wrong date would drag the time line of the whole fleet along; with it, only
/// the order against that one host's events is lost.
pub const MAX_SKEW: Duration = Duration::from_secs(300);

/// Gives each event a time later than all events that it may depend on.
#[derive(Clone, Debug, Default)]
pub struct HybridClock {
    last: HybridTime,
}

impl HybridClock {
    /// The time of a new local event, later than all before it.
    pub fn tick(&mut self, wall_millis: u64) -> HybridTime {
        self.last = self.last.next().max(HybridTime { millis: wall_millis, count: 0 });
        self.last
    }

    /// Takes in the time that came with a message, so that what follows here is later than it.
    pub fn observe(&mut self, remote: HybridTime, wall_millis: u64) {
        let bound = wall_millis.saturating_add(MAX_SKEW.as_millis() as u64);
        if remote.millis <= bound {
            self.last = self.last.max(remote);
        }
    }
}
