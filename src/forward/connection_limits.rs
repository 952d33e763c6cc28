//! Limits the number of concurrent connections to each address.

use std::sync::Mutex;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::prelude::*;

/// Permit for one connection; released on drop.
pub(super) type Permit = OwnedSemaphorePermit;

/// One semaphore for each address.
#[derive(Debug, Default)]
pub(super) struct ConnectionLimits {
    by_address: Mutex<BTreeMap<SocketAddr, AddressLimit>>,
}

#[derive(Clone, Debug)]
struct AddressLimit {
    permits: Arc<Semaphore>,
    limit: u32,
}

impl ConnectionLimits {
    /// Waits for a permit for a connection to `address`, with at most `limit` permits in use at
    /// once.
    pub(super) async fn acquire(&self, address: SocketAddr, limit: u32) -> Permit {
        let permits = self.semaphore(address, limit.max(1));
        permits.acquire_owned().await.expect("the semaphore is never closed")
    }

    fn semaphore(&self, address: SocketAddr, limit: u32) -> Arc<Semaphore> {
        let mut limits = self.by_address.lock().expect("no holder of this lock panics");
        limits.retain(|key, entry| *key == address || entry.in_use());
        let entry = limits.entry(address).or_insert_with(|| AddressLimit::new(limit));
        if entry.limit != limit {
            *entry = AddressLimit::new(limit);
        }
        entry.permits.clone()
    }
}

impl AddressLimit {
    fn new(limit: u32) -> Self {
        Self { permits: Arc::new(Semaphore::new(limit as usize)), limit }
    }

    fn in_use(&self) -> bool {
        1 < Arc::strong_count(&self.permits)
            || self.permits.available_permits() < self.limit as usize
    }
}
