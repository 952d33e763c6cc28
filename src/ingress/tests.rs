use bytes::Bytes;
use futures::{Stream, StreamExt, stream};

use super::*;
use crate::prelude::*;

const LIMITS: IngressLimits = IngressLimits { body_bytes: 8 << 10, connections: 1, silence_ms: 50 };
const TIME: Duration = Duration::from_secs(10);

type Chunk = std::io::Result<Bytes>;

fn chunk(bytes: usize) -> Chunk {
    Ok(vec![b'x'; bytes].into())
}

/// Chunks that come one after the other, each after a pause.
fn paced(chunks: usize, pause: Duration) -> impl Stream<Item = Chunk> + Send {
    stream::iter(0..chunks).then(move |_| async move {
        tokio::time::sleep(pause).await;
        chunk(1)
    })
}

async fn told(body: impl Stream<Item = Chunk> + Send, time: Duration) -> ErrorKind {
    let memory = BodyMemory::new(LIMITS);
    read_body(body, 4096, time, &memory).await.unwrap_err()
}

// A caller stops in the middle of its body, or sends it byte by byte and never comes to an end.
// It must not hold memory for ever: it is told that its time has passed, and nothing was sent on.
#[tokio::test(start_paused = true)]
async fn a_body_that_does_not_come_is_given_up() {
    let silent = stream::iter([chunk(1)]).chain(stream::pending());
    assert_eq!(told(silent, TIME).await, ErrorKind::DeadlinePassed);
    let trickle = paced(1_000_000, Duration::from_millis(40));
    assert_eq!(told(trickle, TIME).await, ErrorKind::DeadlinePassed);
    let memory = BodyMemory::new(LIMITS);
    let slow = paced(100, Duration::from_millis(40));
    let (body, _hold) = read_body(slow, 4096, TIME, &memory).await.unwrap();
    assert_eq!(body.len(), 100);
}

// Two callers send large bodies at once, and a third one as well. The third is refused before the
// host runs out of memory, and is served as soon as one of the others is.
#[tokio::test]
async fn bodies_share_one_memory() {
    let memory = BodyMemory::new(LIMITS);
    let send = || read_body(stream::iter([chunk(1000), chunk(3000)]), 4096, TIME, &memory);
    let (_, first) = send().await.unwrap();
    let (_, _second) = send().await.unwrap();
    assert_eq!(send().await.unwrap_err(), ErrorKind::HostBusy);
    drop(first);
    send().await.unwrap();
}

#[tokio::test]
async fn a_body_is_read_whole_or_refused() {
    let torn = Err(std::io::ErrorKind::ConnectionReset.into());
    let large = [chunk(4000), chunk(97)];
    let whole = [chunk(4000), chunk(96)];
    assert_eq!(told(stream::iter([chunk(9), torn]), TIME).await, ErrorKind::BadRequest);
    assert_eq!(told(stream::iter(large), TIME).await, ErrorKind::BodyTooLarge);
    let memory = BodyMemory::new(LIMITS);
    let (body, _hold) = read_body(stream::iter(whole), 4096, TIME, &memory).await.unwrap();
    assert_eq!(body.len(), 4096);
    // Larger than all the memory: it would be refused as busy for ever.
    let huge = read_body(stream::iter([chunk(9000)]), 1 << 20, TIME, &memory).await;
    assert_eq!(huge.unwrap_err(), ErrorKind::BodyTooLarge);
}
