use bytes::Bytes;
use futures::{Stream, StreamExt, stream};

use super::*;
use crate::prelude::*;

const LIMITS: IngressLimits = IngressLimits { body_bytes: 8 << 10, connections: 1, silence_ms: 50 };
const TIMEOUT: Duration = Duration::from_secs(10);

type Chunk = std::io::Result<Bytes>;

fn chunk(bytes: usize) -> Chunk {
    Ok(vec![b'x'; bytes].into())
}

/// Returns a stream that waits for `pause` before each chunk.
fn paced(chunks: usize, pause: Duration) -> impl Stream<Item = Chunk> + Send {
    stream::iter(0..chunks).then(move |_| async move {
        tokio::time::sleep(pause).await;
        chunk(1)
    })
}

async fn read_error(body: impl Stream<Item = Chunk> + Send, timeout: Duration) -> ErrorKind {
    let memory = BodyMemory::new(LIMITS);
    read_body(body, 4096, timeout, &memory).await.unwrap_err()
}

// Guards against a caller that occupies memory indefinitely: it stops in the middle of its body, or
// sends it byte by byte without end. It gets `DeadlinePassed`.
#[tokio::test(start_paused = true)]
async fn stalled_and_endless_bodies_time_out() {
    let stalled = stream::iter([chunk(1)]).chain(stream::pending());
    assert_eq!(read_error(stalled, TIMEOUT).await, ErrorKind::DeadlinePassed);
    let endless = paced(1_000_000, Duration::from_millis(40));
    assert_eq!(read_error(endless, TIMEOUT).await, ErrorKind::DeadlinePassed);
    let memory = BodyMemory::new(LIMITS);
    let slow = paced(100, Duration::from_millis(40));
    let (body, _reservation) = read_body(slow, 4096, TIMEOUT, &memory).await.unwrap();
    assert_eq!(body.len(), 100);
}

// Guards against running out of memory when several callers send large bodies at once. The third
// one is refused, and accepted as soon as one of the others has released its memory.
#[tokio::test]
async fn all_bodies_share_one_memory_limit() {
    let memory = BodyMemory::new(LIMITS);
    let send = || read_body(stream::iter([chunk(1000), chunk(3000)]), 4096, TIMEOUT, &memory);
    let (_, first) = send().await.unwrap();
    let (_, _second) = send().await.unwrap();
    assert_eq!(send().await.unwrap_err(), ErrorKind::HostBusy);
    drop(first);
    send().await.unwrap();
}

#[tokio::test]
async fn incomplete_and_oversized_bodies_are_refused() {
    let broken = Err(std::io::ErrorKind::ConnectionReset.into());
    let large = [chunk(4000), chunk(97)];
    let whole = [chunk(4000), chunk(96)];
    assert_eq!(read_error(stream::iter([chunk(9), broken]), TIMEOUT).await, ErrorKind::BadRequest);
    assert_eq!(read_error(stream::iter(large), TIMEOUT).await, ErrorKind::BodyTooLarge);
    let memory = BodyMemory::new(LIMITS);
    let (body, _reservation) =
        read_body(stream::iter(whole), 4096, TIMEOUT, &memory).await.unwrap();
    assert_eq!(body.len(), 4096);
    // Larger than the total memory limit: `HostBusy` would be wrong, since it could never succeed.
    let oversized = read_body(stream::iter([chunk(9000)]), 1 << 20, TIMEOUT, &memory).await;
    assert_eq!(oversized.unwrap_err(), ErrorKind::BodyTooLarge);
}
