//! Reads request bodies within a limit on their total memory.

use bytes::{Buf, Bytes, BytesMut};
use futures::{Stream, StreamExt};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::Instant,
};

use super::IngressLimits;
use crate::prelude::*;

/// Result of reading a body; an error is the kind to report to the caller.
pub type Result<T> = std::result::Result<T, ErrorKind>;

/// Bytes of memory for each permit of the semaphore.
const BYTES_PER_PERMIT: u64 = 1024;

/// Memory limit for the bodies of all requests of a host.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    limits: IngressLimits,
    permits: Arc<Semaphore>,
}

/// Memory reserved for one body; released on drop.
#[derive(Debug, Default)]
pub struct BodyReservation(Option<OwnedSemaphorePermit>);

impl BodyMemory {
    /// Creates the limit with no memory reserved.
    pub fn new(limits: IngressLimits) -> Self {
        let permits = usize::try_from(limits.body_bytes / BYTES_PER_PERMIT).unwrap_or(usize::MAX);
        Self { limits, permits: Arc::new(Semaphore::new(permits.min(Semaphore::MAX_PERMITS))) }
    }

    /// Extends `reservation` to cover a body of `bytes`.
    ///
    /// Without the limit, a burst of large bodies could exhaust the memory of the process and abort
    /// all requests in flight. A body that exceeds the limit is refused at once: if bodies waited
    /// for memory while holding some, they could deadlock.
    fn reserve(&self, reservation: &mut BodyReservation, bytes: usize) -> Result<()> {
        let reserved = reservation.0.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let missing = bytes.div_ceil(BYTES_PER_PERMIT as usize).saturating_sub(reserved);
        let missing = u32::try_from(missing).map_err(|_| ErrorKind::HostBusy)?;
        let more = self.permits.clone().try_acquire_many_owned(missing);
        let more = more.map_err(|_| ErrorKind::HostBusy)?;
        match &mut reservation.0 {
            Some(permit) => permit.merge(more),
            None => reservation.0 = Some(more),
        }
        Ok(())
    }
}

/// Reads a whole body of at most `limit` bytes. Nothing is forwarded before it is complete, so that
/// an incomplete request is known not to have run.
///
/// Returns `DeadlinePassed` if the caller stops sending for longer than the idle timeout or is not
/// done within `timeout`; otherwise its body could occupy memory indefinitely.
pub async fn read_body<S, B, E>(
    body: S,
    limit: u64,
    timeout: Duration,
    memory: &BodyMemory,
) -> Result<(Bytes, BodyReservation)>
where
    S: Stream<Item = std::result::Result<B, E>> + Send,
    B: Buf,
{
    let limit = limit.min(memory.limits.body_bytes);
    let deadline = Instant::now() + timeout;
    let (mut reservation, mut whole) = (BodyReservation::default(), BytesMut::new());
    let mut body = std::pin::pin!(body);
    loop {
        let read_deadline = (Instant::now() + memory.limits.idle_timeout()).min(deadline);
        let next = tokio::time::timeout_at(read_deadline, body.next()).await;
        let Some(chunk) = next.map_err(|_| ErrorKind::DeadlinePassed)? else { break };
        let mut chunk = chunk.map_err(|_| ErrorKind::BadRequest)?;
        let bytes = whole.len() + chunk.remaining();
        if limit < bytes as u64 {
            return Err(ErrorKind::BodyTooLarge);
        }
        memory.reserve(&mut reservation, bytes)?;
        whole.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
    }
    Ok((whole.freeze(), reservation))
}
