//! Detects heads of responses that were joined from two.
//!
//! A response that breaks off inside its head may be followed on its connection by another one. The
//! last line of the first then continues with the status line of the second, and the two parse as
//! one response, with the status of the first and the headers of both.

use http::Response;
use hyper::ext::ReasonPhrase;

/// Start of a status line, without the minor version.
const VERSION: &[u8] = b"HTTP/1.";

/// Digits of a status code.
const STATUS_DIGITS: usize = 3;

/// Whether a status line follows inside the head, in its reason phrase or in a header.
pub(super) fn is_joined<B>(response: &Response<B>) -> bool {
    let reason = response.extensions().get::<ReasonPhrase>().map(ReasonPhrase::as_bytes);
    let values = response.headers().values().map(|value| value.as_bytes());
    reason.into_iter().chain(values).any(contains_status_line)
}

fn contains_status_line(text: &[u8]) -> bool {
    let starts = (0..text.len()).filter_map(|at| text[at..].strip_prefix(VERSION));
    starts.into_iter().any(|rest| match rest {
        [minor, b' ', rest @ ..] if minor.is_ascii_digit() => {
            let digits = rest.iter().take_while(|byte| byte.is_ascii_digit()).count();
            digits == STATUS_DIGITS && matches!(rest.get(digits), None | Some(b' '))
        }
        _ => false,
    })
}
