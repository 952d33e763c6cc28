//! A target: slots, and what runs in them.

use super::{
    fixture::SLOTS,
    message::{Copy, Process},
};
use crate::{prelude::*, routing::AttemptId};

/// One request that runs.
#[derive(Clone, Debug)]
pub(super) struct Work {
    pub(super) attempt: AttemptId,
    pub(super) by: Process,
    pub(super) copy: Copy,
    pub(super) crossed: bool,
    pub(super) lost: bool,
}

#[derive(Debug, Default)]
pub(super) struct FakeTarget {
    pub(super) dead_until: Moment,
    next: u64,
    pub(super) running: BTreeMap<u64, Work>,
}

impl FakeTarget {
    pub(super) fn is_full(&self) -> bool {
        SLOTS as usize <= self.running.len()
    }

    pub(super) fn start(&mut self, work: Work) -> u64 {
        self.next += 1;
        self.running.insert(self.next, work);
        self.next
    }

    /// Ends the process; gives what ran.
    pub(super) fn crash(&mut self, until: Moment) -> Vec<Work> {
        self.dead_until = until;
        std::mem::take(&mut self.running).into_values().collect()
    }
}
