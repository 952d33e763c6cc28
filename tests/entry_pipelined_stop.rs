//! Pipelined requests at a host that stops, end to end over loopback.

#[path = "support/entry.rs"]
mod support;

use std::time::Duration;

use lavenderplank::{entry::EntryHost, event_log::Event};
use support::{HOST, World, config, run, until};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
};

/// Most headers of a response.
const MAX_HEADERS: usize = 32;

/// Time for which a caller waits, above all processing times here.
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);

/// How long a host that stops keeps connections open that are idle.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(1_500);

/// Pause between the requests of a caller that keeps sending.
const SEND_INTERVAL: Duration = Duration::from_millis(20);

/// The body of the only target's responses.
const BODY: &str = "answer of t-1";

/// Guards against targets that work on requests behind a response that closes the connection.
#[test]
fn requests_sent_after_the_stop_began_are_not_passed_on_early() {
    run(async {
        let world = World::spawn(&["north-a"]).await;
        let host = world.host("a").await;
        let mut caller = Caller::connect(&host).await;
        caller.send(&["first"]).await;
        until("the first request is answered", async || caller.has_response().await).await;
        world.targets[0].set_processing_time(Duration::from_millis(300));
        let _stopping = begin_stop(&world, host).await;
        caller.send(&["second", "third", "fourth"]).await;
        let responses = caller.read_to_end().await;
        assert_eq!(responses, [served("first", false), served("second", true)]);
        assert_eq!(passed_on(&world), ["first", "second"]);
    });
}

/// Guards against a stop that cuts requests at which targets work, behind the response to another.
#[test]
fn requests_passed_on_before_the_stop_are_answered_in_order() {
    run(async {
        let world = World::spawn(&["north-a"]).await;
        let host = world.host("a").await;
        let mut caller = Caller::connect(&host).await;
        pass_on(&world, &mut caller, "first", Duration::from_millis(700)).await;
        pass_on(&world, &mut caller, "second", Duration::from_millis(1_000)).await;
        pass_on(&world, &mut caller, "third", Duration::from_millis(300)).await;
        let stopping = begin_stop(&world, host).await;
        caller.send(&["fourth", "fifth"]).await;
        let expected = [served("first", false), served("second", false), served("third", true)];
        assert_eq!(caller.read_to_end().await, expected);
        assert_eq!(passed_on(&world), ["first", "second", "third"]);
        stopping.await.expect("the host ends");
    });
}

/// Guards against a stop that cuts them once connections without requests are closed.
#[test]
fn requests_passed_on_are_answered_after_idle_connections_are_closed() {
    run(async {
        let world = World::bare(&["north-a"]).await;
        let mut patient = config(1);
        for rule in patient["listeners"][0]["rules"].as_array_mut().expect("rules") {
            rule["action"]["timeout"] = format!("{}ms", CALLER_TIMEOUT.as_millis()).into();
        }
        world.store.put("config", "main", patient);
        world.enlist();
        let host = world.host("a").await;
        let mut caller = Caller::connect(&host).await;
        for id in ["first", "second", "third"] {
            pass_on(&world, &mut caller, id, IDLE_CLOSE_DELAY + Duration::from_millis(700)).await;
        }
        let stopping = begin_stop(&world, host).await;
        let expected = [served("first", false), served("second", false), served("third", true)];
        assert_eq!(caller.read_to_end().await, expected);
        stopping.await.expect("the host ends");
    });
}

/// Guards against a caller that holds a stopping host open with ever more requests.
#[test]
fn a_caller_that_keeps_sending_is_closed_behind_what_was_passed_on() {
    run(async {
        let world = World::spawn(&["north-a"]).await;
        let host = world.host("a").await;
        let mut caller = Caller::connect(&host).await;
        pass_on(&world, &mut caller, "first", Duration::from_millis(300)).await;
        pass_on(&world, &mut caller, "second", Duration::from_millis(300)).await;
        let stopping = begin_stop(&world, host).await;
        let keeps_sending = async {
            while caller.try_send(&["later"]).await {
                tokio::time::sleep(SEND_INTERVAL).await;
            }
        };
        let closed = tokio::time::timeout(IDLE_CLOSE_DELAY, keeps_sending).await;
        assert!(closed.is_ok(), "the connection stays open");
        let expected = [served("first", false), served("second", true)];
        assert_eq!(caller.read_to_end().await, expected);
        assert_eq!(passed_on(&world), ["first", "second"]);
        stopping.await.expect("the host ends");
    });
}

struct Caller {
    received: Vec<u8>,
    stream: TcpStream,
}

#[derive(Debug, PartialEq)]
struct CallerResponse {
    attempt_id: String,
    body: String,
    closes: bool,
    status: u16,
}

fn served(attempt_id: &str, closes: bool) -> CallerResponse {
    CallerResponse { attempt_id: attempt_id.into(), body: BODY.into(), closes, status: 200 }
}

impl Caller {
    async fn connect(host: &EntryHost) -> Self {
        let stream = TcpStream::connect(host.listen().callers).await.expect("the host listens");
        Self { received: Vec::new(), stream }
    }

    /// Sends one read for each attempt id, without waiting for responses.
    async fn send(&mut self, attempt_ids: &[&str]) {
        assert!(self.try_send(attempt_ids).await, "the connection has ended");
    }

    /// The same; false if the connection has ended.
    async fn try_send(&mut self, attempt_ids: &[&str]) -> bool {
        let timeout_ms = CALLER_TIMEOUT.as_millis();
        let requests = attempt_ids.iter().map(|id| {
            format!(
                "GET /reads/one HTTP/1.1\r\nHost: {HOST}\r\nLavenderplank-Attempt-Id: {id}\r\n\
                 Lavenderplank-Time-Remaining: {timeout_ms}\r\n\r\n"
            )
        });
        let bytes = requests.collect::<String>();
        self.stream.write_all(bytes.as_bytes()).await.is_ok()
    }

    /// Whether a response has arrived.
    async fn has_response(&mut self) -> bool {
        let read = self.stream.read_buf(&mut self.received).await.expect("the connection is open");
        assert!(0 < read, "the connection has ended");
        !parse(&self.received).is_empty()
    }

    /// All responses on the connection, once it has ended.
    async fn read_to_end(mut self) -> Vec<CallerResponse> {
        // Requests that were not read make the host reset the connection.
        let _ = self.stream.read_to_end(&mut self.received).await;
        parse(&self.received)
    }
}

/// The complete responses in these bytes.
fn parse(mut bytes: &[u8]) -> Vec<CallerResponse> {
    let mut responses = Vec::new();
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let parsed = head.parse(bytes).expect("a response");
        let httparse::Status::Complete(size) = parsed else { return responses };
        let header = |name: &str| {
            let found = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
            found.map(|header| std::str::from_utf8(header.value).expect("a text").to_owned())
        };
        let length: usize = header("content-length").expect("a length").parse().expect("a number");
        let Some(body) = bytes[size..].get(..length) else { return responses };
        responses.push(CallerResponse {
            attempt_id: header("lavenderplank-attempt-id").expect("an id"),
            body: String::from_utf8(body.to_vec()).expect("a text"),
            closes: header("connection").is_some_and(|value| value == "close"),
            status: head.code.expect("a status"),
        });
        bytes = &bytes[size + length..];
    }
}

/// Sends a read and waits until the target works on it.
async fn pass_on(world: &World, caller: &mut Caller, id: &str, processing_time: Duration) {
    world.targets[0].set_processing_time(processing_time);
    caller.send(&[id]).await;
    let arrived = async || passed_on(world).iter().any(|attempt_id| attempt_id == id);
    until("the request is passed on", arrived).await;
}

/// Stops the host; returns once the stop has begun.
async fn begin_stop(world: &World, host: EntryHost) -> JoinHandle<()> {
    let stopping = tokio::task::spawn_local(host.stop());
    let has_begun = async || world.events.has(|event| matches!(event, Event::Stopping { .. }));
    until("the stop begins", has_begun).await;
    stopping
}

/// Attempt ids that the target received, in order.
fn passed_on(world: &World) -> Vec<String> {
    let received = world.targets[0].received();
    received.into_iter().map(|request| request.attempt_id).collect()
}
