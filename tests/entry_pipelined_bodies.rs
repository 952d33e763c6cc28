//! Pipelined requests with bodies, end to end over loopback.

#[path = "support/entry.rs"]
mod support;

use std::time::Duration;

use support::{HOST, World, run, until};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Processing time of the targets: the requests behind one are read while it is served.
const PROCESSING_TIME: Duration = Duration::from_millis(200);

/// Headers of a GET request whose body is a request, `N` bytes long.
const LENGTHS: [&str; 9] = [
    "Content-Length: 0\r\nContent-Length: N\r\n",
    "Content-Length: 00\r\nContent-Length: N\r\n",
    "Content-Length: N\r\nContent-Length: 0\r\n",
    "Content-Length: +0\r\n",
    "Content-Length: 0, N\r\n",
    "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: identity\r\n",
    "Host: other.example\r\nContent-Length: N\r\n",
    "Content-Length: N\r\n",
];

fn request(id: &str, lines: &str) -> String {
    format!(
        "GET /reads/one HTTP/1.1\r\nHost: {HOST}\r\nLavenderplank-Attempt-Id: {id}\r\n{lines}\r\n"
    )
}

async fn connect_and_send(world: &World, text: &str) -> TcpStream {
    let host = world.host("a").await;
    world.targets[0].set_processing_time(PROCESSING_TIME);
    let mut stream = TcpStream::connect(host.listen().callers).await.expect("the host listens");
    stream.write_all(text.as_bytes()).await.expect("the connection is open");
    let mut received = Vec::new();
    let reading = stream.read_to_end(&mut received);
    // The host keeps the connection open behind requests that it serves.
    let _ = tokio::time::timeout(10 * PROCESSING_TIME, reading).await;
    stream
}

/// Attempt ids that the target received, in order.
fn passed_on(world: &World) -> Vec<String> {
    let received = world.targets[0].received();
    received.into_iter().map(|request| request.attempt_id).collect()
}

/// Guards against targets that run a request which is the body of another one.
#[test]
fn a_request_in_the_body_of_another_one_does_not_run() {
    run(async {
        for lines in LENGTHS {
            let world = World::spawn(&["north-a"]).await;
            let hidden = request("hidden", "");
            let lines = lines.replace('N', &hidden.len().to_string());
            let text = request("first", "") + &request("outer", &lines) + &hidden;
            let _stream = connect_and_send(&world, &text).await;
            let passed_on = passed_on(&world);
            assert_eq!(passed_on.first().map(String::as_str), Some("first"), "{lines}");
            assert!(!passed_on.iter().any(|id| id == "hidden"), "{lines}");
        }
    });
}

/// Guards against targets that work on requests which are never answered, because the connection is
/// closed in front of them.
#[test]
fn nothing_is_passed_on_behind_a_request_that_closes_the_connection() {
    run(async {
        let world = World::spawn(&["north-a"]).await;
        let text = request("first", "") + &request("last", "Connection: close\r\n");
        let _stream = connect_and_send(&world, &(text + &request("behind", ""))).await;
        assert_eq!(passed_on(&world), ["first", "last"]);
    });
}

/// Guards against a request with two hosts that is served for the first one.
#[test]
fn a_request_with_two_hosts_is_refused() {
    run(async {
        let world = World::spawn(&["north-a"]).await;
        let host = world.host("a").await;
        let mut stream = TcpStream::connect(host.listen().callers).await.expect("the host listens");
        let text = request("two", "Host: other.example\r\n");
        stream.write_all(text.as_bytes()).await.expect("the connection is open");
        let mut received = Vec::new();
        until("the response arrives", async || {
            stream.read_buf(&mut received).await.expect("the connection is open");
            received.ends_with(b"\r\n\r\n") || 12 < received.len()
        })
        .await;
        assert!(received.starts_with(b"HTTP/1.1 400 "), "{}", String::from_utf8_lossy(&received));
        assert_eq!(passed_on(&world), [""; 0]);
    });
}

/// Guards against pipelined requests that wait for those ahead of them: they are started early.
#[test]
fn plain_pipelined_requests_run_side_by_side() {
    run(async {
        let world = World::spawn(&["north-a"]).await;
        let host = world.host("a").await;
        world.targets[0].set_processing_time(PROCESSING_TIME);
        let mut stream = TcpStream::connect(host.listen().callers).await.expect("the host listens");
        let text = request("first", "")
            + &request("second", "Content-Length: 0\r\n")
            + &request("third", "Connection: keep-alive\r\n");
        stream.write_all(text.as_bytes()).await.expect("the connection is open");
        until("all are passed on", async || passed_on(&world).len() == 3).await;
        let mut received = Vec::new();
        let mut count = 0;
        until("all are answered", async || {
            // The responses may still be under way when the last request has arrived.
            stream.read_buf(&mut received).await.expect("the connection is open");
            count = String::from_utf8_lossy(&received).matches("HTTP/1.1 200 ").count();
            count == 3
        })
        .await;
    });
}
