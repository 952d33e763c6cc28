//! How far each drain has come at one host.

use super::record::{DrainId, DrainRecord};
use crate::{prelude::*, timeline::EventKind};

/// Progress of the drains in force, by this host's clock.
#[derive(Clone, Debug, Default)]
pub struct ProgressTracker {
    drains: BTreeMap<DrainId, DrainProgress>,
}

/// One drain as this host sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DrainProgress {
    /// When the last request on what is drained ended.
    pub ended: Option<Moment>,
    /// Requests that still run on it.
    pub in_flight: u64,
    /// When it came in force here.
    pub started_at: Moment,
}

impl DrainProgress {
    /// Time from its coming in force here to the last request's end.
    pub fn elapsed(&self) -> Option<Duration> {
        self.ended.map(|ended| ended.saturating_sub(self.started_at))
    }
}

impl ProgressTracker {
    /// Takes the drains in force, each with this host's requests on what it drains.
    pub fn observe<'a>(
        &mut self,
        drains: impl IntoIterator<Item = (&'a DrainRecord, u64)>,
        now: Moment,
    ) -> Vec<EventKind> {
        let mut events = Vec::new();
        let mut seen = BTreeMap::new();
        for (record, in_flight) in drains {
            let scope = record.scope.clone();
            let mut state = self.drains.remove(&record.id).unwrap_or_else(|| {
                events.push(EventKind::DrainStarted { scope: scope.clone() });
                DrainProgress { ended: None, in_flight, started_at: now }
            });
            state.in_flight = in_flight;
            if in_flight == 0 && state.ended.is_none() {
                state.ended = Some(now);
                events.push(EventKind::DrainEnded { scope });
            }
            seen.insert(record.id.clone(), state);
        }
        self.drains = seen;
        events
    }

    /// One drain as this host sees it.
    pub fn get(&self, id: &str) -> Option<&DrainProgress> {
        self.drains.get(id)
    }
}
