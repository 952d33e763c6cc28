//! Responses to `lavenderplank run` that never end, over loopback.

#![expect(clippy::unwrap_used, reason = "a step of a test that fails, fails the test")]

mod support;

use std::{net::SocketAddr, time::Duration};

use assert_matches::assert_matches;
use bytes::Bytes;
use futures::StreamExt;
use http::Method;
use lavenderplank::{
    forward::{Attempt, ForwardError, ForwardLimits, HttpUpstream, Result, TargetBody, Upstream},
    platform::standin::{TargetIdentity, TargetStandin, Unending, UnendingPart},
};

use self::support::raw_target::{
    RawTarget,
    Step::{Hold, ReadAll, Write},
};

const TIMEOUT: Duration = Duration::from_millis(250);
/// Longest wait for the end of a body.
const PATIENCE: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(10);
const SILENCE: Duration = Duration::from_secs(1);

fn read(address: SocketAddr, buffer_response: bool) -> Attempt {
    Attempt {
        address,
        body: Bytes::new(),
        max_connections: 4,
        timeout: TIMEOUT,
        headers: Vec::new(),
        method: Method::GET,
        path: "/files/a".into(),
        is_idempotent: true,
        request: "request-1".into(),
        buffer_response,
    }
}

/// Sends the request and reads the whole response.
async fn body(attempt: Attempt) -> Result<Vec<u8>> {
    let limits = ForwardLimits { stream_silence: SILENCE, ..ForwardLimits::default() };
    let client = HttpUpstream::new(limits);
    let mut chunks = match client.send(attempt).await?.body {
        TargetBody::Stream(chunks) => chunks,
        TargetBody::Whole(body) => return Ok(body.to_vec()),
    };
    let mut body = Vec::new();
    while let Some(chunk) = chunks.next().await {
        body.extend_from_slice(&chunk?);
    }
    Ok(body)
}

/// Guards against a target that holds a slot and a connection for ever with a byte now and then.
#[tokio::test]
async fn a_body_that_drips_without_end_is_cut_after_the_callers_time() {
    let identity = TargetIdentity { id: "t-1", service: "files", zone: "north-a" };
    let target = TargetStandin::spawn(identity).await.unwrap();
    target.set_unending(Some(Unending { part: UnendingPart::Body, pause: PAUSE }));
    for buffer_response in [true, false] {
        let body = body(read(target.addr(), buffer_response));
        let result = tokio::time::timeout(PATIENCE, body).await;
        let result = result.unwrap_or_else(|_| panic!("no end, buffered: {buffer_response}"));
        assert_matches!(result, Err(ForwardError::Timeout { sent: true }), "{buffer_response}");
    }
}

/// Guards against a bound that cuts a file which takes longer than its caller's time for the head.
#[tokio::test]
async fn a_long_file_is_not_cut_after_the_callers_time() {
    let part: &str = "x".repeat(4_096).leak();
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 8192\r\n\r\n";
    let target =
        RawTarget::bind(&[&[ReadAll, Write(head), Write(part), Hold, Write(part), Hold]]).await;
    let (body, ()) = tokio::join!(body(read(target.address, false)), async {
        tokio::time::sleep(2 * TIMEOUT).await;
        target.release();
    });
    assert_eq!(body.unwrap().len(), 8_192);
}
