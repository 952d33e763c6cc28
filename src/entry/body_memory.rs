//! How much memory the bodies of requests may take up together.
//!
//! Each body is bounded by what is declared, but a small host has thousands of connections: were
//! all of them to send the largest body at once, the process would be killed for its memory, and
//! every request on it lost.

use std::{cell::Cell, rc::Rc};

/// Most bytes of bodies that are held at once: an eighth of the smallest host's 160 MB, beside some
/// 12 MB that the process takes up in a busy day.
const MAX_TOTAL_BYTES: usize = 20 * 1024 * 1024;

/// Bytes that are held now.
#[derive(Clone, Debug, Default)]
pub struct BodyMemory {
    used: Rc<Cell<usize>>,
}

/// Bytes of one body; dropped, they are free again.
#[derive(Debug)]
pub struct BodyReservation {
    bytes: usize,
    used: Rc<Cell<usize>>,
}

impl BodyMemory {
    /// For one body, of which nothing has arrived yet: what is declared may be far more than comes.
    pub fn start_reservation(&self) -> BodyReservation {
        BodyReservation { bytes: 0, used: self.used.clone() }
    }
}

impl BodyReservation {
    /// More of the body has arrived; false where there is no room for it.
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
