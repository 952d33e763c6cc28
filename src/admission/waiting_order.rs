//! Order in which the requests of a `WaitingQueue` start, and the load ahead of a new one.

use std::collections::{BTreeMap, BTreeSet};

use super::Waiting;
use crate::{placement::ObjectTag, prelude::*};

/// Requests of one priority that are searched for one whose object the free target has cached.
/// Limits the cost of a decision where one owner has thousands of slots.
const MAX_SEARCHED: usize = 64;

/// Smallest step of time; a request can be in time up to and including `in_time_until`.
const INSTANT: Duration = Duration::from_nanos(1);

/// Position of a request. Those that can be in time go first, by priority and arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Key {
    pub(super) is_late: bool,
    pub(super) priority: u8,
    pub(super) sequence: u64,
}

/// A number of requests and the sum of their expected times of work.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    pub(super) requests: u32,
    pub(super) run: Duration,
}

/// The waiting requests, by position.
#[derive(Debug, Default)]
pub(super) struct WaitingOrder {
    all: Load,
    /// When each request becomes late or leaves.
    changes: BTreeSet<(Moment, Key)>,
    /// The requests that can be in time, by priority.
    in_time: BTreeMap<u8, Load>,
    requests: BTreeMap<Key, Waiting>,
}

impl WaitingOrder {
    pub(super) fn insert(&mut self, key: Key, waiting: Waiting) {
        self.all.add(waiting.run);
        if !key.is_late {
            self.in_time.entry(key.priority).or_default().add(waiting.run);
        }
        self.changes.insert((change_at(key, &waiting), key));
        self.requests.insert(key, waiting);
    }

    pub(super) fn remove(&mut self, key: Key) -> Option<Waiting> {
        let waiting = self.requests.remove(&key)?;
        self.changes.remove(&(change_at(key, &waiting), key));
        self.all.subtract(waiting.run);
        if key.is_late {
            return Some(waiting);
        }
        let load = self.in_time.entry(key.priority).or_default();
        load.subtract(waiting.run);
        if load.requests == 0 {
            self.in_time.remove(&key.priority);
        }
        Some(waiting)
    }

    /// Moves the requests that became late behind the others. Removes and returns those whose time
    /// to leave has come.
    pub(super) fn advance(&mut self, now: Moment) -> Vec<Waiting> {
        let mut left = Vec::new();
        while let Some((at, key)) = self.changes.first().copied()
            && at <= now
        {
            let Some(waiting) = self.remove(key) else { break };
            if waiting.leave_at <= now {
                left.push(waiting);
            } else {
                self.insert(Key { is_late: true, ..key }, waiting);
            }
        }
        left
    }

    /// The request that starts next on a target, by the objects that it has cached.
    pub(super) fn next(&self, holds: impl Fn(ObjectTag) -> bool) -> Option<Key> {
        let (first, _) = self.requests.first_key_value()?;
        if first.is_late {
            return Some(*first);
        }
        let is_candidate = |key: &Key| !key.is_late && key.priority == first.priority;
        let searched = self.requests.iter().take(MAX_SEARCHED);
        let mut candidates = searched.take_while(|(key, _)| is_candidate(key));
        let cached = candidates.find(|(_, it)| it.object.is_some_and(&holds));
        Some(cached.map_or(*first, |(key, _)| *key))
    }

    pub(super) fn last(&self) -> Option<Key> {
        self.requests.last_key_value().map(|(key, _)| *key)
    }

    pub(super) fn find(&self, id: u64) -> Option<Key> {
        self.requests.iter().find(|(_, waiting)| waiting.id == id).map(|(key, _)| *key)
    }

    /// The requests that a new one of the priority which can be in time has to wait for.
    pub(super) fn ahead(&self, priority: u8) -> Load {
        self.in_time.range(..=priority).fold(Load::default(), |sum, (_, load)| Load {
            requests: sum.requests + load.requests,
            run: sum.run + load.run,
        })
    }

    pub(super) fn all(&self) -> Load {
        self.all
    }

    /// Whether a request that can be in time is waiting.
    pub(super) fn has_in_time(&self) -> bool {
        !self.in_time.is_empty()
    }

    /// When the next request becomes late or leaves.
    pub(super) fn next_change(&self) -> Option<Moment> {
        self.changes.first().map(|(at, _)| *at)
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }
}

impl Load {
    fn add(&mut self, run: Duration) {
        self.requests += 1;
        self.run += run;
    }

    fn subtract(&mut self, run: Duration) {
        self.requests -= 1;
        self.run = self.run.saturating_sub(run);
    }
}

/// When a request becomes late or leaves.
fn change_at(key: Key, waiting: &Waiting) -> Moment {
    if key.is_late {
        return waiting.leave_at;
    }
    waiting.in_time_until.saturating_add(INSTANT).min(waiting.leave_at)
}
