//! Queue of the requests of one service that wait for a slot.

use std::collections::VecDeque;

use crate::{base::invariant, prelude::*};

/// The queue is full, and all of its requests can still meet their deadlines.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the queue is full; retry after the time in Retry-After")]
pub struct QueueFull;

/// A bounded FIFO queue that never hands out expired requests for dispatch.
///
/// A request is expired when less than the service's expected time is left until its deadline. A
/// target would waste its time on it, and requests behind it would miss their deadlines too.
#[derive(Debug)]
pub struct Queue {
    capacity: usize,
    /// Expired requests that were removed to make room, until `take_expired` returns them.
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

    /// Updates the estimate of how long a request takes.
    pub fn set_expected_time(&mut self, expected_time: Duration) {
        self.expected_time = expected_time;
    }

    /// Adds a request. If the queue is full, the oldest expired request is removed to make room
    /// (see `take_expired`); if none is expired, the new request is rejected.
    pub fn push(
        &mut self,
        request: RequestId,
        deadline: Moment,
        now: Moment,
    ) -> Result<(), QueueFull> {
        if self.capacity <= self.waiting.len() {
            let expired = self.waiting.iter().position(|waiting| self.is_expired(waiting, now));
            let evicted = expired.and_then(|index| self.waiting.remove(index)).ok_or(QueueFull)?;
            self.evicted.push(evicted.request);
        }
        self.add(Waiting { deadline, request });
        Ok(())
    }

    /// Adds a request without checking the capacity, to break the invariant in tests.
    #[cfg(test)]
    pub(super) fn push_unchecked(&mut self, request: RequestId, deadline: Moment) {
        self.add(Waiting { deadline, request });
    }

    /// Removes and returns the oldest request that is not expired. Expired ones stay until
    /// `take_expired`.
    pub fn pop(&mut self, now: Moment) -> Option<RequestId> {
        let index = self.waiting.iter().position(|waiting| !self.is_expired(waiting, now))?;
        self.waiting.remove(index).map(|waiting| waiting.request)
    }

    /// Removes and returns all expired requests: first those that `push` removed, then the others
    /// in queue order.
    pub fn take_expired(&mut self, now: Moment) -> Vec<RequestId> {
        let mut expired = std::mem::take(&mut self.evicted);
        let earliest_deadline = now + self.expected_time;
        self.waiting.retain(|waiting| {
            let is_expired = waiting.deadline < earliest_deadline;
            if is_expired {
                expired.push(waiting.request.clone());
            }
            !is_expired
        });
        expired
    }

    /// Removes a request whose caller disconnected. Returns whether it was in the queue.
    pub fn remove(&mut self, request: &RequestId) -> bool {
        let Some(index) = self.waiting.iter().position(|waiting| waiting.request == *request)
        else {
            return false;
        };
        self.waiting.remove(index).is_some()
    }

    /// When the next waiting request expires.
    pub fn next_expiry(&self) -> Option<Moment> {
        let deadline = self.waiting.iter().map(|waiting| waiting.deadline).min()?;
        Some(deadline.saturating_sub(self.expected_time))
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn add(&mut self, waiting: Waiting) {
        self.waiting.push_back(waiting);
        let len = self.waiting.len();
        invariant::check(len <= self.capacity, "queue-bounded", || format!("{len} waiting"));
    }

    fn is_expired(&self, waiting: &Waiting, now: Moment) -> bool {
        waiting.deadline < now + self.expected_time
    }
}
