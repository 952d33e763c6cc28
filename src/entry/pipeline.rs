//! Requests that a caller sends before the first one is answered.
//!
//! The HTTP library hands requests over one after the other, so the second would only go to its
//! target when the first is answered, and be late by the first one's time. Here heads are seen as
//! they arrive, and idempotent requests without a body are started at once; their answers wait
//! until the library asks for them, so that they go out in order.

use std::collections::VecDeque;

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderName, HeaderValue, Method, Request, Uri, header};

/// Most headers of a request that is looked at ahead.
const HEADERS_MOST: usize = 64;

/// Largest head that is looked at ahead, in bytes.
const HEAD_MOST: usize = 16 * 1024;

/// Most requests that are seen ahead; a caller that sends more waits for the first ones.
const SEEN_MOST: usize = 8;

/// A request as it was seen arriving.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// It has no body and may be started ahead.
    Ready(Bytes),
    /// It is served when its turn comes.
    Plain,
}

/// Finds the heads of requests in the bytes of one connection.
#[derive(Debug, Default)]
pub struct Scanner {
    /// What comes can't be told apart any more.
    is_lost: bool,
    seen: VecDeque<Seen>,
    /// Bytes of a body that are still to come.
    skip: usize,
    tail: BytesMut,
}

impl Scanner {
    /// Takes in the next bytes.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        if self.is_lost {
            return;
        }
        let body = self.skip.min(bytes.len());
        self.skip -= body;
        bytes.advance(body);
        self.tail.extend_from_slice(bytes);
        while !self.tail.is_empty() && self.next() {}
        if HEAD_MOST < self.tail.len() || SEEN_MOST < self.seen.len() {
            self.lose();
        }
    }

    /// The request whose turn it is; `None` if it was not seen.
    pub fn turn(&mut self) -> Option<Seen> {
        self.seen.pop_front()
    }

    /// Requests that were seen and whose turn has not come.
    pub fn waiting(&self) -> impl Iterator<Item = &Seen> {
        self.seen.iter()
    }

    /// Stops looking: from here on requests are served in their turn.
    pub fn lose(&mut self) {
        self.is_lost = true;
        self.seen.clear();
        self.tail = BytesMut::new();
    }

    /// Takes one head off the tail; false when it is not whole yet.
    fn next(&mut self) -> bool {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
        let mut req = httparse::Request::new(&mut headers);
        let size = match req.parse(&self.tail) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) => return false,
            Err(_) => {
                // The library answers it in its turn, and closes the connection.
                self.lose();
                return false;
            }
        };
        let find = |name: HeaderName| {
            req.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name.as_str()))
        };
        let odd = [header::TRANSFER_ENCODING, header::UPGRADE, header::EXPECT];
        if odd.into_iter().any(|name| find(name).is_some()) {
            self.lose();
            return false;
        }
        let length = find(header::CONTENT_LENGTH);
        let length = length.map(|header| std::str::from_utf8(header.value));
        let length: usize = match length {
            None => 0,
            Some(text) => match text.ok().and_then(|text| text.trim().parse().ok()) {
                Some(length) => length,
                None => {
                    self.lose();
                    return false;
                }
            },
        };
        let is_plain = req.method != Some("GET") || 0 < length;
        let head = self.tail.split_to(size).freeze();
        let body = length.min(self.tail.len());
        self.tail.advance(body);
        self.skip = length - body;
        self.seen.push_back(if is_plain { Seen::Plain } else { Seen::Ready(head) });
        if self.tail.is_empty() {
            // An idle connection keeps no buffer.
            self.tail = BytesMut::new();
        }
        true
    }
}

/// Reads a head that was seen; `None` if it is none.
pub fn read(head: &[u8]) -> Option<Request<()>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut parsed = httparse::Request::new(&mut headers);
    parsed.parse(head).ok()?;
    let mut req = Request::new(());
    *req.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    *req.uri_mut() = parsed.path?.parse::<Uri>().ok()?;
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        req.headers_mut().append(name, HeaderValue::from_bytes(header.value).ok()?);
    }
    Some(req)
}
