//! HTTP pipelining: requests that a caller sends before earlier ones are answered.
//!
//! The HTTP library hands over a request only after the previous one is answered, which would delay
//! it by the time of the previous one. This module scans the incoming bytes for request heads, so
//! that idempotent requests without a body can be started at once. Their responses wait until the
//! library hands over the same request, so that they are sent in order.

use std::collections::VecDeque;

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderName, HeaderValue, Method, Request, Uri};

use super::request_framing::RequestFraming;

/// Most headers of a request that can be started early.
const MAX_HEADERS: usize = 64;

/// Largest head of a request that can be started early.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Most pipelined requests that are scanned; if a caller sends more, all are served in turn.
const MAX_WAITING_REQUESTS: usize = 8;

/// A request found in the incoming bytes.
#[derive(Clone, Debug, PartialEq)]
pub enum ScannedRequest {
    /// A GET request without a body, with its head; may be started early.
    Startable(Bytes),
    /// Any other request; served when its turn comes.
    InTurn,
}

/// Scans the bytes received on one connection for request heads.
#[derive(Debug, Default)]
pub struct PipelineScanner {
    /// Scanning has stopped, because the bounds of further requests are not certain, or none follow.
    is_stopped: bool,
    waiting: VecDeque<ScannedRequest>,
    /// Bytes of the current request's body that have not arrived yet.
    body_bytes_left: usize,
    buffer: BytesMut,
}

impl PipelineScanner {
    /// Scans the next bytes.
    pub fn feed(&mut self, mut bytes: &[u8]) {
        if self.is_stopped {
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

    /// Removes and returns the request whose turn it is; `None` if it was not scanned.
    pub fn take_next(&mut self) -> Option<ScannedRequest> {
        self.waiting.pop_front()
    }

    /// Scanned requests whose turn has not come.
    pub fn waiting(&self) -> impl Iterator<Item = &ScannedRequest> {
        self.waiting.iter()
    }

    /// Stops scanning for good, and forgets the requests found so far: all further ones are served in
    /// turn.
    pub fn disable(&mut self) {
        self.stop();
        self.waiting.clear();
    }

    /// Stops scanning for good: nothing behind the requests found so far is started early.
    fn stop(&mut self) {
        self.is_stopped = true;
        self.buffer = BytesMut::new();
    }

    /// Takes one request off the buffer; false if its head is incomplete or scanning has stopped.
    fn scan_one(&mut self) -> bool {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut req = httparse::Request::new(&mut headers);
        let size = match req.parse(&self.buffer) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) => return false,
            Err(_) => {
                // The HTTP library rejects the request in its turn and closes the connection.
                self.stop();
                return false;
            }
        };
        let Some(framing) = RequestFraming::of(&req) else {
            self.stop();
            return false;
        };
        let must_wait = req.method != Some("GET") || 0 < framing.body_bytes;
        let head = self.buffer.split_to(size).freeze();
        self.waiting.push_back(if must_wait {
            ScannedRequest::InTurn
        } else {
            ScannedRequest::Startable(head)
        });
        if framing.is_last {
            self.stop();
            return false;
        }
        let body = framing.body_bytes.min(self.buffer.len());
        self.buffer.advance(body);
        self.body_bytes_left = framing.body_bytes - body;
        if self.buffer.is_empty() {
            // Free the memory: most connections are idle most of the time.
            self.buffer = BytesMut::new();
        }
        true
    }
}

/// Parses a request's head; `None` if it is not a valid one.
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
