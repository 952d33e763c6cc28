//! Requests that a target's stand-in receives.

use std::io;

use bytes::{Buf, Bytes, BytesMut};
use tokio::{io::AsyncReadExt, net::TcpStream, time::Instant};

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 2048;

/// A request received by the target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedRequest {
    pub at: Instant,
    pub attempt_id: String,
    pub body: Bytes,
    /// Number of the connection, from 1 in order of acceptance.
    pub connection: usize,
    /// Whether the request contained a caller's key.
    pub has_key: bool,
    pub method: String,
    /// Id of the target for which the request is intended.
    pub expected_target: String,
    pub path: String,
    /// Whether the target executed the request.
    pub ran: bool,
    /// Team name in the request's header.
    pub team: Option<String>,
    /// Time for which the caller still waits, in milliseconds.
    pub time_left: Option<u64>,
}

/// Reads one request.
pub(super) async fn read_request(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    connection: usize,
) -> io::Result<Option<ReceivedRequest>> {
    loop {
        if let Some(request) = parse(buf, connection)? {
            return Ok(Some(request));
        }
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    }
}

fn parse(buf: &mut BytesMut, connection: usize) -> io::Result<Option<ReceivedRequest>> {
    let mut headers = vec![httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(head) = req.parse(buf).map_err(io::Error::other)? else {
        return Ok(None);
    };
    let text = |name: &str| {
        let header = req.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        header.map(|header| String::from_utf8_lossy(header.value).into_owned())
    };
    let length: usize =
        text("content-length").and_then(|length| length.parse().ok()).unwrap_or_default();
    if buf.len() < head + length {
        return Ok(None);
    }
    let mut request = ReceivedRequest {
        at: Instant::now(),
        attempt_id: text("lavenderplank-attempt-id").unwrap_or_default(),
        body: Bytes::new(),
        connection,
        has_key: text("lavenderplank-key").is_some(),
        expected_target: text("lavenderplank-expected-instance").unwrap_or_default(),
        method: req.method.unwrap_or_default().to_owned(),
        path: req.path.unwrap_or_default().to_owned(),
        ran: false,
        team: text("lavenderplank-tenant"),
        time_left: text("lavenderplank-time-remaining").and_then(|left| left.parse().ok()),
    };
    buf.advance(head);
    request.body = buf.split_to(length).freeze();
    Ok(Some(request))
}
