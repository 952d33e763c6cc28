//! Headers of requests to targets and of their responses.

use http::{HeaderMap, HeaderName, HeaderValue, Method, header};

use super::{Attempt, ForwardError, Result};
use crate::base::{self, HeaderLine};

/// Header with the time left for the target, in milliseconds.
const DEADLINE: &str = "lavender-deadline-ms";

/// Header with the request id. A target may return it in the response, but only unchanged.
const REQUEST_ID: &str = "lavender-request-id";

/// Header that a target sets to `1` with status 503 if it did not run the request.
const SHED: &str = "lavender-shed";

/// Headers that apply to a single connection (RFC 9110, 7.6.1) or that the HTTP client sets itself.
const CONNECTION_HEADERS: [&str; 13] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    DEADLINE,
];

/// Returns the headers to send to the target.
pub(super) fn request_headers(attempt: &Attempt) -> HeaderMap {
    let mut head = HeaderMap::new();
    for line in forwardable(&attempt.headers) {
        if &*line.name == REQUEST_ID {
            continue;
        }
        if let Some((name, value)) = line.to_http() {
            head.append(name, value);
        }
    }
    if let Ok(id) = HeaderValue::from_str(&attempt.request) {
        head.insert(HeaderName::from_static(REQUEST_ID), id);
    }
    head.entry(header::ACCEPT).or_insert(HeaderValue::from_static("*/*"));
    let millis = u64::try_from(attempt.timeout.as_millis()).unwrap_or(u64::MAX);
    head.insert(HeaderName::from_static(DEADLINE), millis.into());
    head
}

/// Returns the headers of the response that are passed on to the caller. They include the length of
/// a streamed body, so that the caller can detect a truncated one.
pub(super) fn response_headers(attempt: &Attempt, head: &HeaderMap) -> Vec<HeaderLine> {
    let lines: Vec<_> =
        head.iter().map(|(name, value)| HeaderLine::from_http(name, value)).collect();
    let mut headers: Vec<_> = forwardable(&lines).cloned().collect();
    if !attempt.buffer_response {
        let length = lines.into_iter().find(|line| &*line.name == "content-length");
        headers.extend(length);
    }
    headers
}

/// Checks that the response belongs to this request, does not shed it, and has a body whose end can
/// be detected.
pub(super) fn check(attempt: &Attempt, status: u16, head: &HeaderMap) -> Result<()> {
    let mut returned_ids = head.get_all(REQUEST_ID).iter();
    if returned_ids.any(|id| id.as_bytes() != attempt.request.as_bytes()) {
        return Err(ForwardError::InvalidResponse);
    }
    if status == 503 && head.get(SHED).is_some_and(|value| value == "1") {
        return Err(ForwardError::Shed { retry_after: retry_after(head) });
    }
    if !has_detectable_end(attempt, status, head) || is_unconditional_304(attempt, status) {
        return Err(ForwardError::InvalidResponse);
    }
    Ok(())
}

/// Whether the response says that the caller's copy is current although the request has no condition.
fn is_unconditional_304(attempt: &Attempt, status: u16) -> bool {
    let has = |name| base::header(&attempt.headers, name).is_some();
    status == 304 && !has("if-none-match") && !has("if-modified-since")
}

/// Whether the end of the body can be told from a lost connection. A body that is delimited only by
/// the end of the connection may be truncated without any error.
fn has_detectable_end(attempt: &Attempt, status: u16, head: &HeaderMap) -> bool {
    let without_body = attempt.method == Method::HEAD || status == 204 || status == 304;
    without_body
        || head.contains_key(header::TRANSFER_ENCODING)
        || head.contains_key(header::CONTENT_LENGTH)
}

fn retry_after(head: &HeaderMap) -> Option<std::time::Duration> {
    let text = head.get(header::RETRY_AFTER)?.to_str().ok()?;
    text.trim().parse().ok().map(std::time::Duration::from_secs)
}

/// Returns the headers to forward: all but the connection-specific ones and those that the
/// `connection` header names.
fn forwardable(lines: &[HeaderLine]) -> impl Iterator<Item = &HeaderLine> {
    let named = base::header(lines, "connection").unwrap_or_default().to_ascii_lowercase();
    lines.iter().filter(move |line| {
        let is_connection_specific = CONNECTION_HEADERS.contains(&&*line.name);
        !is_connection_specific && !named.split(',').any(|name| name.trim() == &*line.name)
    })
}
