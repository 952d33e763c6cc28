//! Responses to callers.

use http::{HeaderName, HeaderValue, StatusCode};
use warp::reply::{Reply as _, Response};

use super::{headers, incoming::encode_mark};
use crate::{
    base::HeaderLine, base::Resend, ledger::KeptAnswer, prelude::*, quarantine::QuarantineMark,
};

/// The response for an error kind, with status and advice from its `ErrorKind::response`.
pub fn error_response(
    error: ErrorKind,
    request: &str,
    detail: Option<&str>,
    retry: Option<Duration>,
) -> Response {
    let response = error.response();
    let name = serde_json::to_value(error).unwrap_or_default();
    let name = name.as_str().unwrap_or_default().to_owned();
    let text = detail.map_or_else(|| error.to_string(), |detail| format!("{error}: {detail}"));
    let body = serde_json::json!({ "error": name, "message": text, "ran": response.ran });
    let mut res = warp::reply::json(&body).into_response();
    *res.status_mut() = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    add_header(&mut res, headers::ERROR, &name);
    add_status_headers(&mut res, response.ran, response.resend, request);
    if let Some(wait) = retry.or(response.retry_after) {
        let secs = wait.as_secs_f64().ceil().max(1.0);
        add_header(&mut res, headers::RETRY_AFTER, &format!("{secs:.0}"));
    }
    res
}

/// Advises a new idempotency key if the request is reported as not run. The ledger refuses the old
/// key from then on, so that a copy in transit cannot run after all; a resend would fail with it.
pub fn advise_new_key(res: &mut Response, error: ErrorKind) {
    let response = error.response();
    if response.ran == Ran::No && response.resend == Resend::Same {
        let fresh = HeaderValue::from_static(Resend::Fresh.as_str());
        res.headers_mut().insert(headers::RESEND, fresh);
    }
}

/// Adds the quarantine mark of the request, for the host that forwarded it.
pub fn add_mark(res: &mut Response, mark: &QuarantineMark) {
    add_header(res, headers::MARK, &encode_mark(mark));
}

/// The complete response of a target, from a new attempt or from the ledger.
pub fn full_response(answer: &KeptAnswer, request: &str) -> Response {
    let mut res = Response::new(answer.body.clone().into());
    *res.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    copy_headers(&mut res, &answer.headers);
    add_status_headers(&mut res, Ran::Yes, Resend::Never, request);
    res
}

/// A target's response whose body is streamed as it arrives.
pub fn streamed_response<S>(status: u16, lines: &[HeaderLine], body: S, request: &str) -> Response
where
    S: futures::Stream<Item = std::result::Result<bytes::Bytes, std::io::Error>>
        + Send
        + Sync
        + 'static,
{
    let mut res = warp::reply::stream(body).into_response();
    *res.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    copy_headers(&mut res, lines);
    for line in lines.iter().filter(|line| line.name.eq_ignore_ascii_case("content-length")) {
        add_header(&mut res, "content-length", &line.value);
    }
    add_status_headers(&mut res, Ran::Yes, Resend::Never, request);
    res
}

fn add_status_headers(res: &mut Response, ran: Ran, resend: Resend, request: &str) {
    add_header(res, headers::RAN, ran.as_str());
    add_header(res, headers::RESEND, resend.as_str());
    add_header(res, headers::REQUEST, request);
}

fn copy_headers(res: &mut Response, lines: &[HeaderLine]) {
    let skipped = ["connection", "content-length", "keep-alive", "transfer-encoding"];
    for line in lines {
        let name = line.name.to_ascii_lowercase();
        if !skipped.contains(&name.as_str()) && !name.starts_with(headers::PREFIX) {
            add_header(res, &name, &line.value);
        }
    }
}

fn add_header(res: &mut Response, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes());
    let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) else { return };
    res.headers_mut().append(name, value);
}
