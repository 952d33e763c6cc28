//! Bounds the connections to each address.

use std::sync::Mutex;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::prelude::*;

/// The right to one connection; given back on drop.
pub(super) type Permit = OwnedSemaphorePermit;

/// One semaphore an address.
#[derive(Debug, Default)]
pub(super) struct Gates {
    by_address: Mutex<BTreeMap<SocketAddr, Gate>>,
}

#[derive(Clone, Debug)]
struct Gate {
    permits: Arc<Semaphore>,
    size: u32,
}

impl Gates {
    /// Waits for a connection to `address` to be allowed, of at most `most` at the same time.
    pub(super) async fn enter(&self, address: SocketAddr, most: u32) -> Permit {
        let permits = self.gate(address, most.max(1));
        permits.acquire_owned().await.expect("the semaphore is never closed")
    }

    fn gate(&self, address: SocketAddr, size: u32) -> Arc<Semaphore> {
        let mut gates = self.by_address.lock().expect("no holder of this lock panics");
        gates.retain(|at, gate| *at == address || gate.in_use());
        let gate = gates.entry(address).or_insert_with(|| Gate::new(size));
        if gate.size != size {
            *gate = Gate::new(size);
        }
        gate.permits.clone()
    }
}

impl Gate {
    fn new(size: u32) -> Self {
        Self { permits: Arc::new(Semaphore::new(size as usize)), size }
    }

    fn in_use(&self) -> bool {
        1 < Arc::strong_count(&self.permits)
            || self.permits.available_permits() < self.size as usize
    }
}
