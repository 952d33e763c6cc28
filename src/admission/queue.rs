//! Requests of one service that wait for a slot.

use std::collections::VecDeque;

use crate::{base::invariant, prelude::*};

/// The queue is full of requests that can still be served in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the queue is full; come back after Retry-After")]
pub struct QueueFull;

/// First in, first out, bounded; hopeless requests never leave it towards a target.
///
/// A request is hopeless when its deadline leaves less than the service's expected time: a target
/// would work for nobody while others miss their deadlines behind it.
#[derive(Debug)]
pub struct Queue {
    capacity: usize,
    /// Hopeless ones that made room for newcomers, until `take_expired` hands them out.
    evicted: Vec<RequestId>,
    expected_time: Duration,
    waiting: VecDeque<Waiting>,
}

#[derive(Debug)]
struct Waiting {
    deadline: Moment,
    request: RequestId,
}

impl Queue {
    /// A queue of at most `capacity` requests that take about `expected` each.
    pub fn new(capacity: usize, expected_time: Duration) -> Self {
        Self { capacity, evicted: Vec::new(), expected_time, waiting: VecDeque::new() }
    }

    /// Takes up a new estimate of the service's time.
    pub fn set_expected_time(&mut self, expected_time: Duration) {
        self.expected_time = expected_time;
    }

    /// Adds a request. When full, the oldest hopeless one goes (see `take_expired`), else the newcomer.
    pub fn push(
        &mut self,
        request: RequestId,
        deadline: Moment,
        now: Moment,
    ) -> Result<(), QueueFull> {
        if self.capacity <= self.waiting.len() {
            let hopeless = self.waiting.iter().position(|waiting| self.is_hopeless(waiting, now));
            let evicted = hopeless.and_then(|index| self.waiting.remove(index)).ok_or(QueueFull)?;
            self.evicted.push(evicted.request);
        }
        self.add(Waiting { deadline, request });
        Ok(())
    }

    /// Adds a request without asking for room, to see the invariant fire.
    #[cfg(test)]
    pub(super) fn push_unchecked(&mut self, request: RequestId, deadline: Moment) {
        self.add(Waiting { deadline, request });
    }

    /// The oldest request that can still be served in time; hopeless ones wait for `take_expired`.
    pub fn pop(&mut self, now: Moment) -> Option<RequestId> {
        let index = self.waiting.iter().position(|waiting| !self.is_hopeless(waiting, now))?;
        self.waiting.remove(index).map(|waiting| waiting.request)
    }

    /// Takes out every hopeless request, oldest first.
    pub fn take_expired(&mut self, now: Moment) -> Vec<RequestId> {
        let mut expired = std::mem::take(&mut self.evicted);
        let latest = now + self.expected_time;
        self.waiting.retain(|waiting| {
            let hopeless = waiting.deadline < latest;
            if hopeless {
                expired.push(waiting.request.clone());
            }
            !hopeless
        });
        expired
    }

    /// Takes out a request whose caller left; false if it is not here.
    pub fn remove(&mut self, request: &RequestId) -> bool {
        let Some(index) = self.waiting.iter().position(|waiting| waiting.request == *request)
        else {
            return false;
        };
        self.waiting.remove(index).is_some()
    }

    /// When the next waiting request turns hopeless.
    pub fn next_expiry(&self) -> Option<Moment> {
        let deadline = self.waiting.iter().map(|waiting| waiting.deadline).min()?;
        Some(deadline.saturating_sub(self.expected_time))
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn add(&mut self, waiting: Waiting) {
        self.waiting.push_back(waiting);
        let len = self.waiting.len();
        invariant::hold(len <= self.capacity, "queue-bounded", || format!("{len} waiting"));
    }

    fn is_hopeless(&self, waiting: &Waiting, now: Moment) -> bool {
        waiting.deadline < now + self.expected_time
    }
}
