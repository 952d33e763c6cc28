//! Return times of refused callers, decided by the owner of a group of targets.
//!
//! Load pattern: for seconds, more requests arrive than the slots of the group can start. Callers
//! that choose their own waits come back together, find no slot again and give up, while slots are
//! idle a moment later.

use std::collections::VecDeque;

use super::return_ticks::{ObservedReturns, PRIORITIES, RETURN_SHARE, Tick};
use crate::prelude::*;

/// Unit of time in which room, promises and returns are counted.
pub const TICK: Duration = Duration::from_millis(100);

/// Longest wait that is promised.
pub const MAX_WAIT: Duration = Duration::from_secs(5);

/// Ticks for which promises are recorded: the current one and those of the longest wait.
const TICKS: usize = (MAX_WAIT.as_millis() / TICK.as_millis()) as usize + 1;

/// Most ticks from one call to the next for which returns count as observed. After more, the owner
/// was frozen, or nobody competes for room.
const MAX_OBSERVED_TICKS: u64 = 2;

/// Weight of one tick in the mean number of new requests per tick.
const NEW_REQUESTS_WEIGHT: f64 = 0.1;

/// Tells refused callers when there will be room, and how many of them to expect.
#[derive(Debug)]
pub struct ReturnSchedule {
    /// Number of the first of `ticks` since `Moment::ZERO`.
    current: u64,
    /// New requests that were started or queued per tick, by priority.
    new_requests: [f64; PRIORITIES],
    observed: ObservedReturns,
    /// The tick before the current one, for callers that come late.
    previous: Tick,
    /// Requests that the slots can start per tick.
    room: f64,
    ticks: VecDeque<Tick>,
    /// Requests in the owner's queue.
    waiting: usize,
}

impl Default for ReturnSchedule {
    fn default() -> Self {
        Self {
            current: 0,
            new_requests: [0.0; PRIORITIES],
            observed: ObservedReturns::default(),
            previous: Tick::default(),
            room: 0.0,
            ticks: VecDeque::from([Tick::default(); TICKS]),
            waiting: 0,
        }
    }
}

impl ReturnSchedule {
    /// A schedule without room; `set_room` states how much there is.
    pub fn new() -> Self {
        Self::default()
    }

    /// Updates the number of slots and the mean time of work on a request. Promises that were given
    /// stay; if they exceed the new room, later promises are given for later times.
    pub fn set_room(&mut self, slots: f64, mean_work: Duration, now: Moment) {
        self.advance(now);
        let room = slots * TICK.as_secs_f64() / mean_work.as_secs_f64();
        self.room = if room.is_finite() { room.max(0.0) } else { 0.0 };
    }

    /// A request of a caller that was not told to come back was started or queued. Callers of lower
    /// priority are promised what such requests leave.
    pub fn admitted(&mut self, priority: u8, now: Moment) {
        self.advance(now);
        let admitted = &mut self.ticks[0].new_requests[class(priority)];
        *admitted = admitted.saturating_add(1);
    }

    /// Updates the number of requests in the owner's queue. They use room before callers that are
    /// told to come back.
    pub fn set_waiting(&mut self, waiting: usize) {
        self.waiting = waiting;
    }

    /// The wait for one refused caller, between `earliest` and `latest`; `None` if there will be no
    /// room while the caller waits. Lower numbers of `priority` get earlier times.
    ///
    /// A promise to a caller of higher priority may exceed the room of a tick. Callers of lower
    /// priority that were promised the same tick then count for the following ticks.
    pub fn promise(
        &mut self,
        earliest: Duration,
        latest: Duration,
        priority: u8,
        now: Moment,
    ) -> Option<Duration> {
        self.advance(now);
        let class = class(priority);
        let (earliest, latest) = (now.saturating_add(earliest), now + latest.min(MAX_WAIT));
        let (index, at) = self.first_room(earliest, latest, class, now)?;
        let promised = &mut self.ticks[index].promised[class];
        *promised = promised.saturating_add(1);
        Some(at - now)
    }

    /// A caller that was refused before came back.
    ///
    /// The caller does not say when it was told to come. It counts for the current tick while that
    /// one awaits callers, else for the previous one if fewer came than expected, else as one that
    /// comes early: its promise is withdrawn, so that no room is kept for it later.
    pub fn returned(&mut self, now: Moment) {
        self.advance(now);
        let current = &mut self.ticks[0];
        if current.returned < current.total() {
            current.returned += 1;
            return;
        }
        if 0.0 < self.previous.awaited(PRIORITIES - 1, RETURN_SHARE) {
            self.previous.returned += 1;
            self.observed.record_late();
            return;
        }
        if let Some(tick) = self.ticks.iter_mut().find(|tick| tick.returned < tick.total()) {
            tick.withdraw();
        }
    }

    /// Requests expected to return in the tick of `now`, at most its room. Room is kept for them
    /// before new requests. `now` may be a later moment, up to `MAX_WAIT` ahead.
    pub fn expected(&self, now: Moment) -> f64 {
        self.expected_of(PRIORITIES - 1, now)
    }

    /// Free slots that new requests leave to the callers expected in the tick of `now`: as many as
    /// the slots that become free in the rest of the tick will not suffice for.
    pub fn kept_slots(&self, now: Moment) -> f64 {
        let end = tick_start(tick_number(now) + 1);
        let left = (end - now).as_secs_f64() / TICK.as_secs_f64();
        (self.expected(now) - self.room * left).max(0.0)
    }

    /// Requests of the priority and of higher ones that are expected to return from `now` until
    /// `span` later. A new request leaves room for them in the queue (see
    /// `WaitingQueue::reserved_span`).
    pub fn expected_within(&self, span: Duration, priority: u8, now: Moment) -> f64 {
        let end = now + span.min(MAX_WAIT);
        let in_tick = |number: u64| {
            let (begin, tick_end) = (tick_start(number).max(now), tick_start(number + 1));
            let covered = (end.min(tick_end) - begin).as_secs_f64();
            let expected = self.expected_of(class(priority), begin);
            expected * covered / (tick_end - begin).as_secs_f64()
        };
        (tick_number(now)..=tick_number(end)).map(in_tick).sum()
    }

    /// Number of ticks that are recorded, to check in tests that it stays bounded.
    #[cfg(test)]
    pub(super) fn recorded_ticks(&self) -> usize {
        self.ticks.len()
    }

    fn expected_of(&self, class: usize, at: Moment) -> f64 {
        let index = tick_number(at).checked_sub(self.current);
        let tick = index.and_then(|index| self.ticks.get(usize::try_from(index).ok()?));
        tick.map_or(0.0, |tick| tick.awaited(class, self.observed.share()).min(self.room))
    }

    /// The first tick with room for a caller of the class, and the moment in it.
    ///
    /// Moments are spread over the tick in the order of the promises, so that callers come one by
    /// one as slots become free.
    fn first_room(
        &self,
        earliest: Moment,
        latest: Moment,
        class: usize,
        now: Moment,
    ) -> Option<(usize, Moment)> {
        let share = self.observed.share().max(RETURN_SHARE);
        let room = self.room - self.new_requests[..class].iter().sum::<f64>();
        let mut begin = tick_start(self.current);
        let mut left = (begin + TICK).saturating_sub(now).as_secs_f64() / TICK.as_secs_f64();
        let mut carried = self.waiting as f64;
        for (index, tick) in self.ticks.iter().enumerate() {
            let taken = carried + tick.awaited(class, share);
            let is_possible = 0 < index && earliest < begin + TICK;
            if is_possible && taken < room {
                let at = begin + TICK.mul_f64(taken / room);
                let at = at.max(earliest);
                return (at <= latest).then_some((index, at));
            }
            carried = (taken - room * left).max(0.0);
            left = 1.0;
            begin += TICK;
        }
        None
    }

    /// Moves on to the tick of `now`.
    fn advance(&mut self, now: Moment) {
        let number = tick_number(now);
        let passed = number.saturating_sub(self.current);
        if TICKS as u64 <= passed {
            *self =
                Self { current: number, room: self.room, waiting: self.waiting, ..Self::default() };
            return;
        }
        for _ in 0..passed {
            let ended = self.ticks.pop_front().unwrap_or_default();
            self.ticks.push_back(Tick::default());
            if passed <= MAX_OBSERVED_TICKS {
                self.observe(&ended);
            }
            self.previous = ended;
        }
        self.current = self.current.max(number);
    }

    fn observe(&mut self, ended: &Tick) {
        self.observed.record(ended);
        for (mean, count) in self.new_requests.iter_mut().zip(ended.new_requests) {
            *mean += (f64::from(count) - *mean) * NEW_REQUESTS_WEIGHT;
        }
    }
}

fn class(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}

fn tick_number(at: Moment) -> u64 {
    (at.as_millis() / TICK.as_millis()) as u64
}

fn tick_start(number: u64) -> Moment {
    Duration::from_millis(number.saturating_mul(TICK.as_millis() as u64))
}
