//! Responses with wrong heads to `lavenderplank run` and to the clients of the store, over loopback.

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use futures::StreamExt;
use http::Method;
use lavenderplank::{
    forward::{Attempt, ForwardError, ForwardLimits, HttpUpstream, TargetBody, Upstream},
    platform::{
        ObjectStore,
        standin::{Rewrite, TargetIdentity, TargetStandin},
    },
    store::{Expect, HttpPlatform, Platform, PlatformError},
};
use serde_json::json;

/// A body that arrives with its head, and larger ones.
const BODY_SIZES: [usize; 3] = [36, 2_000, 90_000];

const TIMEOUT: Duration = Duration::from_millis(500);

/// Responses to the methods of requests, read whole or as a stream.
const WAYS: [(Method, bool); 4] =
    [(Method::GET, true), (Method::GET, false), (Method::POST, true), (Method::POST, false)];

/// Guards against a target's or another host's `Content-Length` that is too small and yields a complete
/// response with a part of the body.
#[tokio::test]
async fn a_length_that_is_too_small_yields_no_complete_body() {
    let target = standin().await;
    for size in BODY_SIZES {
        target.set_response_body(vec![b'x'; size]);
        for stated in [size - 1, size - 5, size / 10, 0] {
            let stated = format!("Content-Length: {stated}");
            never_whole(&target, &Rewrite::new(format!("Content-Length: {size}"), stated)).await;
        }
    }
}

/// Guards against heads that state a body in a way that readers disagree on, or not at all.
#[tokio::test]
async fn a_body_without_a_reliable_length_is_not_passed_on() {
    let target = standin().await;
    let length = "Content-Length: 11";
    for fields in [
        "Content-Length: 11, 11",
        "Content-Length: 11\r\nContent-Length: 11",
        "Content-Length: 11\r\nTransfer-Encoding: chunkes",
        "Content-Length: 11\r\nTransfer-Encoding: identity",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
        "Transfer-Encodin: chunked",
        "\r\nContent-Length: 11",
    ] {
        never_whole(&target, &Rewrite::new(length, fields)).await;
    }
    let both = format!("{length}\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n");
    let both = Rewrite::new(format!("{length}\r\n\r\n"), both).with_end("\r\n0\r\n\r\n");
    never_whole(&target, &both).await;
}

/// Guards against a status that loses the body (204, 205, 304), ends HTTP on the connection (101), or
/// is none.
#[tokio::test]
async fn a_status_that_cannot_be_the_targets_is_not_passed_on() {
    let target = standin().await;
    for status in ["101", "103", "204", "205", "304", "600", "999", "000", "099", "20", "2x0", ""] {
        never_whole(&target, &Rewrite::new(" 200 ", format!(" {status} "))).await;
    }
}

/// Guards against lines of a head that are no fields, and that are passed on or hide a length.
#[tokio::test]
async fn a_line_that_is_no_field_is_not_passed_on() {
    let target = standin().await;
    let length = "Content-Length: 11";
    for line in ["word", ": value", " folded", "na me: value", "na\u{1}me: value", "na\u{0}me: 1"] {
        never_whole(&target, &Rewrite::new(length, format!("{line}\r\n{length}"))).await;
        never_whole(&target, &Rewrite::new(length, line)).await;
    }
}

/// Guards against checks that reject responses which HTTP allows, also on connections that are kept.
#[tokio::test]
async fn sound_responses_are_passed_on() {
    let target = standin().await;
    let chunked = "Transfer-Encoding: chunked\r\n\r\nb\r\n";
    let chunked = Rewrite::new("Content-Length: 11\r\n\r\n", chunked).with_end("\r\n0\r\n\r\n");
    let client = HttpUpstream::new(ForwardLimits::default());
    for rewrite in [Rewrite::default(), chunked, Rewrite::new("HTTP/1.1", "HTTP/1.0")] {
        for in_pieces in [false, true] {
            target.set_rewrite(Some(Rewrite { in_pieces, ..rewrite.clone() }));
            for (method, buffer_response) in WAYS {
                let attempt = attempt(&target, method, buffer_response);
                assert_eq!(whole(&client, attempt).await, Ok("hello world".into()), "{rewrite:?}");
            }
        }
    }
}

/// Guards against responses to `HEAD` whose stated length is taken for that of a body, and loses the
/// responses behind them.
#[tokio::test]
async fn responses_to_head_have_no_body() {
    let target = standin().await;
    target.set_response_body("");
    target.set_rewrite(Some(Rewrite::new("Content-Length: 0", "Content-Length: 11")));
    let client = HttpUpstream::new(ForwardLimits::default());
    for _ in 0..3 {
        let attempt = attempt(&target, Method::HEAD, true);
        assert_eq!(whole(&client, attempt).await, Ok(Bytes::new()));
    }
    let connections: Vec<_> = target.received().iter().map(|it| it.connection).collect();
    assert_eq!(connections, [1, 1, 1]);
}

/// Guards against an object of the store that is read in part because its response states too small a
/// length.
#[tokio::test]
async fn an_object_that_is_longer_than_stated_is_not_read_in_part() {
    let store = standin().await;
    let head = "Object-Version: 3\r\nObject-Operation: w-1\r\n";
    store.set_response_body("first line\nsecond line\n");
    for stated in ["22", "11", "2", "0", "23, 23"] {
        let fields = format!("{head}Content-Length: {stated}");
        store.set_rewrite(Some(Rewrite::new("Content-Length: 23", fields)));
        let result = HttpPlatform::new(store.addr()).get("a/b").await;
        assert_matches!(result, Err(PlatformError::Unavailable { .. }), "{stated}");
    }
    store.set_rewrite(Some(Rewrite::new("Content-Length", format!("{head}Content-Length"))));
    let object = HttpPlatform::new(store.addr()).get("a/b").await.expect("an object");
    assert_eq!(object.expect("an object").value, "first line\nsecond line\n");
}

/// Guards against a listing of the store's objects that is read in part.
#[tokio::test]
async fn a_listing_that_is_longer_than_stated_is_not_read_in_part() {
    let store = standin().await;
    let object = json!({ "metadata": { "name": "a", "revision": 3 }, "spec": {}, "status": {} });
    let page = json!({ "currentRev": 3, "hasMore": false, "items": [object] }).to_string();
    store.set_response_body(page.clone());
    let length = page.len();
    for stated in [length - 1, length - 5, length / 10, 0] {
        let stated = format!("Content-Length: {stated}");
        store.set_rewrite(Some(Rewrite::new(format!("Content-Length: {length}"), stated)));
        let client = ObjectStore::new(store.addr());
        client.list("servers").await.expect_err("a part");
        client.list_allow_stale("servers").await.expect_err("a part");
        client.watch("servers", 1, TIMEOUT).await.expect_err("a part");
    }
    store.set_rewrite(None);
    let listing = ObjectStore::new(store.addr()).list("servers").await.expect("a listing");
    assert_eq!(listing.entries.len(), 1);
}

/// Guards against an object whose name hides all objects on the later pages of a listing.
#[tokio::test]
async fn a_listing_goes_on_behind_any_name() {
    let store = standin().await;
    let object = json!({ "metadata": { "name": "a b<c>\u{fffd}", "revision": 3 }, "spec": {} });
    let page = json!({ "currentRev": 3, "hasMore": true, "items": [object] }).to_string();
    store.set_response_body(page);
    let client = ObjectStore::new(store.addr());
    let list = tokio::time::timeout(TIMEOUT, client.list("servers"));
    // The same page comes again and again.
    let _ = list.await;
    assert!(1 < store.received().len());
}

/// Guards against a write whose response can't be relied on, and that counts as refused: it may have
/// been applied.
#[tokio::test]
async fn a_write_with_a_broken_response_may_have_been_applied() {
    let store = standin().await;
    for rewrite in [
        Rewrite::new(" 200 ", " 101 "),
        Rewrite::new(" 200 ", " 204 "),
        Rewrite::new(" 200 ", " 304 "),
        Rewrite::new(" 200 ", " 600 "),
        Rewrite::new(" 200 OK", " 503 Out of service").with_end("surplus"),
        Rewrite::new(" 200 OK", " 409 Conflict").with_end("surplus"),
        Rewrite::new("Content-Length: 11", "Content-Length: 0"),
    ] {
        store.set_rewrite(Some(rewrite.clone()));
        let client = ObjectStore::new(store.addr());
        let value = Bytes::from_static(b"{}");
        let result = client.put("servers/a", Expect::Absent, value, "w-1".into()).await;
        let error = result.expect_err("a broken response");
        assert!(error.may_have_applied(), "{rewrite:?}: {error}");
    }
}

async fn standin() -> TargetStandin {
    let identity = TargetIdentity { id: "t-1", service: "desk", zone: "north-a" };
    let standin = TargetStandin::spawn(identity).await.expect("a free port");
    standin.set_response_body("hello world");
    standin
}

fn attempt(target: &TargetStandin, method: Method, buffer_response: bool) -> Attempt {
    Attempt {
        address: target.addr(),
        body: Bytes::new(),
        max_connections: 4,
        timeout: TIMEOUT,
        headers: Vec::new(),
        is_idempotent: method == Method::GET || method == Method::HEAD,
        method,
        path: "/files/a".into(),
        request: "request-1".into(),
        buffer_response,
    }
}

/// The whole body of the response to a request.
async fn whole(client: &HttpUpstream, attempt: Attempt) -> Result<Bytes, ForwardError> {
    let mut chunks = match client.send(attempt).await?.body {
        TargetBody::Stream(chunks) => chunks,
        TargetBody::Whole(body) => return Ok(body),
    };
    let mut body = Vec::new();
    while let Some(chunk) = chunks.next().await {
        body.extend_from_slice(&chunk?);
    }
    Ok(body.into())
}

/// No way of reading takes the response for a complete one.
async fn never_whole(target: &TargetStandin, rewrite: &Rewrite) {
    for (method, buffer_response) in WAYS {
        for (closes, in_pieces) in [(false, false), (true, false), (true, true)] {
            let rewrite = Rewrite { closes, in_pieces, ..rewrite.clone() };
            target.set_rewrite(Some(rewrite.clone()));
            let client =
                HttpUpstream::new(ForwardLimits { stream_silence: TIMEOUT, ..Default::default() });
            let result = whole(&client, attempt(target, method.clone(), buffer_response)).await;
            assert!(result.is_err(), "{rewrite:?}: {method}, {buffer_response}: {result:?}");
        }
    }
}
