//! Progress of each drain on this host.

use super::record::{DrainId, DrainRecord};
use crate::{prelude::*, timeline::EventKind};

/// Tracks the progress of the drains in force, by this host's clock.
#[derive(Clone, Debug, Default)]
pub struct ProgressTracker {
    drains: BTreeMap<DrainId, DrainProgress>,
}

/// Progress of one drain on this host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DrainProgress {
    /// When no request was left in the drained scope.
    pub ended: Option<Moment>,
    /// Requests still in flight in the drained scope.
    pub in_flight: u64,
    /// When the drain came into force here.
    pub started_at: Moment,
}

impl DrainProgress {
    /// Time from `started_at` until no request was left; `None` before.
    pub fn elapsed(&self) -> Option<Duration> {
        self.ended.map(|ended| ended.saturating_sub(self.started_at))
    }
}

impl ProgressTracker {
    /// Updates the progress from the drains in force, each with the number of this host's requests
    /// in its scope. Returns the events for drains that started or ended.
    pub fn observe<'a>(
        &mut self,
        drains: impl IntoIterator<Item = (&'a DrainRecord, u64)>,
        now: Moment,
    ) -> Vec<EventKind> {
        let mut events = Vec::new();
        let mut updated = BTreeMap::new();
        for (record, in_flight) in drains {
            let scope = record.scope.clone();
            let mut progress = self.drains.remove(&record.id).unwrap_or_else(|| {
                events.push(EventKind::DrainStarted { scope: scope.clone() });
                DrainProgress { ended: None, in_flight, started_at: now }
            });
            progress.in_flight = in_flight;
            if in_flight == 0 && progress.ended.is_none() {
                progress.ended = Some(now);
                events.push(EventKind::DrainEnded { scope });
            }
            updated.insert(record.id.clone(), progress);
        }
        self.drains = updated;
        events
    }

    pub fn get(&self, id: &str) -> Option<&DrainProgress> {
        self.drains.get(id)
    }
}
