//! What a request's head says of its body and its connection.
//!
//! The bytes behind a head are the next request only where its body ends, and a request that is
//! started early runs before the HTTP library has read the heads in front of it. Heads that another
//! reader could understand differently (RFC 9112, sections 3.2, 6.3 and 9.3) therefore bound nothing
//! here: the library alone decides on them, in their turn.

use http::{HeaderMap, HeaderName, header};
use httparse::Header;

/// Headers that change how the bytes behind a head are read.
const UNSUPPORTED: [HeaderName; 3] = [header::EXPECT, header::TRANSFER_ENCODING, header::UPGRADE];

/// The bounds of a request, as all readers understand them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestFraming {
    pub body_bytes: usize,
    /// Whether the connection is closed behind the response.
    pub is_last: bool,
}

impl RequestFraming {
    /// Reads the framing of a parsed head; `None` if it is not plain.
    pub fn of(head: &httparse::Request<'_, '_>) -> Option<Self> {
        let values = |name: HeaderName| {
            let is_named =
                move |header: &&Header<'_>| header.name.eq_ignore_ascii_case(name.as_str());
            head.headers.iter().filter(is_named).map(|header| header.value)
        };
        let is_supported = head.version == Some(1) && head.method != Some("CONNECT");
        if !is_supported || UNSUPPORTED.into_iter().any(|name| values(name).next().is_some()) {
            return None;
        }
        if 1 < values(header::HOST).count() {
            return None;
        }
        let mut lengths = values(header::CONTENT_LENGTH);
        let body_bytes = match (lengths.next(), lengths.next()) {
            (None, _) => 0,
            (Some(length), None) => parse_length(length)?,
            (Some(_), Some(_)) => return None,
        };
        let mut is_last = false;
        for value in values(header::CONNECTION) {
            let options = std::str::from_utf8(value).ok()?;
            is_last |= options.split(',').any(|it| it.trim().eq_ignore_ascii_case("close"));
        }
        Some(Self { body_bytes, is_last })
    }
}

/// Whether a request names more than one host. Readers differ in which one they take.
pub fn has_several_hosts(headers: &HeaderMap) -> bool {
    1 < headers.get_all(header::HOST).iter().count()
}

/// Reads a length: digits alone, as the standard defines it.
fn parse_length(value: &[u8]) -> Option<usize> {
    if !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}
