//! State of one host of the own zone.

use super::digest::HostEntry;
use crate::{prelude::*, view::HostView};

/// What this host knows of another host of its own zone.
#[derive(Clone, Debug)]
pub(super) struct HostRecord {
    pub beat: u64,
    pub epoch: u64,
    /// When `beat` last increased; for an entry received from a peer, the age that it reported is
    /// subtracted.
    pub last_heard: Moment,
    pub revision: u32,
    pub suspected: bool,
    pub view: HostView,
}

impl HostRecord {
    pub fn new(entry: HostEntry, now: Moment) -> Self {
        let last_heard = now.saturating_sub(Duration::from_millis(entry.age_ms));
        let HostEntry { beat, epoch, revision, view, .. } = entry;
        Self { beat, epoch, last_heard, revision, suspected: false, view }
    }

    pub fn entry(&self, now: Moment) -> HostEntry {
        let age = now.saturating_sub(self.last_heard);
        HostEntry {
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            beat: self.beat,
            epoch: self.epoch,
            revision: self.revision,
            view: self.view.clone(),
        }
    }

    /// Updates the heartbeat counter if `beat` is higher, and returns whether it was.
    pub fn advance_beat(&mut self, beat: u64, heard: Moment) -> bool {
        if beat <= self.beat {
            return false;
        }
        self.beat = beat;
        self.last_heard = self.last_heard.max(heard);
        true
    }
}
