//! One request to one target.

use bytes::Bytes;
use http::Method;

use crate::{base::HeaderLine, prelude::*};

/// What is sent, where to, and for how long.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub address: SocketAddr,
    pub body: Bytes,
    /// Most connections to this address at the same time.
    pub max_connections: u32,
    /// Time left for the whole exchange.
    pub timeout: Duration,
    /// Lines of the caller's head; those that concern one connection only are left out.
    pub headers: Vec<HeaderLine>,
    pub method: Method,
    /// Path and query, with the leading slash.
    pub path: Arc<str>,
    /// Whether it may run twice. If not, it goes over a connection of its own.
    pub is_idempotent: bool,
    pub request: RequestId,
    /// Whether the answer is held whole before it is given back; else its body is a stream.
    pub buffer_response: bool,
}
