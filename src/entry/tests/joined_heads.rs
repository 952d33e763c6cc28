//! Heads that were joined from two, and whole ones that look like it.

use http::{Response, header};
use hyper::ext::ReasonPhrase;

use crate::entry::joined_heads::is_joined;

/// Guards against the refusal of one response and the id of another in what passes for one head.
#[test]
fn a_status_line_inside_a_head_is_found() {
    let joined = ["0.HTTP/1.1 200 OK", "HTTP/1.0 503", "HTTP/1.1 500 ", "\u{e9}HTTP/1.1 429 Busy"];
    for value in joined {
        let value = header::HeaderValue::from_bytes(value.as_bytes()).expect("a value");
        let response = Response::builder().header(header::RETRY_AFTER, value);
        assert!(is_joined(&response.body(()).expect("a response")));
    }
    let mut response = Response::new(());
    response.extensions_mut().insert(ReasonPhrase::from_static(b"Service UnHTTP/1.1 200 OK"));
    assert!(is_joined(&response));
}

/// Guards against whole responses that are lost since they name a protocol.
#[test]
fn a_head_that_names_a_protocol_is_whole() {
    let whole = [
        (header::VIA, "HTTP/1.1 500px, 1.1 cache"),
        (header::UPGRADE, "HTTP/2.0"),
        (header::WARNING, "110 HTTP/1.1 \"stale\""),
        (header::SERVER, "HTTP/1.1 gateway"),
    ];
    for (name, value) in whole {
        let response = Response::builder().header(name, value).body(()).expect("a response");
        assert!(!is_joined(&response), "{value}");
    }
}
