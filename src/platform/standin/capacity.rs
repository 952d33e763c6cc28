//! Slots and queue of a target's stand-in.

use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::{
    net::TcpStream,
    sync::{Semaphore, SemaphorePermit},
};

/// Requests that a target executes and keeps waiting at a time.
#[derive(Debug)]
pub(super) struct Capacity {
    queue: usize,
    slots: Semaphore,
    waiting: AtomicUsize,
}

/// How a request for a slot ended.
pub(super) enum Entry<'a> {
    Full,
    /// The peer has closed the connection while the request waited.
    Left,
    Slot(SemaphorePermit<'a>),
}

/// Counts a request as waiting until dropped.
struct Waiting<'a>(&'a AtomicUsize);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Capacity {
    pub fn new(slots: usize, queue: usize) -> Self {
        Self { queue, slots: Semaphore::new(slots), waiting: AtomicUsize::new(0) }
    }

    /// Waits for a slot if the queue has room.
    pub async fn enter(&self, stream: &TcpStream) -> Entry<'_> {
        if let Ok(slot) = self.slots.try_acquire() {
            return Entry::Slot(slot);
        }
        if self.queue <= self.waiting.fetch_add(1, Ordering::Relaxed) {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return Entry::Full;
        }
        let _waiting = Waiting(&self.waiting);
        tokio::select! {
            slot = self.slots.acquire() => slot.map_or(Entry::Full, Entry::Slot),
            () = has_closed(stream) => Entry::Left,
        }
    }
}

/// Waits until the peer closes the connection.
async fn has_closed(stream: &TcpStream) {
    let mut byte = [0];
    if let Ok(1..) = stream.peek(&mut byte).await {
        // A pipelined request: its sender is there.
        std::future::pending::<()>().await;
    }
}
