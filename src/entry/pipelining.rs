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
const MAX_HEADERS: usize = 64;

/// Largest head that is looked at ahead, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Most requests that are seen ahead; a caller that sends more waits for the first ones.
const MAX_WAITING_REQUESTS: usize = 8;

/// A request as it was seen arriving.
#[derive(Clone, Debug, PartialEq)]
pub enum ScannedRequest {
    /// It has no body and may be started ahead.
    Startable(Bytes),
    /// It is served when its turn comes.
    InTurn,
}

/// Finds the heads of requests in the bytes of one connection.
#[derive(Debug, Default)]
pub struct PipelineScanner {
    /// What comes can't be told apart any more.
    is_disabled: bool,
    waiting: VecDeque<ScannedRequest>,
    /// Bytes of a body that are still to come.
    body_bytes_left: usize,
    buffer: BytesMut,
}

impl PipelineScanner {
    /// Takes in the next bytes.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        if self.is_disabled {
            return;
        }
        let body = self.body_bytes_left.min(bytes.len());
        self.body_bytes_left -= body;
        bytes.advance(body);
        self.buffer.extend_from_slice(bytes);
        while !self.buffer.is_empty() && self.scan_one() {}
        if MAX_HEAD_BYTES < self.buffer.len() || MAX_WAITING_REQUESTS < self.waiting.len() {
            self.disable();
        }
    }

    /// The request whose turn it is; `None` if it was not seen.
    pub fn take_next(&mut self) -> Option<ScannedRequest> {
        self.waiting.pop_front()
    }

    /// Requests that were seen and whose turn has not come.
    pub fn waiting(&self) -> impl Iterator<Item = &ScannedRequest> {
        self.waiting.iter()
    }

    /// Stops looking: from here on requests are served in their turn.
    pub fn disable(&mut self) {
        self.is_disabled = true;
        self.waiting.clear();
        self.buffer = BytesMut::new();
    }

    /// Takes one head off the tail; false when it is not whole yet.
    fn scan_one(&mut self) -> bool {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut req = httparse::Request::new(&mut headers);
        let size = match req.parse(&self.buffer) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) => return false,
            Err(_) => {
                // The library answers it in its turn, and closes the connection.
                self.disable();
                return false;
            }
        };
        let find = |name: HeaderName| {
            req.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name.as_str()))
        };
        let unsupported = [header::TRANSFER_ENCODING, header::UPGRADE, header::EXPECT];
        if unsupported.into_iter().any(|name| find(name).is_some()) {
            self.disable();
            return false;
        }
        let length = find(header::CONTENT_LENGTH);
        let length = length.map(|header| std::str::from_utf8(header.value));
        let length: usize = match length {
            None => 0,
            Some(text) => match text.ok().and_then(|text| text.trim().parse().ok()) {
                Some(length) => length,
                None => {
                    self.disable();
                    return false;
                }
            },
        };
        let must_wait = req.method != Some("GET") || 0 < length;
        let head = self.buffer.split_to(size).freeze();
        let body = length.min(self.buffer.len());
        self.buffer.advance(body);
        self.body_bytes_left = length - body;
        self.waiting.push_back(if must_wait {
            ScannedRequest::InTurn
        } else {
            ScannedRequest::Startable(head)
        });
        if self.buffer.is_empty() {
            // An idle connection keeps no buffer.
            self.buffer = BytesMut::new();
        }
        true
    }
}

/// Reads a head that was seen; `None` if it is none.
pub fn parse_head(head: &[u8]) -> Option<Request<()>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
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
