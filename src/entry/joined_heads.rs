//! Detects heads of responses that were joined from two.
//!
//! A response that breaks off inside its head may be followed on its connection by another one. The
//! last line of the first then continues with the status line of the second, and the two parse as
//! one response, with the status of the first and the headers of both.

use http::Response;
use hyper::ext::ReasonPhrase;

/// Start of a status line, without the minor version.
const VERSION: &[u8] = b"HTTP/1.";

/// Length of a status line up to its status code.
const STATUS_LINE_BYTES: usize = b"HTTP/1.1 200".len();

/// Whether a status line follows inside the head, in its reason phrase or in a header.
pub(super) fn is_joined<B>(response: &Response<B>) -> bool {
    let reason = response.extensions().get::<ReasonPhrase>().map(ReasonPhrase::as_bytes);
    let values = response.headers().values().map(|value| value.as_bytes());
    reason.into_iter().chain(values).any(contains_status_line)
}

fn contains_status_line(text: &[u8]) -> bool {
    text.windows(STATUS_LINE_BYTES).any(|line| match line.strip_prefix(VERSION) {
        Some([minor, b' ', status @ ..]) => {
            minor.is_ascii_digit() && status.iter().all(u8::is_ascii_digit)
        }
        _ => false,
    })
}
