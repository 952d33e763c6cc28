//! Reads request bodies within the memory that is set aside for them.

use bytes::{Buf, Bytes, BytesMut};
use futures::{Stream, StreamExt};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::Instant,
};

use super::IngressLimits;
use crate::prelude::*;

/// Result of reading a body; an error is what its caller is told.
pub type Result<T> = std::result::Result<T, ErrorKind>;

/// Bytes that one permit stands for.
const BYTES_PER_PERMIT: u64 = 1024;

/// Memory for the bodies of all requests of a host.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    limits: IngressLimits,
    room: Arc<Semaphore>,
}

/// Memory that one body takes; dropping it gives the memory back.
#[derive(Debug, Default)]
pub struct BodyReservation(Option<OwnedSemaphorePermit>);

impl BodyMemory {
    /// All of it free.
    pub fn new(limits: IngressLimits) -> Self {
        let grains = usize::try_from(limits.body_bytes / BYTES_PER_PERMIT).unwrap_or(usize::MAX);
        Self { limits, room: Arc::new(Semaphore::new(grains.min(Semaphore::MAX_PERMITS))) }
    }

    /// Makes `hold` cover a body of `bytes`.
    ///
    /// A burst of large bodies would otherwise end the process for want of memory, with every
    /// request in flight. The one that finds no room is refused at once: waiting for it, while
    /// holding some, could leave all of them waiting for each other.
    fn cover(&self, hold: &mut BodyReservation, bytes: usize) -> Result<()> {
        let held = hold.0.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let lacking = bytes.div_ceil(BYTES_PER_PERMIT as usize).saturating_sub(held);
        let lacking = u32::try_from(lacking).map_err(|_| ErrorKind::HostBusy)?;
        let more = self.room.clone().try_acquire_many_owned(lacking);
        let more = more.map_err(|_| ErrorKind::HostBusy)?;
        match &mut hold.0 {
            Some(permit) => permit.merge(more),
            None => hold.0 = Some(more),
        }
        Ok(())
    }
}

/// Reads the whole body, of `limit` bytes at most, before anything is sent on: this copy was then
/// not run if it breaks off.
///
/// A caller that stops in the middle, or is not done within `time`, is told `DeadlinePassed`; else
/// its body would hold its memory for ever.
pub async fn read_body<S, B, E>(
    body: S,
    limit: u64,
    time: Duration,
    memory: &BodyMemory,
) -> Result<(Bytes, BodyReservation)>
where
    S: Stream<Item = std::result::Result<B, E>> + Send,
    B: Buf,
{
    let limit = limit.min(memory.limits.body_bytes);
    let end = Instant::now() + time;
    let (mut hold, mut whole) = (BodyReservation::default(), BytesMut::new());
    let mut body = std::pin::pin!(body);
    loop {
        let silent = (Instant::now() + memory.limits.idle_timeout()).min(end);
        let next = tokio::time::timeout_at(silent, body.next()).await;
        let Some(chunk) = next.map_err(|_| ErrorKind::DeadlinePassed)? else { break };
        let mut chunk = chunk.map_err(|_| ErrorKind::BadRequest)?;
        let bytes = whole.len() + chunk.remaining();
        if limit < bytes as u64 {
            return Err(ErrorKind::BodyTooLarge);
        }
        memory.cover(&mut hold, bytes)?;
        whole.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
    }
    Ok((whole.freeze(), hold))
}
