//! What is to happen, in order of time.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
};

use crate::{prelude::*, routing, selection::LoadReport};

/// One attempt of a host at a target or at another host.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub from: usize,
    pub number: u64,
    pub request: usize,
    pub since: Moment,
    /// Number of the target, or of the other host.
    pub to: usize,
    pub timeout: Duration,
}

/// One thing to happen.
#[derive(Clone, Debug)]
pub(super) enum Step {
    /// The answer of a host reaches a caller.
    Answered { answer: routing::Answer, request: usize },
    /// A request reaches a host from its caller.
    AtHost { host: usize, request: usize },
    /// A request reaches a host from another host.
    AtPeer { attempt: Attempt, via: routing::Via },
    /// A request reaches a target.
    AtTarget { attempt: Attempt },
    /// The word that an attempt is given up reaches its target or host.
    Cancelled { attempt: Attempt, to_host: bool },
    /// A target is through with a request.
    Done { attempt: Attempt, served: bool },
    /// An attempt's outcome reaches the host that made it.
    Ended { attempt: Attempt, outcome: routing::Outcome },
    /// The scenario's event.
    Event,
    /// What a target said of its load reaches its owner.
    Report { report: LoadReport, target: usize },
    /// A caller sends a request, for the first time or again.
    Send { request: usize },
    /// Targets are asked for their load.
    Sample,
    /// Hosts tick.
    Tick,
    /// Hosts get new views.
    Views,
}

/// Steps by time; those of one time in the order in which they were added.
#[derive(Debug, Default)]
pub(super) struct Agenda {
    heap: BinaryHeap<Reverse<Entry>>,
    next: u64,
}

#[derive(Debug)]
struct Entry {
    at: Moment,
    number: u64,
    step: Step,
}

impl Agenda {
    pub fn add(&mut self, at: Moment, step: Step) {
        self.next += 1;
        self.heap.push(Reverse(Entry { at, number: self.next, step }));
    }

    pub fn take(&mut self) -> Option<(Moment, Step)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.step))
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
