//! A request to a single target.

use bytes::Bytes;
use http::Method;

use crate::{base::HeaderLine, prelude::*};

/// A request to a target or another host, with its limits.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub address: SocketAddr,
    pub body: Bytes,
    /// Maximum number of concurrent connections to this address.
    pub max_connections: u32,
    /// Time left for the request, including the wait for a connection and the response.
    pub timeout: Duration,
    /// Headers of the caller's request; connection-specific ones are not sent.
    pub headers: Vec<HeaderLine>,
    pub method: Method,
    /// Path and query, with the leading slash.
    pub path: Arc<str>,
    /// Whether the request may run twice. If not, it is sent over a new connection.
    pub is_idempotent: bool,
    pub request: RequestId,
    /// Whether the response is read completely before it is returned; otherwise its body is a
    /// stream.
    pub buffer_response: bool,
}
