//! What comes next, in virtual time.

use crate::prelude::*;

/// Items by time; those of one time in the order of their coming.
#[derive(Debug)]
pub(super) struct Agenda<T> {
    items: BTreeMap<(Moment, u64), T>,
    next: u64,
}

impl<T> Agenda<T> {
    pub(super) fn new() -> Self {
        Self { items: BTreeMap::new(), next: 0 }
    }

    pub(super) fn push(&mut self, at: Moment, item: T) {
        self.items.insert((at, self.next), item);
        self.next += 1;
    }

    pub(super) fn pop(&mut self) -> Option<(Moment, T)> {
        self.items.pop_first().map(|((at, _), item)| (at, item))
    }
}
