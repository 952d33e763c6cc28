//! HTTP pipelining: scanning for requests that can be started early.

use std::{cell::RefCell, convert::Infallible, rc::Rc};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Empty};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use tokio::io::AsyncWriteExt;

use crate::entry::pipelining::{PipelineScanner, ScannedRequest, parse_head};

const FIRST: &str = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
const SECOND: &str = "GET /b?c=1 HTTP/1.1\r\nHost: x\r\nCookie: d\r\n\r\n";
const BOOKING: &str =
    "POST /c HTTP/1.1\r\nContent-Length: 30\r\n\r\nGET /x HTTP/1.1\r\nHost: x\r\n\r\n..";

fn waiting_kinds(scanner: &PipelineScanner) -> Vec<&'static str> {
    let kind = |request: &ScannedRequest| match request {
        ScannedRequest::Startable(_) => "startable",
        ScannedRequest::InTurn => "in turn",
    };
    scanner.waiting().map(kind).collect()
}

/// The scanner finds the same requests however the bytes are split into reads. A body that looks
/// like a request is not taken for one.
#[test]
fn requests_are_found_however_their_bytes_are_split() {
    let all = [FIRST, BOOKING, SECOND].concat();
    for size in 1..all.len() {
        let mut scanner = PipelineScanner::default();
        all.as_bytes().chunks(size).for_each(|chunk| scanner.feed(chunk));
        assert_eq!(
            waiting_kinds(&scanner),
            ["startable", "in turn", "startable"],
            "in reads of {size} bytes"
        );
        assert_eq!(scanner.take_next(), Some(ScannedRequest::Startable(FIRST.into())));
        assert_eq!(scanner.take_next(), Some(ScannedRequest::InTurn));
        assert_eq!(scanner.take_next(), Some(ScannedRequest::Startable(SECOND.into())));
        assert_eq!(scanner.take_next(), None);
    }
}

/// A chunked body, invalid bytes, too long a head or too many requests stop the scanner. Bytes
/// after them must not be taken for a request.
#[test]
fn unscannable_bytes_stop_the_scanner() {
    for unscannable in [
        "POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "GET /c HTTP/1.1\r\nContent-Length: many\r\n\r\n",
        "\0\0\0 \r\n\r\n",
        &"x".repeat(20_000),
        &FIRST.repeat(9),
    ] {
        let mut scanner = PipelineScanner::default();
        scanner.feed(unscannable.as_bytes());
        scanner.feed(SECOND.as_bytes());
        assert!(waiting_kinds(&scanner).is_empty(), "{unscannable}");
        assert_eq!(scanner.take_next(), None);
    }
}

#[test]
fn head_is_parsed_as_sent() {
    let req = parse_head(SECOND.as_bytes()).expect("a request");
    assert_eq!((req.method().as_str(), req.uri().to_string()), ("GET", "/b?c=1".into()));
    assert_eq!(req.headers()["cookie"], "d");
    assert!(parse_head(b"nothing").is_none());
}

/// Heads behind which nothing may be started early: the library rejects them, closes the connection
/// behind them, or finds the end of their body elsewhere than another reader might.
const NOT_PLAIN: [&str; 20] = [
    "Content-Length: 0\r\nContent-Length: 125",
    "Content-Length: 125\r\nContent-Length: 0",
    "Content-Length: 0\r\nContent-Length: 0",
    "Content-Length: 00\r\nContent-Length: 125",
    "Content-Length: +0",
    "Content-Length: -0",
    "Content-Length: 0, 125",
    "Content-Length: 0 125",
    "Content-Length: 0x0",
    "Content-Length:",
    "Content-Length: 99999999999999999999999",
    "Content-Length: 0\r\nTransfer-Encoding: chunked",
    "Transfer-Encoding: identity",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
    "Expect: 100-continue",
    "Upgrade: h2c\r\nConnection: upgrade",
    "Connection: close",
    "Connection: Keep-Alive , CLOSE",
    "Connection: keep-alive\r\nConnection: close",
    "Host: y",
];

/// Guards against a request hidden in the body of another one that runs: the scanner and the library
/// found the end of the other one's head or body in different places.
#[test]
fn nothing_is_started_behind_a_head_that_is_not_plain() {
    for lines in NOT_PLAIN {
        let odd = format!("GET /odd HTTP/1.1\r\nHost: x\r\n{lines}\r\n\r\n");
        let all = [FIRST, &odd, SECOND].concat();
        for size in [1, 7, all.len()] {
            let mut scanner = PipelineScanner::default();
            all.as_bytes().chunks(size).for_each(|chunk| scanner.feed(chunk));
            let found: Vec<ScannedRequest> = scanner.waiting().cloned().collect();
            let second = ScannedRequest::Startable(SECOND.into());
            assert!(!found.contains(&second), "{lines}, in reads of {size} bytes");
            let first = ScannedRequest::Startable(FIRST.into());
            assert_eq!(found.first(), Some(&first), "{lines}, in reads of {size} bytes");
        }
    }
}

/// Paths of the requests that the HTTP library finds in these bytes.
async fn served_paths(bytes: &[u8]) -> Vec<String> {
    let served = Rc::new(RefCell::new(Vec::new()));
    let (mut caller, host) = tokio::io::duplex(1 << 20);
    let service = service_fn(|req: Request<Incoming>| {
        let served = served.clone();
        async move {
            served.borrow_mut().push(req.uri().to_string());
            let _ = req.into_body().collect().await;
            Ok::<_, Infallible>(Response::new(Empty::<Bytes>::new()))
        }
    });
    caller.write_all(bytes).await.expect("room in the buffer");
    caller.shutdown().await.expect("an open stream");
    let connection =
        http1::Builder::new().half_close(true).serve_connection(TokioIo::new(host), service);
    let _ = connection.await;
    served.take()
}

/// A request with drawn headers and a body that looks like another request.
fn draw_request(at: usize, rng: &mut ChaCha8Rng) -> String {
    let hidden = format!("GET /hidden{at} HTTP/1.1\r\nHost: x\r\n\r\n");
    let length = hidden.len();
    let lengths = [
        format!("Content-Length: {length}"),
        format!("Content-Length: {length} "),
        format!("content-length:\t0{length}"),
        format!("Content-Length: {length}, {length}"),
        format!("Content-Length : {length}"),
        format!("Content-Length: +{length}"),
        format!("Content-Length\t: {length}"),
        format!("X: 1\r\n Content-Length: {length}"),
        format!("X: 1\nContent-Length: {length}"),
        format!("X: 1\rContent-Length: {length}"),
    ];
    let method = ["GET", "GET", "GET", "POST", "HEAD", "CONNECT", "OPTIONS"].choose(rng);
    let version = if rng.random_bool(0.95) { "HTTP/1.1" } else { "HTTP/1.0" };
    let mut head = format!("{} /r{at} {version}\r\nHost: x\r\n", method.expect("one"));
    for _ in 0..rng.random_range(0..3) {
        head += match rng.random_bool(0.5) {
            true => lengths.choose(rng).expect("one"),
            false => NOT_PLAIN.choose(rng).expect("one"),
        };
        head += "\r\n";
    }
    let body = if rng.random_bool(0.5) { &hidden } else { "" };
    format!("{head}\r\n{body}")
}

/// Guards against any other head whose bounds the scanner and the library read differently.
#[tokio::test]
async fn what_may_be_started_early_is_what_the_library_serves() {
    let mut started = 0;
    for seed in 0..4_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let all: String = (0..4).map(|at| draw_request(at, &mut rng)).collect();
        let mut scanner = PipelineScanner::default();
        scanner.feed(all.as_bytes());
        let served = served_paths(all.as_bytes()).await;
        for (at, found) in scanner.waiting().enumerate() {
            match found {
                ScannedRequest::Startable(head) => {
                    let path = parse_head(head).expect("a head").uri().to_string();
                    assert_eq!(served.get(at), Some(&path), "seed {seed}: {all}");
                    started += usize::from(0 < at);
                }
                // Nothing behind it is started unless the library serves it.
                ScannedRequest::InTurn if served.len() <= at => break,
                ScannedRequest::InTurn => {}
            }
        }
    }
    assert!(500 < started, "only {started} requests could be started early");
}
