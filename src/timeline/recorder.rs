//! Records the events of one process.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::SystemTime,
};

use super::{
    Event, EventKind, Filter, HybridTime,
    hybrid_clock::HybridClock,
    ring::{Entry, Ring},
};
use crate::prelude::*;

/// Events that a host keeps.
pub const DEFAULT_CAPACITY: usize = 100_000;

/// One look-up in this many is kept: there are so many that they would push all else out.
pub const LOOKUP_SAMPLING: u64 = 256;

/// Takes events. The border between whoever decides and whoever keeps the time line.
pub trait EventSink: Send + Sync {
    /// Takes one event, with the request that it belongs to.
    fn record(&self, request: Option<&RequestId>, kind: EventKind);

    /// Whether events are kept; callers skip the work of building one where they are not.
    fn is_on(&self) -> bool;
}

/// Keeps nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NullSink;

impl EventSink for NullSink {
    fn record(&self, _request: Option<&RequestId>, _kind: EventKind) {}

    fn is_on(&self) -> bool {
        false
    }
}

/// Keeps the newest events of one process in memory.
#[derive(Debug)]
pub struct Recorder {
    host: HostId,
    incarnation: Incarnation,
    lookups: AtomicU64,
    member: MemberId,
    on: bool,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    clock: HybridClock,
    ring: Ring,
}

impl Recorder {
    /// Keeps the newest `capacity` events.
    pub fn new(member: MemberId, host: HostId, incarnation: Incarnation, capacity: usize) -> Self {
        let state = State { clock: HybridClock::default(), ring: Ring::new(capacity) };
        Self {
            host,
            incarnation,
            lookups: AtomicU64::new(0),
            member,
            on: capacity != 0,
            state: Mutex::new(state),
        }
    }

    /// Keeps nothing.
    pub fn off() -> Self {
        Self::new("".into(), "".into(), 0, 0)
    }

    /// The events that meet `filter`, oldest first, one page of them.
    pub fn events(&self, filter: &Filter) -> Vec<Event> {
        let state = self.state();
        state
            .ring
            .since(filter.from.unwrap_or_default())
            .map(|entry| self.event(entry))
            .filter(|event| filter.accepts(event))
            .take(filter.page())
            .collect()
    }

    /// Number of events dropped for newer ones.
    pub fn dropped(&self) -> u64 {
        self.state().ring.dropped()
    }

    /// The time to send along with a message, so that its receiver's events come after it.
    pub fn stamp(&self) -> HybridTime {
        self.state().clock.tick(wall_millis())
    }

    /// Takes in the time that came with a message.
    pub fn observe(&self, remote: HybridTime) {
        self.state().clock.observe(remote, wall_millis());
    }

    fn event(&self, entry: &Entry) -> Event {
        Event {
            at: entry.at,
            host: self.host.clone(),
            incarnation: self.incarnation,
            kind: entry.kind.clone(),
            member: self.member.clone(),
            request: entry.request.clone(),
        }
    }

    fn is_sampled(&self, kind: &EventKind) -> bool {
        if !matches!(kind, EventKind::LookedUp { .. }) {
            return true;
        }
        self.lookups.fetch_add(1, Ordering::Relaxed).is_multiple_of(LOOKUP_SAMPLING)
    }

    /// The state, also after a panic of another holder: each change to it is complete in itself.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EventSink for Recorder {
    fn record(&self, request: Option<&RequestId>, kind: EventKind) {
        if !self.on || !self.is_sampled(&kind) {
            return;
        }
        let wall = wall_millis();
        let mut state = self.state();
        let at = state.clock.tick(wall);
        state.ring.push(Entry { at, kind, request: request.cloned() });
    }

    fn is_on(&self) -> bool {
        self.on
    }
}

fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}
