//! Limits the memory that all request bodies together may take up.
//!
//! The declaration limits the size of each body, but a small host has thousands of connections: if
//! all of them sent the largest body at once, the process would be killed for lack of memory, and
//! every request on it lost.

use std::{cell::Cell, rc::Rc};

const MIB: usize = 1024 * 1024;

/// Largest body, and size of the reserve that one large body at a time may take up.
pub const MAX_BODY_BYTES: usize = 64 * MIB;

/// Bodies of more than this many bytes may take up the reserve.
const LARGE_BODY_BYTES: usize = 4 * MIB;

/// Most bytes of all bodies outside the reserve.
const MAX_SHARED_BYTES: usize = 20 * MIB;

/// Tracks the bytes of all request bodies in memory.
#[derive(Clone, Debug, Default)]
pub struct BodyMemory(Rc<Usage>);

#[derive(Debug, Default)]
struct Usage {
    is_reserve_taken: Cell<bool>,
    /// Bytes outside the reserve.
    shared: Cell<usize>,
}

/// The bytes of one body in memory, released when dropped.
#[derive(Debug)]
pub struct BodyReservation {
    bytes: usize,
    holds_reserve: bool,
    usage: Rc<Usage>,
}

impl BodyMemory {
    /// Whether a body of this size would fit now.
    pub fn has_room(&self, bytes: usize) -> bool {
        let usage = &self.0;
        let has_reserve = LARGE_BODY_BYTES < bytes && !usage.is_reserve_taken.get();
        bytes <= MAX_SHARED_BYTES - usage.shared.get() || (has_reserve && bytes <= MAX_BODY_BYTES)
    }

    /// Starts an empty reservation for one body. It grows as bytes arrive, because the length that
    /// a request states may be far more than what it sends.
    pub fn start_reservation(&self) -> BodyReservation {
        BodyReservation { bytes: 0, holds_reserve: false, usage: self.0.clone() }
    }
}

impl BodyReservation {
    /// Adds newly arrived bytes; false, without adding them, if a limit would be exceeded.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let body = self.bytes.saturating_add(bytes);
        if MAX_BODY_BYTES < body {
            return false;
        }
        let usage = &self.usage;
        if LARGE_BODY_BYTES < body && !self.holds_reserve && !usage.is_reserve_taken.replace(true) {
            usage.shared.set(usage.shared.get() - self.bytes);
            self.holds_reserve = true;
        }
        if !self.holds_reserve {
            let shared = usage.shared.get() + bytes;
            if MAX_SHARED_BYTES < shared {
                return false;
            }
            usage.shared.set(shared);
        }
        self.bytes = body;
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        if self.holds_reserve {
            self.usage.is_reserve_taken.set(false);
        } else {
            self.usage.shared.set(self.usage.shared.get() - self.bytes);
        }
    }
}
