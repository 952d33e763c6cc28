//! A bounded ring of events: the newest stay, the oldest are dropped and counted.

use std::collections::VecDeque;

use super::{EventKind, HybridTime};
use crate::prelude::*;

/// One event without what all events of a process share.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub at: HybridTime,
    pub kind: EventKind,
    pub request: Option<RequestId>,
}

/// The newest entries of one process, in order of time.
#[derive(Debug, Default)]
pub struct Ring {
    capacity: usize,
    dropped: u64,
    entries: VecDeque<Entry>,
}

impl Ring {
    /// A ring of at most `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, dropped: 0, entries: VecDeque::with_capacity(capacity) }
    }

    /// Adds the newest entry; its time must be later than all before it.
    pub fn push(&mut self, entry: Entry) {
        if self.capacity == 0 {
            self.dropped += 1;
            return;
        }
        if self.entries.len() == self.capacity {
            self.entries.pop_front();
            self.dropped += 1;
        }
        self.entries.push_back(entry);
    }

    /// Number of entries dropped for newer ones since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// The entries at or after `from`, oldest first.
    pub fn since(&self, from: HybridTime) -> impl Iterator<Item = &Entry> {
        let start = self.entries.partition_point(|entry| entry.at < from);
        self.entries.range(start..)
    }
}
