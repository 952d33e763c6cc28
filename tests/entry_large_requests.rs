//! Requests with many headers or a large body, end to end over loopback.

#[path = "support/entry.rs"]
mod support;

use std::time::Duration;

use lavenderplank::{entry::EntryHost, event_log::Event, platform::standin::LinkMode};
use reqwest::Response;
use serde_json::json;
use support::{Ask, HOST, World, booking, config, run, until};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Most headers that a host accepts, with those that every request of these tests has.
const MAX_HEADERS: usize = 1024;

/// Longest wait for an answer that must come before the body was sent.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Wait for a refusal while it is not known whether there is room.
const REFUSAL_WAIT: Duration = Duration::from_millis(500);

/// Refused bodies that are sent.
const UPLOADS: usize = 20;

/// Sends a request with `count` headers in all.
async fn ask_with_headers(world: &World, host: &EntryHost, count: usize) -> Response {
    ask_with_values(world, host, count, "1").await
}

async fn ask_with_values(world: &World, host: &EntryHost, count: usize, value: &str) -> Response {
    let url = format!("http://{}/reads/one", host.listen().callers);
    let mut req = world.http.get(url).header("Host", HOST);
    req = req.header("Accept", "*/*").header("Lavenderplank-Attempt-Id", "r-1");
    for number in 3..count {
        req = req.header(format!("x-{number}"), value);
    }
    req.send().await.expect("an answer")
}

/// Guards against requests that are refused because they have more than 100 headers, although their
/// head is within the declared size.
#[test]
fn a_request_with_many_headers_is_served() {
    run(async {
        let world = World::spawn(&["north-a"]).await;
        let host = world.host("a").await;
        for count in [101, MAX_HEADERS] {
            assert_eq!(ask_with_headers(&world, &host, count).await.status(), 200, "{count}");
        }
        assert_eq!(ask_with_headers(&world, &host, MAX_HEADERS + 1).await.status(), 431);
        let large = "1".repeat(400);
        assert_eq!(ask_with_values(&world, &host, 100, &large).await.status(), 431);
        assert_eq!(world.arrivals(), 2);
    });
}

/// Guards against a request with as many headers as a host accepts that the host which serves it for
/// another one refuses, because of the headers that were added on the way.
#[test]
fn a_relayed_request_with_many_headers_is_served() {
    run(async {
        let world = World::spawn(&["north-a"]).await;
        let (cut, links) = world.host_with_links("a", "north-a").await;
        let _other = world.host("b").await;
        links.set(LinkMode::Reset);
        until("a relayed answer", async || {
            ask_with_headers(&world, &cut, MAX_HEADERS).await.status() == 200
        })
        .await;
        assert!(world.events.has(|event| matches!(event, Event::Relayed { .. })));
    });
}

const MIB: usize = 1024 * 1024;

/// Largest body that a host has memory for.
const MAX_BODY_BYTES: usize = 64 * MIB;

/// A deployment whose configuration allows bodies of this size and the time to send them.
async fn world_with_bodies(max_body_bytes: usize) -> (World, EntryHost) {
    let world = World::bare(&["north-a"]).await;
    let mut config = config(1);
    config["limits"]["maxBodyBytes"] = json!(max_body_bytes);
    config["listeners"][0]["rules"][1]["action"]["timeout"] = json!("60s");
    world.store.put("config", "main", config);
    world.enlist();
    let host = world.host("a").await;
    (world, host)
}

/// A booking with a body of this size.
async fn ask_with_body(world: &World, host: &EntryHost, bytes: usize) -> reqwest::Result<Response> {
    let body = vec![b'x'; bytes];
    world.ask(host, Ask { body: &body, time_left: 60_000, ..booking("b-1") }).await
}

/// Sends the head of a booking that announces a body, and only the beginning of the body.
async fn start_upload(host: &EntryHost, announced: usize, sent: usize) -> TcpStream {
    let mut stream = TcpStream::connect(host.listen().callers).await.expect("a connection");
    let head = format!(
        "POST /bookings/one HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {announced}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("the head is sent");
    stream.write_all(&vec![b'x'; sent]).await.expect("the body is sent");
    stream
}

/// The head of an answer that has to come before the body was sent.
async fn early_answer(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    let read = async {
        while !answer.windows(4).any(|end| end == b"\r\n\r\n") {
            assert_ne!(stream.read_buf(&mut answer).await.expect("an answer"), 0);
        }
    };
    timeout(ANSWER_TIMEOUT, read).await.expect("an answer before the body was sent");
    String::from_utf8_lossy(&answer).to_lowercase()
}

/// Guards against a host that refuses each body of more than 20 MiB, whatever the configuration
/// allows.
#[test]
fn a_body_of_the_declared_size_is_served() {
    run(async {
        let (world, host) = world_with_bodies(MAX_BODY_BYTES).await;
        let answer = ask_with_body(&world, &host, MAX_BODY_BYTES).await.expect("an answer");
        assert_eq!(answer.status(), 200);
        let received = world.targets[0].received();
        assert_eq!(
            received.iter().map(|seen| seen.body.len()).collect::<Vec<_>>(),
            [MAX_BODY_BYTES]
        );
    });
}

/// Guards against callers that send a whole body before they learn that it is too large.
#[test]
fn a_body_over_the_limits_is_refused_before_it_is_sent() {
    run(async {
        for declared in [MIB, 2 * MAX_BODY_BYTES] {
            let (_world, host) = world_with_bodies(declared).await;
            let announced = declared.min(MAX_BODY_BYTES) + 1;
            let answer = early_answer(start_upload(&host, announced, 0).await).await;
            assert!(answer.starts_with("http/1.1 413 "), "{answer}");
        }
    });
}

/// Guards against callers that send a whole body before they learn that a host has no memory for it
/// now, and against other callers that are refused because of one large body.
#[test]
fn a_body_without_room_is_refused_before_it_is_sent() {
    run(async {
        let (world, host) = world_with_bodies(MAX_BODY_BYTES).await;
        let large = start_upload(&host, MAX_BODY_BYTES, 30 * MIB).await;
        until("the large body occupies the memory", async || {
            let answer =
                timeout(REFUSAL_WAIT, early_answer(start_upload(&host, 30 * MIB, 0).await));
            answer.await.is_ok_and(|answer| {
                answer.starts_with("http/1.1 503 ") && answer.contains("\r\nretry-after: ")
            })
        })
        .await;
        let answer = ask_with_body(&world, &host, MIB).await.expect("an answer");
        assert_eq!(answer.status(), 200);
        drop(large);
        until("there is room again", async || {
            let answer = ask_with_body(&world, &host, 30 * MIB).await;
            answer.is_ok_and(|answer| answer.status() == 200)
        })
        .await;
    });
}

/// Guards against callers that are told nothing, since the connection is reset while they still send
/// a body that is refused.
#[test]
fn a_caller_that_sends_a_refused_body_gets_the_answer() {
    run(async {
        let (world, host) = world_with_bodies(MIB).await;
        for _ in 0..UPLOADS {
            let answer = ask_with_body(&world, &host, 8 * MIB).await.expect("an answer");
            assert_eq!(answer.status(), 413);
        }
    });
}
