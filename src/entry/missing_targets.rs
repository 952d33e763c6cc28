//! Finds out when a host knows no target although the store may list some.
//!
//! Changes of targets reach a host by its watch or from other hosts. If one was lost, nothing else
//! would tell it; a host that knows no target serves nobody, so it lists the store.

use crate::prelude::*;

/// Time without any target after which the store is listed.
const NOTICE_TIME: Duration = Duration::from_secs(1);

/// Pauses between listings; each is twice as long as the one before.
const MIN_PAUSE: Duration = Duration::from_secs(1);
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// Decides when a host without targets lists the store.
#[derive(Debug, Default)]
pub struct MissingTargets {
    /// Since when no target is known.
    since: Option<Moment>,
    list_at: Moment,
    pause: Duration,
}

impl MissingTargets {
    /// Returns the time for which no target has been known, if the store is to be listed now.
    pub fn check(&mut self, has_targets: bool, now: Moment) -> Option<Duration> {
        if has_targets {
            *self = Self::default();
            return None;
        }
        let missing_for = now.saturating_sub(*self.since.get_or_insert(now));
        if missing_for < NOTICE_TIME || now < self.list_at {
            return None;
        }
        self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
        self.list_at = now + self.pause;
        Some(missing_for)
    }
}
