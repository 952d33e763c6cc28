//! Requests that arrive before the first one is answered.

use crate::entry::pipelining::{PipelineScanner, ScannedRequest, parse_head};

const FIRST: &str = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
const SECOND: &str = "GET /b?c=1 HTTP/1.1\r\nHost: x\r\nCookie: d\r\n\r\n";
const BOOKING: &str =
    "POST /c HTTP/1.1\r\nContent-Length: 30\r\n\r\nGET /x HTTP/1.1\r\nHost: x\r\n\r\n..";

fn kinds(scanner: &PipelineScanner) -> Vec<&'static str> {
    let kind = |seen: &ScannedRequest| match seen {
        ScannedRequest::Startable(_) => "ready",
        ScannedRequest::InTurn => "plain",
    };
    scanner.waiting().map(kind).collect()
}

/// However the bytes are cut, the same requests are seen; a body that looks like a request is none.
#[test]
fn requests_are_seen_however_their_bytes_arrive() {
    let all = [FIRST, BOOKING, SECOND].concat();
    for size in 1..all.len() {
        let mut scanner = PipelineScanner::default();
        all.as_bytes().chunks(size).for_each(|chunk| scanner.feed(chunk));
        assert_eq!(kinds(&scanner), ["ready", "plain", "ready"], "in pieces of {size}");
        assert_eq!(scanner.take_next(), Some(ScannedRequest::Startable(FIRST.into())));
        assert_eq!(scanner.take_next(), Some(ScannedRequest::InTurn));
        assert_eq!(scanner.take_next(), Some(ScannedRequest::Startable(SECOND.into())));
        assert_eq!(scanner.take_next(), None);
    }
}

/// Chunks, bytes that are no request, and too many requests end the looking ahead; nothing behind
/// them may be taken for a request.
#[test]
fn what_can_not_be_told_apart_is_left_to_its_turn() {
    for odd in [
        "POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        "GET /c HTTP/1.1\r\nContent-Length: many\r\n\r\n",
        "\0\0\0 \r\n\r\n",
        &"x".repeat(20_000),
        &FIRST.repeat(9),
    ] {
        let mut scanner = PipelineScanner::default();
        scanner.feed(odd.as_bytes());
        scanner.feed(SECOND.as_bytes());
        assert!(kinds(&scanner).is_empty(), "{odd}");
        assert_eq!(scanner.take_next(), None);
    }
}

#[test]
fn a_head_is_read_as_it_was_sent() {
    let req = parse_head(SECOND.as_bytes()).expect("a request");
    assert_eq!((req.method().as_str(), req.uri().to_string()), ("GET", "/b?c=1".into()));
    assert_eq!(req.headers()["cookie"], "d");
    assert!(parse_head(b"nothing").is_none());
}
