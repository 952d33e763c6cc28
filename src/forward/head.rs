//! Heads of requests to targets and of their answers.

use http::{HeaderMap, HeaderName, HeaderValue, Method, header};

use super::{Attempt, ForwardError, Result};
use crate::base::{self, HeaderLine};

/// Time left for the target, in milliseconds.
const DEADLINE: &str = "lavender-deadline-ms";

/// Id of the request; a target that echoes it must echo this one.
const REQUEST_ID: &str = "lavender-request-id";

/// Set to `1` beside status 503 by a target that did not run the request.
const SHED: &str = "lavender-shed";

/// Lines that concern one connection only (RFC 9110, 7.6.1), or that the client sets itself.
const CONNECTION_LINES: [&str; 13] = [
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

/// The head that goes to the target.
pub(super) fn request_headers(attempt: &Attempt) -> HeaderMap {
    let mut head = HeaderMap::new();
    for line in forwarded(&attempt.headers) {
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
    let millis = u64::try_from(attempt.timeout.as_millis()).unwrap_or(u64::MAX);
    head.insert(HeaderName::from_static(DEADLINE), millis.into());
    head
}

/// The lines of the answer that go on to the caller. A streamed body's length goes with them, so
/// that the caller, too, sees when it is cut short.
pub(super) fn response_headers(attempt: &Attempt, head: &HeaderMap) -> Vec<HeaderLine> {
    let lines: Vec<_> =
        head.iter().map(|(name, value)| HeaderLine::from_http(name, value)).collect();
    let mut kept: Vec<_> = forwarded(&lines).cloned().collect();
    if !attempt.buffer_response {
        let length = lines.into_iter().find(|line| &*line.name == "content-length");
        kept.extend(length);
    }
    kept
}

/// Refuses a head that is not for this request, that sheds it, or whose body has no certain end.
pub(super) fn check(attempt: &Attempt, status: u16, head: &HeaderMap) -> Result<()> {
    let mut echoes = head.get_all(REQUEST_ID).iter();
    if echoes.any(|echo| echo.as_bytes() != attempt.request.as_bytes()) {
        return Err(ForwardError::InvalidResponse);
    }
    if status == 503 && head.get(SHED).is_some_and(|value| value == "1") {
        return Err(ForwardError::Shed { retry_after: retry_after(head) });
    }
    if status < 200 || !has_certain_end(attempt, status, head) {
        return Err(ForwardError::InvalidResponse);
    }
    Ok(())
}

/// A body that ends when the connection does can be cut without anyone noticing.
fn has_certain_end(attempt: &Attempt, status: u16, head: &HeaderMap) -> bool {
    let without_body = attempt.method == Method::HEAD || status == 204 || status == 304;
    let chunked = head.get(header::TRANSFER_ENCODING).is_some_and(|value| {
        value.to_str().is_ok_and(|text| text.trim().eq_ignore_ascii_case("chunked"))
    });
    without_body || chunked || head.contains_key(header::CONTENT_LENGTH)
}

fn retry_after(head: &HeaderMap) -> Option<std::time::Duration> {
    let text = head.get(header::RETRY_AFTER)?.to_str().ok()?;
    text.trim().parse().ok().map(std::time::Duration::from_secs)
}

/// Leaves out the lines of one connection and those that its `connection` line names.
fn forwarded(lines: &[HeaderLine]) -> impl Iterator<Item = &HeaderLine> {
    let named = base::header(lines, "connection").unwrap_or_default().to_ascii_lowercase();
    lines.iter().filter(move |line| {
        let own = CONNECTION_LINES.contains(&&*line.name);
        !own && !named.split(',').any(|name| name.trim() == &*line.name)
    })
}
