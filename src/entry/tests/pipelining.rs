//! HTTP pipelining: scanning for requests that can be started early.

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
