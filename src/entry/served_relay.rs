//! Requests that this host serves for hosts that reach no target.

use std::rc::Rc;

use super::TrafficState;

/// Maximum number of requests that this host serves for others at a time. Bounds what they take of
/// its connections and memory.
const MAX_SERVED_RELAYS: usize = 128;

/// Who sent a request to this host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sender {
    Caller,
    /// A host that reaches no target passes on a request of its caller.
    Host,
}

/// Counts a request that this host serves for another until dropped.
pub struct ServedRelay(Rc<TrafficState>);

impl ServedRelay {
    /// `None` if this host has no room: its own callers have precedence.
    pub fn start(state: &Rc<TrafficState>) -> Option<Self> {
        if state.is_strained.get() || MAX_SERVED_RELAYS <= state.served_relays.get() {
            return None;
        }
        state.served_relays.set(state.served_relays.get() + 1);
        Some(Self(state.clone()))
    }
}

impl Drop for ServedRelay {
    fn drop(&mut self) {
        self.0.served_relays.set(self.0.served_relays.get() - 1);
    }
}
