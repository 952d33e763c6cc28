//! Limits the memory that all request bodies together may take up.
//!
//! The declaration limits the size of each body, but a small host has thousands of connections: if
//! all of them sent the largest body at once, the process would be killed for lack of memory, and
//! every request on it lost.

use std::{cell::Cell, rc::Rc};

/// An eighth of the smallest host's 160 MB; the process itself takes up about 12 MB under high
/// load.
const MAX_TOTAL_BYTES: usize = 20 * 1024 * 1024;

/// Tracks the bytes of all request bodies in memory.
#[derive(Clone, Debug, Default)]
pub struct BodyMemory {
    used: Rc<Cell<usize>>,
}

/// The bytes of one body in memory, released when dropped.
#[derive(Debug)]
pub struct BodyReservation {
    bytes: usize,
    used: Rc<Cell<usize>>,
}

impl BodyMemory {
    /// Starts an empty reservation for one body. It grows as bytes arrive, because the length that
    /// a request states may be far more than what it sends.
    pub fn start_reservation(&self) -> BodyReservation {
        BodyReservation { bytes: 0, used: self.used.clone() }
    }
}

impl BodyReservation {
    /// Adds newly arrived bytes; false, without adding them, if the limit would be exceeded.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let total = self.used.get().saturating_add(bytes);
        if MAX_TOTAL_BYTES < total {
            return false;
        }
        self.used.set(total);
        self.bytes += bytes;
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.used.set(self.used.get() - self.bytes);
    }
}
