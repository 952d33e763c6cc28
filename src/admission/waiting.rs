//! Queue of the requests that wait at the owner of a group of targets until a slot is free.
//!
//! Load pattern: bursts of several times the slots, and overload for seconds. Requests that wait in
//! a target's own queue can no longer be reordered, and a queue that only grows makes all of them
//! late.

use super::{
    returns::TICK,
    waiting_order::{Key, Load, WaitingOrder},
};
use crate::{base::invariant, placement::ObjectTag, prelude::*};

/// Wait where there are no slots; long past every deadline.
const NEVER: Duration = Duration::from_secs(3_600);

/// Time for which the shortest time of a caller is remembered.
const LEAST_TIME_MEMORY: Duration = Duration::from_secs(1);

/// A request that waits for a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// Chosen by the caller of the queue, which uses each id once.
    pub id: u64,
    /// The lowest number is the highest priority.
    pub priority: u8,
    pub object: Option<ObjectTag>,
    /// Latest start at which the answer is in time for the caller. A caller from another region has
    /// less time by the round trip.
    pub in_time_until: Moment,
    /// The request must have started before this moment.
    pub leave_at: Moment,
    /// Expected time of work.
    pub run: Duration,
}

/// Why a request may not wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Refused {
    /// So many requests go before this one that it would not start in time.
    #[error("the queue is full; retry after the promised wait")]
    QueueFull,
    /// The answer can no longer be in time, and no slot will be free before `leave_at`.
    #[error("the answer would be late, and no slot is free before the deadline; do not retry")]
    TooLate,
}

/// Orders the requests that wait for the slots of a group, and refuses those that waiting would
/// not help.
///
/// Requests that can be in time go first: by priority, then those whose object the free target has
/// cached, then by arrival. A late request runs only while none of them is waiting.
#[derive(Debug, Default)]
pub struct WaitingQueue {
    capacity: usize,
    /// Last time at which no request that can be in time was waiting.
    clear_at: Moment,
    /// Removed requests, until `expire` returns them.
    left: Vec<Waiting>,
    /// Shortest time to the answer that a caller left lately, and when.
    least_time: (Duration, Moment),
    mean_work: Duration,
    next_sequence: u64,
    objective: Duration,
    order: WaitingOrder,
    slots: f64,
}

impl WaitingQueue {
    /// A queue without room; `set_room` states how many requests may wait.
    pub fn new() -> Self {
        Self::default()
    }

    /// Updates the slots of the group, the mean time of work on a request and the objective of the
    /// service. The queue holds what the slots can start within the objective; requests beyond that
    /// leave with the next `expire`, the last in order first.
    pub fn set_room(&mut self, slots: f64, mean_work: Duration, objective: Duration, now: Moment) {
        self.advance(now);
        let startable = slots * objective.as_secs_f64() / mean_work.as_secs_f64();
        self.capacity = if startable.is_finite() { startable.max(0.0) as usize } else { 0 };
        (self.slots, self.mean_work, self.objective) = (slots, mean_work, objective);
        while self.capacity < self.order.len() {
            self.remove_last();
        }
        self.note_clear(now);
    }

    /// Adds a request for which no slot is free, or says why waiting would not help its caller. If
    /// the queue is at its capacity, the last request in order leaves for one that goes before it.
    pub fn push(&mut self, waiting: Waiting, now: Moment) -> Result<(), Refused> {
        self.push_new(waiting, 0.0, now)
    }

    /// As `push`, for a caller that was not told to come back: `expected` callers that were told to
    /// (see `reserved_span`) go before it.
    pub fn push_new(
        &mut self,
        waiting: Waiting,
        expected: f64,
        now: Moment,
    ) -> Result<(), Refused> {
        self.advance(now);
        let is_late = waiting.in_time_until < now;
        if is_late {
            self.check_late(&waiting, expected, now)?;
        } else {
            self.check_in_time(&waiting, expected, now)?;
        }
        let key = Key { is_late, priority: waiting.priority, sequence: self.next_sequence };
        self.make_room(key)?;
        self.insert(key, waiting);
        Ok(())
    }

    /// Adds a request without any check, to break the invariant in tests.
    #[cfg(test)]
    pub(super) fn push_unchecked(&mut self, waiting: Waiting) {
        let key = Key { is_late: false, priority: waiting.priority, sequence: self.next_sequence };
        self.insert(key, waiting);
    }

    /// Removes and returns the request that starts next on a target with a free slot; `holds` tells
    /// whether the target has an object cached.
    pub fn pop(&mut self, now: Moment, holds: impl Fn(ObjectTag) -> bool) -> Option<Waiting> {
        self.advance(now);
        let popped = self.order.next(holds).and_then(|key| self.order.remove(key));
        self.note_clear(now);
        popped
    }

    /// Removes and returns the requests that will not start: those whose time to leave has come,
    /// those that left for others, and late ones while a standing queue is ahead of them.
    pub fn expire(&mut self, now: Moment) -> Vec<Waiting> {
        self.advance(now);
        while self.is_standing(now) && self.order.last().is_some_and(|key| key.is_late) {
            self.remove_last();
        }
        std::mem::take(&mut self.left)
    }

    /// Removes a request whose caller or host is gone.
    pub fn remove(&mut self, id: u64, now: Moment) -> Option<Waiting> {
        let removed = self.order.find(id).and_then(|key| self.order.remove(key));
        self.note_clear(now);
        removed
    }

    /// When the next request becomes late or leaves: the time for the next `expire`.
    pub fn next_change(&self) -> Option<Moment> {
        self.order.next_change()
    }

    /// How far ahead a new request of the priority leaves room for callers that were told to come
    /// back (see `ReturnSchedule::expected_within`): its wait in a standing queue, else a tick. A
    /// short burst is over before the later ones come.
    pub fn reserved_span(&self, priority: u8, now: Moment) -> Duration {
        let wait = self.wait_behind(self.order.ahead(priority), 0.0);
        if self.is_standing(now) { wait } else { wait.min(TICK) }
    }

    pub fn len(&self) -> usize {
        self.order.len()
    }

    pub fn is_empty(&self) -> bool {
        self.order.len() == 0
    }

    fn check_in_time(
        &mut self,
        waiting: &Waiting,
        expected: f64,
        now: Moment,
    ) -> Result<(), Refused> {
        let time = self.note_time(waiting, now);
        let ahead = self.order.ahead(waiting.priority);
        let start = now + self.wait_behind(ahead, expected);
        // Whatever the estimate, a request that goes first has the best chance that there is.
        let is_first = ahead.requests == 0 && expected <= 0.0;
        if is_first {
            return if start < waiting.leave_at { Ok(()) } else { Err(Refused::TooLate) };
        }
        let in_time_until = waiting.in_time_until.min((now + time).saturating_sub(waiting.run));
        let is_in_time = start <= in_time_until && start < waiting.leave_at;
        if is_in_time { Ok(()) } else { Err(Refused::QueueFull) }
    }

    fn check_late(&self, waiting: &Waiting, expected: f64, now: Moment) -> Result<(), Refused> {
        let start = now + self.wait_behind(self.order.all(), expected);
        if self.is_standing(now) || waiting.leave_at <= start {
            return Err(Refused::TooLate);
        }
        Ok(())
    }

    /// Expected time until a request behind these and the `expected` ones starts, while all slots
    /// are busy.
    ///
    /// The slots become free one by one as the running requests end, and then again as the requests
    /// that were waiting end.
    fn wait_behind(&self, ahead: Load, expected: f64) -> Duration {
        let starts = f64::from(ahead.requests) + expected + 1.0;
        let after_running = starts.min(self.slots);
        let mean_run = ahead.run.checked_div(ahead.requests).unwrap_or(self.mean_work);
        let work = after_running * self.mean_work.as_secs_f64()
            + (starts - after_running) * mean_run.as_secs_f64();
        Duration::try_from_secs_f64(work / self.slots).map_or(NEVER, |wait| wait.min(NEVER))
    }

    /// Whether requests that can be in time have been waiting for as long as the objective. A late
    /// request behind them would wait until it leaves.
    fn is_standing(&self, now: Moment) -> bool {
        self.order.has_in_time() && self.clear_at + self.objective <= now
    }

    /// The time to the answer that requests have which join the queue now: the caller's own, or the
    /// shortest one of the callers if the queue is standing.
    ///
    /// A standing queue is as long as the callers with the most time allow. Callers from other
    /// regions, which have less, would hardly be served.
    fn note_time(&mut self, waiting: &Waiting, now: Moment) -> Duration {
        let time = (waiting.in_time_until + waiting.run).saturating_sub(now);
        let (least, at) = self.least_time;
        if time <= least || at + LEAST_TIME_MEMORY <= now {
            self.least_time = (time.max(self.objective / 2), now);
        }
        if self.is_standing(now) { self.least_time.0 } else { time }
    }

    fn make_room(&mut self, key: Key) -> Result<(), Refused> {
        if self.order.len() < self.capacity {
            return Ok(());
        }
        if self.order.last().is_some_and(|last| key < last) {
            self.remove_last();
            return Ok(());
        }
        Err(if key.is_late { Refused::TooLate } else { Refused::QueueFull })
    }

    fn insert(&mut self, key: Key, waiting: Waiting) {
        self.next_sequence += 1;
        self.order.insert(key, waiting);
        let (len, capacity) = (self.order.len(), self.capacity);
        invariant::check(len <= capacity, "waiting-queue-bounded", || format!("{len} waiting"));
    }

    fn remove_last(&mut self) {
        let removed = self.order.last().and_then(|key| self.order.remove(key));
        self.left.extend(removed);
    }

    fn advance(&mut self, now: Moment) {
        let left = self.order.advance(now);
        self.left.extend(left);
        self.note_clear(now);
    }

    fn note_clear(&mut self, now: Moment) {
        if !self.order.has_in_time() {
            self.clear_at = now;
        }
    }
}
