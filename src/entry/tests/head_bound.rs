//! Bounds of the heads of responses.

use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};

use crate::{
    entry::head_bound::{HeadBound, StreamState},
    prelude::*,
};

const FIRST_HALF: &[u8] = b"HTTP/1.1 200 OK\r\n";
const SECOND_HALF: &[u8] = b"Content-Length: 0\r\n\r\n";
/// Longer than a head may take.
const FROZEN: Duration = Duration::from_secs(2);

/// A connection on which the first half of an awaited head was read, and its server.
async fn half_read() -> (HeadBound, DuplexStream, Rc<StreamState>) {
    let (stream, mut server) = tokio::io::duplex(1_024);
    let (mut bound, state) = HeadBound::new(Box::new(stream));
    state.head_awaited.set(Some(1));
    server.write_all(FIRST_HALF).await.expect("room");
    assert_eq!(read(&mut bound).await.expect("the first half"), FIRST_HALF);
    (bound, server, state)
}

async fn read(bound: &mut HeadBound) -> std::io::Result<Vec<u8>> {
    let mut buf = vec![0; 256];
    let len = bound.read(&mut buf).await?;
    buf.truncate(len);
    Ok(buf)
}

/// Guards against an attempt that is lost because its host was frozen while the head arrived: the time
/// of the head is over at wake-up, although all of its bytes wait to be read.
#[tokio::test(start_paused = true)]
async fn a_head_that_arrived_while_the_host_was_frozen_is_read() {
    let (mut bound, mut server, _state) = half_read().await;
    server.write_all(SECOND_HALF).await.expect("room");
    tokio::time::advance(FROZEN).await;
    assert_eq!(read(&mut bound).await.expect("the second half"), SECOND_HALF);
}

/// Guards against a head without end that gets more time because some of its bytes wait to be read.
#[tokio::test(start_paused = true)]
async fn a_late_head_ends_with_the_bytes_that_wait() {
    let (mut bound, mut server, _state) = half_read().await;
    server.write_all(b"X-Filler: x\r\n").await.expect("room");
    tokio::time::advance(FROZEN).await;
    read(&mut bound).await.expect("what waits");
    read(&mut bound).await.expect_err("the head is late");
}
