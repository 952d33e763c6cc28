//! What an owner knows of the requests at its targets.

use std::collections::HashMap;

use super::{ReservationId, SenderTag};
use crate::{
    placement::{Forecast, TargetTag},
    prelude::*,
};

/// Time for which a reservation counts after it was made or refreshed. A sender that was lost holds
/// its slots no longer than that.
pub const LEASE: Duration = Duration::from_secs(1);

/// Most reservations of all senders together; more are not counted. Far above the slots that one
/// owner's groups have.
const MAX_RESERVATIONS: usize = 16_384;

/// A request that runs at a target, or is about to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Held {
    expires_at: Moment,
    /// What was expected of the request; `None` if its sender selected the target.
    pub forecast: Option<Forecast>,
    pub target: TargetTag,
}

/// Requests of all senders at the targets of the groups that a host owns.
#[derive(Debug, Default)]
pub struct HeldSlots {
    counts: HashMap<TargetTag, u32>,
    held: HashMap<(SenderTag, ReservationId), Held>,
}

impl HeldSlots {
    /// Records a request. One that is known already only lasts longer.
    pub fn hold(
        &mut self,
        sender: SenderTag,
        id: ReservationId,
        target: TargetTag,
        forecast: Option<Forecast>,
        now: Moment,
    ) {
        let expires_at = now + LEASE;
        if let Some(known) = self.held.get_mut(&(sender, id)) {
            known.expires_at = expires_at;
            return;
        }
        if MAX_RESERVATIONS <= self.held.len() {
            return;
        }
        self.held.insert((sender, id), Held { expires_at, forecast, target });
        *self.counts.entry(target).or_default() += 1;
    }

    /// Removes a request that has ended.
    pub fn release(&mut self, sender: SenderTag, id: ReservationId) -> Option<Held> {
        let held = self.held.remove(&(sender, id))?;
        self.subtract(held.target);
        Some(held)
    }

    /// Number of requests at a target.
    pub fn count(&self, target: TargetTag) -> u32 {
        self.counts.get(&target).copied().unwrap_or_default()
    }

    /// Number of requests at all targets.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Removes the requests whose senders have not refreshed them.
    pub fn remove_expired(&mut self, now: Moment) -> usize {
        let is_expired = |held: &Held| held.expires_at <= now;
        let expired: Vec<_> = self.held.iter().filter(|(_, it)| is_expired(it)).collect();
        let expired: Vec<_> = expired.into_iter().map(|(key, _)| *key).collect();
        for (sender, id) in &expired {
            self.release(*sender, *id);
        }
        expired.len()
    }

    fn subtract(&mut self, target: TargetTag) {
        match self.counts.get_mut(&target) {
            Some(count) if 1 < *count => *count -= 1,
            _ => _ = self.counts.remove(&target),
        }
    }
}
