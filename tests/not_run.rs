//! What is said of a request when its exchange fails at each point.
//!
//! The targets are raw sockets, so that each failure comes at a chosen byte. Whatever happens:
//! when the client says that the request did not run, the target has not read it whole.

#![expect(clippy::unwrap_used, reason = "a step of a test that fails, fails the test")]

mod support;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use assert_matches::assert_matches;
use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderMap, Method};
use lavenderplank::{
    base::{Binding, HeaderLine, Moment, Ran},
    forward::{
        Attempt, FallbackTargets, FileVersion, ForwardError, ForwardLimits, HttpUpstream,
        ResumableBody, TargetBody, TargetResponse, Upstream, requests_whole_file,
    },
    ledger::{BeginOutcome, ExecutionOutcome, KeptAnswer, Ledger, LedgerLimits, request_digest},
};
use tokio::{net::TcpSocket, task::JoinSet};

use self::support::raw_target::{
    RawTarget,
    Step::{Close, Hold, ReadAll, ReadPart, Reset, Write},
};

const DEADLINE: Duration = Duration::from_millis(250);
const GOOD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nseat";
const LONG: Duration = Duration::from_secs(20);
/// More than the socket buffers of both sides hold.
const LARGE: usize = 16 << 20;
const PART: usize = 64 << 10;
const SENT_TIMEOUT: ForwardError = ForwardError::Timeout { sent: true };
const SHED: ForwardError = ForwardError::Shed { retry_after: Some(Duration::from_secs(3)) };

fn client() -> Arc<HttpUpstream> {
    let limits = ForwardLimits { stream_silence: DEADLINE, ..ForwardLimits::default() };
    Arc::new(HttpUpstream::new(limits))
}

fn booking(address: SocketAddr) -> Attempt {
    Attempt {
        address,
        body: Bytes::from_static(b"two seats"),
        max_connections: 4,
        timeout: LONG,
        headers: vec![HeaderLine::new("connection", "x-hop"), HeaderLine::new("x-hop", "1")],
        method: Method::POST,
        path: "/seats".into(),
        is_idempotent: false,
        request: "request-1".into(),
        buffer_response: true,
    }
}

fn read(address: SocketAddr) -> Attempt {
    Attempt { body: Bytes::new(), method: Method::GET, is_idempotent: true, ..booking(address) }
}

fn file(address: SocketAddr) -> Attempt {
    Attempt { buffer_response: false, ..read(address) }
}

async fn collect(mut file: ResumableBody<Others>) -> (Vec<u8>, Option<ForwardError>) {
    let mut body = Vec::new();
    while let Some(chunk) = file.next_chunk().await {
        match chunk {
            Ok(chunk) => body.extend_from_slice(&chunk),
            Err(failure) => return (body, Some(failure)),
        }
    }
    (body, None)
}

/// A target accepts a booking's connection and then fails at one byte or another, or goes silent.
/// The clerk must be told `unknown`, since the target may have acted on what it read; only a shed
/// answer, by which the target itself says so, is `not run`.
#[tokio::test]
async fn a_failure_after_the_connection_is_unknown_unless_the_target_shed() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n";
    let cases: &[(&str, usize, Duration, &[support::raw_target::Step], ForwardError)] = &[
        ("reset before the head is read", 9, LONG, &[Reset], ForwardError::ConnectionLost),
        ("reset before the body", LARGE, LONG, &[ReadPart(0), Reset], ForwardError::ConnectionLost),
        (
            "reset during the body",
            LARGE,
            LONG,
            &[ReadPart(PART), Reset],
            ForwardError::ConnectionLost,
        ),
        ("reset after the body", 9, LONG, &[ReadAll, Reset], ForwardError::ConnectionLost),
        ("end before the answer", 9, LONG, &[ReadAll, Close], ForwardError::ConnectionLost),
        (
            "reset in the head",
            9,
            LONG,
            &[ReadAll, Write("HTTP/1.1 200"), Reset],
            ForwardError::ConnectionLost,
        ),
        (
            "end in the head",
            9,
            LONG,
            &[ReadAll, Write("HTTP/1.1 200"), Close],
            ForwardError::ConnectionLost,
        ),
        (
            "no HTTP",
            9,
            LONG,
            &[ReadAll, Write("SSH-2.0-x\r\n\r\n"), Close],
            ForwardError::ConnectionLost,
        ),
        (
            "end after the head",
            9,
            LONG,
            &[ReadAll, Write(head), Close],
            ForwardError::InvalidResponse,
        ),
        (
            "short body",
            9,
            LONG,
            &[ReadAll, Write(head), Write("sea"), Close],
            ForwardError::InvalidResponse,
        ),
        (
            "chunks without the last",
            9,
            LONG,
            &[
                ReadAll,
                Write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nseat\r\n"),
                Close,
            ],
            ForwardError::InvalidResponse,
        ),
        (
            "body that ends with the connection",
            9,
            LONG,
            &[ReadAll, Write("HTTP/1.1 200 OK\r\n\r\nseat"), Close],
            ForwardError::InvalidResponse,
        ),
        (
            "body over the limit",
            9,
            LONG,
            &[ReadAll, Write("HTTP/1.1 200 OK\r\ncontent-length: 9999999\r\n\r\n"), Close],
            ForwardError::InvalidResponse,
        ),
        (
            "another request's id",
            9,
            LONG,
            &[
                ReadAll,
                Write("HTTP/1.1 200 OK\r\nlavender-request-id: request-2\r\n"),
                Write("content-length: 4\r\n\r\nseat"),
            ],
            ForwardError::InvalidResponse,
        ),
        (
            "shed answer to another request",
            9,
            LONG,
            &[
                ReadAll,
                Write("HTTP/1.1 503 Busy\r\nlavender-request-id: request-2\r\n"),
                Write("lavender-shed: 1\r\ncontent-length: 0\r\n\r\n"),
            ],
            ForwardError::InvalidResponse,
        ),
        ("silence before the head is read", 9, DEADLINE, &[Hold], SENT_TIMEOUT),
        ("silence in the body", LARGE, DEADLINE, &[ReadPart(PART), Hold], SENT_TIMEOUT),
        ("silence after the request", 9, DEADLINE, &[ReadAll, Hold], SENT_TIMEOUT),
        ("silence in the answer", 9, DEADLINE, &[ReadAll, Write(head), Hold], SENT_TIMEOUT),
        (
            "shed",
            9,
            LONG,
            &[
                ReadPart(0),
                Write("HTTP/1.1 503 Busy\r\nretry-after: 3\r\nlavender-shed: 1\r\n"),
                Write("content-length: 0\r\n\r\n"),
            ],
            SHED,
        ),
    ];
    for (name, size, deadline, script, expected) in cases {
        let target = RawTarget::bind(&[script]).await;
        let body = Bytes::from(vec![b'x'; *size]);
        let attempt = Attempt { body, timeout: *deadline, ..booking(target.address) };
        let failure = client().send(attempt).await.expect_err(name);
        assert_eq!(failure, *expected, "{name}");
        let is_proof = failure.kind().response().ran == Ran::No;
        assert!(!is_proof || target.runs() == 0, "{name}: it ran");
        assert_eq!(target.connections(), 1, "{name}: it was sent again");
    }
}

/// Nothing listens, or the target's queue of new connections is full so that the connection is
/// never made, or all connections that the target allows are taken. No byte was written: the
/// clerk is told `not run`, whether the connect timeout or the request's own deadline comes first.
#[tokio::test]
async fn before_the_connection_it_is_proven_not_run() {
    let gone = TcpSocket::new_v4().unwrap();
    gone.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let refused = booking(gone.local_addr().unwrap());
    assert_matches!(client().send(refused.clone()).await, Err(ForwardError::ConnectFailed));
    let refused = Attempt { is_idempotent: true, ..refused };
    assert_matches!(client().send(refused).await, Err(ForwardError::ConnectFailed));

    let full = TcpSocket::new_v4().unwrap();
    full.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let full = full.listen(1).unwrap();
    let address = full.local_addr().unwrap();
    let _waiting = [connect(address).await, connect(address).await];
    let short = Attempt { timeout: DEADLINE, ..booking(address) };
    assert_matches!(client().send(short).await, Err(ForwardError::Timeout { sent: false }));
    assert_matches!(client().send(booking(address)).await, Err(ForwardError::ConnectFailed));

    let busy = RawTarget::bind(&[&[ReadAll, Hold]]).await;
    let client = client();
    let first = Attempt { max_connections: 1, ..booking(busy.address) };
    let running = tokio::spawn({
        let (client, first) = (client.clone(), first.clone());
        async move { client.send(first).await }
    });
    busy.wait_for_runs(1).await;
    let second = Attempt { timeout: DEADLINE, ..first };
    assert_matches!(client.send(second).await, Err(ForwardError::Timeout { sent: false }));
    assert_eq!(busy.runs(), 1);
    running.abort();
}

async fn connect(address: SocketAddr) -> tokio::net::TcpStream {
    tokio::net::TcpStream::connect(address).await.unwrap()
}

/// A read times out, and its answer comes late on that connection; or an answer is longer than it
/// says. The next read must get its own answer, never the rest of the one before.
#[tokio::test]
async fn a_connection_that_ended_uncleanly_is_not_used_again() {
    let late = RawTarget::bind(&[&[ReadAll, Hold, Write(GOOD)], &[ReadAll, Write(GOOD)]]).await;
    let client = client();
    let first = Attempt { timeout: DEADLINE, ..read(late.address) };
    assert_matches!(client.send(first).await, Err(ForwardError::Timeout { .. }));
    late.release();
    assert_matches!(client.send(read(late.address)).await, Ok(_));
    assert_eq!(late.connections(), 2);

    let long = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nseatHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong";
    let long = RawTarget::bind(&[&[ReadAll, Write(long), ReadAll], &[ReadAll, Write(GOOD)]]).await;
    for _ in 0..3 {
        // The connection may be closed at the moment of writing; its rest is never an answer.
        match client.send(read(long.address)).await {
            Ok(reply) => assert_matches!(reply.body, TargetBody::Whole(body) if body == "seat"),
            Err(failure) => assert_eq!(failure, ForwardError::ConnectionLost),
        }
    }

    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 9000\r\n\r\nfirst";
    let cut = RawTarget::bind(&[&[ReadAll, Write(cut)], &[ReadAll, Write(GOOD)]]).await;
    let reply = client.send(file(cut.address)).await.unwrap();
    drop(reply);
    assert_matches!(client.send(read(cut.address)).await, Ok(_));
    assert_eq!(cut.connections(), 2, "a body that was left half read was used again");
}

#[tokio::test]
async fn clean_connections_are_kept_for_reads_and_never_for_bookings() {
    let script: &[_] = &[ReadAll, Write(GOOD), ReadAll, Write(GOOD)];
    for (attempt, connections) in
        [(read as fn(SocketAddr) -> Attempt, 1), (booking as fn(SocketAddr) -> Attempt, 2)]
    {
        let target = RawTarget::bind(&[script]).await;
        let client = client();
        for _ in 0..2 {
            client.send(attempt(target.address)).await.unwrap();
        }
        assert_eq!((target.connections(), target.runs()), (connections, 2));
    }
}

#[tokio::test]
async fn redirects_are_answers() {
    let found = "HTTP/1.1 307 Away\r\nlocation: /other\r\ncontent-length: 0\r\n\r\n";
    let target = RawTarget::bind(&[&[ReadAll, Write(found)]]).await;
    let reply = client().send(booking(target.address)).await.unwrap();
    assert_eq!((reply.status, target.runs()), (307, 1));
}

/// A show file breaks off at the fourth byte. It may go on only from a target that proves to hold
/// the same edition and sends exactly the missing range; else the dome must see a cut stream and
/// not a file joined of two editions, nor a part as if it were the whole.
#[tokio::test]
async fn an_interrupted_file_goes_on_only_with_the_same_edition() {
    let strong = "HTTP/1.1 200 OK\r\netag: \"a\"\r\ncontent-length: 8\r\n\r\nshow";
    let weak = "HTTP/1.1 200 OK\r\netag: W/\"a\"\r\ncontent-length: 8\r\n\r\nshow";
    let rest = "HTTP/1.1 206 Part\r\netag: \"a\"\r\ncontent-range: bytes 4-7/8\r\ncontent-length: 4\r\n\r\nfile";
    let other = "HTTP/1.1 206 Part\r\netag: \"b\"\r\ncontent-range: bytes 4-7/8\r\ncontent-length: 4\r\n\r\nFILE";
    let shifted = "HTTP/1.1 206 Part\r\netag: \"a\"\r\ncontent-range: bytes 3-7/8\r\ncontent-length: 5\r\n\r\nwfile";
    let whole = "HTTP/1.1 200 OK\r\netag: \"a\"\r\ncontent-length: 8\r\n\r\nshowfile";
    let short = "HTTP/1.1 206 Part\r\netag: \"a\"\r\ncontent-range: bytes 4-7/8\r\ncontent-length: 3\r\n\r\nfil";
    let broken = Some(ForwardError::InvalidResponse);
    for (name, first, seconds, body, failure) in [
        ("same edition", strong, vec![rest], "showfile", None),
        ("the second of two", strong, vec![other, rest], "showfile", None),
        ("weak validator", weak, vec![rest], "show", broken),
        ("another edition", strong, vec![other], "show", broken),
        ("another range", strong, vec![shifted], "show", broken),
        ("the whole again", strong, vec![whole], "show", broken),
        ("a short rest", strong, vec![short], "showfil", broken),
        ("no other target", strong, vec![], "show", broken),
    ] {
        let target = RawTarget::bind(&[&[ReadAll, Write(first), Close]]).await;
        let mut others = Vec::new();
        for second in seconds {
            others.push(RawTarget::bind(&[&[ReadAll, Write(second), Close]]).await);
        }
        let client = client();
        let reply = client.send(file(target.address)).await.unwrap();
        let addresses = others.iter().rev().map(|other| other.address).collect();
        let edition = FileVersion::from_response(reply.status, &reply.headers);
        let TargetBody::Stream(chunks) = reply.body else { panic!("no stream") };
        let others = Others { addresses, client };
        let (got, ended) = collect(ResumableBody::new(chunks, edition, others)).await;
        assert_eq!((String::from_utf8_lossy(&got).as_ref(), ended), (body, failure), "{name}");
    }
}

/// A caller that asks for a part, or for the head alone, gets no rest: what is missing of a part is
/// another range, and a head has no body that could break off.
#[test]
fn only_a_whole_file_goes_on() {
    let part = HeaderMap::from_iter([(http::header::RANGE, "bytes=3-".parse().unwrap())]);
    assert!(requests_whole_file(&Method::GET, &HeaderMap::new()));
    assert!(!requests_whole_file(&Method::HEAD, &HeaderMap::new()));
    assert!(!requests_whole_file(&Method::GET, &part));
}

struct Others {
    addresses: Vec<SocketAddr>,
    client: Arc<HttpUpstream>,
}

#[async_trait]
impl FallbackTargets for Others {
    async fn next_response(
        &mut self,
        _failure: ForwardError,
        lines: &[HeaderLine],
    ) -> Option<TargetResponse> {
        let attempt = Attempt { headers: lines.to_vec(), ..file(self.addresses.pop()?) };
        self.client.send(attempt).await.ok()
    }
}

/// A host as far as bookings go: its ledger before the client to its targets.
struct Owner {
    client: Arc<HttpUpstream>,
    ledger: Mutex<Ledger>,
}

/// Ends the entry as unknown when the caller leaves before the exchange has ended.
struct EntryGuard<'a> {
    binding: Binding,
    end: ExecutionOutcome,
    owner: &'a Owner,
}

impl Drop for EntryGuard<'_> {
    fn drop(&mut self) {
        let end = self.end.clone();
        let mut ledger = self.owner.ledger.lock().unwrap();
        ledger.end(&self.binding, &"key".into(), end, Moment::ZERO);
    }
}

impl Owner {
    fn open(incarnation: u64) -> Self {
        let ledger = Ledger::new("host".into(), incarnation, LedgerLimits::default());
        Self { client: client(), ledger: Mutex::new(ledger) }
    }

    fn binding(&self) -> Binding {
        self.ledger.lock().unwrap().binding()
    }

    fn begin(&self, binding: &Binding) -> BeginOutcome {
        let digest = request_digest("POST", "/seats", b"two seats");
        let mut ledger = self.ledger.lock().unwrap();
        ledger.begin(binding, &"key".into(), digest, &"request-1".into(), Moment::ZERO)
    }

    /// Runs the booking if the ledger lets it; gives what the ledger said first.
    async fn book(&self, binding: &Binding, attempt: Attempt) -> BeginOutcome {
        let begin = self.begin(binding);
        if begin != BeginOutcome::Accepted {
            return begin;
        }
        let mut guard =
            EntryGuard { binding: binding.clone(), end: ExecutionOutcome::Unknown, owner: self };
        guard.end = match self.client.send(attempt).await {
            Ok(TargetResponse { body: TargetBody::Whole(body), headers, status }) => {
                ExecutionOutcome::Answered(Arc::new(KeptAnswer { body, headers, status }))
            }
            Ok(_) => ExecutionOutcome::Unknown,
            Err(failure) if failure.kind().response().ran == Ran::No => ExecutionOutcome::NotRun,
            Err(_) => ExecutionOutcome::Unknown,
        };
        begin
    }
}

/// The same booking comes many times at once, through several hosts that all carry it to its
/// owner. One runs; the others find it running or done.
#[tokio::test]
async fn racing_resends_of_one_key_run_once() {
    let target = RawTarget::bind(&[&[ReadAll, Write(GOOD)]]).await;
    let owner = Arc::new(Owner::open(1));
    let mut racers = JoinSet::new();
    for _ in 0..16 {
        let owner = owner.clone();
        let attempt = booking(target.address);
        racers.spawn(async move { owner.book(&owner.binding(), attempt).await });
    }
    let begins = racers.join_all().await;
    assert_eq!(begins.iter().filter(|begin| **begin == BeginOutcome::Accepted).count(), 1);
    assert_eq!(target.runs(), 1);
    assert_matches!(owner.begin(&owner.binding()), BeginOutcome::Kept(_));
}

/// The clerk's terminal gives up while the target works. The booking may run to its end there, so
/// a resend is told `unknown` and does not run it again.
#[tokio::test]
async fn a_caller_that_leaves_makes_it_unknown() {
    let target = RawTarget::bind(&[&[ReadAll, Hold]]).await;
    let owner = Owner::open(1);
    let binding = owner.binding();
    tokio::select! {
        _ = owner.book(&binding, booking(target.address)) => panic!("the target never answers"),
        () = target.wait_for_runs(1) => {}
    }
    assert_eq!(owner.book(&binding, booking(target.address)).await, BeginOutcome::OutcomeUnknown);
    assert_eq!(target.runs(), 1);
}

/// The first host carries a booking to its owner; the hop is cut after delivery, and the target
/// has run it. The first host can only say `unknown`; a resend reaches the owner, which gives the
/// kept answer.
#[tokio::test]
async fn a_hop_that_is_cut_after_delivery_is_settled_by_a_resend() {
    let target = RawTarget::bind(&[&[ReadAll, Write(GOOD)]]).await;
    let owner = Owner::open(1);
    let hop = RawTarget::bind(&[&[ReadAll, Hold, Reset]]).await;
    let client = client();
    let carried = client.send(booking(hop.address));
    let delivered = async {
        hop.wait_for_runs(1).await;
        owner.book(&owner.binding(), booking(target.address)).await;
        hop.release();
    };
    let (told, ()) = tokio::join!(carried, delivered);
    assert_matches!(told, Err(ForwardError::ConnectionLost));
    assert_matches!(
        owner.begin(&owner.binding()),
        BeginOutcome::Kept(answer) if answer.body == "seat"
    );
    assert_eq!(target.runs(), 1);
}

/// The owner is killed while a booking runs, and comes back on the same address under the same
/// name. It has no ledger of before, so it must not take the resend for a new booking.
#[tokio::test]
async fn a_restarted_owner_does_not_run_bookings_of_before() {
    let target = RawTarget::bind(&[&[ReadAll, Write(GOOD)]]).await;
    let old = Owner::open(1);
    let binding = old.binding();
    old.book(&binding, booking(target.address)).await;
    drop(old);
    let restarted = Owner::open(2);
    assert_eq!(
        restarted.book(&binding, booking(target.address)).await,
        BeginOutcome::UnknownBinding
    );
    assert_eq!(target.runs(), 1);
}
