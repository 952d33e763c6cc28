//! Answers to callers.

use http::{HeaderName, HeaderValue, StatusCode};
use warp::reply::{Reply as _, Response};

use super::{headers, incoming::encode_mark};
use crate::{
    base::HeaderLine, base::Resend, ledger::KeptAnswer, prelude::*, quarantine::QuarantineMark,
};

/// The answer of the table's row for an error kind.
pub fn error_response(
    error: ErrorKind,
    request: &str,
    detail: Option<&str>,
    retry: Option<Duration>,
) -> Response {
    let row = error.row();
    let name = serde_json::to_value(error).unwrap_or_default();
    let name = name.as_str().unwrap_or_default().to_owned();
    let text = detail.map_or_else(|| error.to_string(), |detail| format!("{error}: {detail}"));
    let body = serde_json::json!({ "error": name, "message": text, "ran": row.ran });
    let mut res = warp::reply::json(&body).into_response();
    *res.status_mut() = StatusCode::from_u16(row.status).unwrap_or(StatusCode::BAD_GATEWAY);
    add_header(&mut res, headers::ERROR, &name);
    add_status_headers(&mut res, row.ran, row.resend, request);
    if let Some(wait) = retry.or(row.retry_after) {
        let secs = wait.as_secs_f64().ceil().max(1.0);
        add_header(&mut res, headers::RETRY_AFTER, &format!("{secs:.0}"));
    }
    res
}

/// Advises a new key where the old one was told `not run`: the ledger refuses that key from then
/// on, so that a copy still under way cannot run after all, and the same key would be sent in vain.
pub fn advise_new_key(res: &mut Response, error: ErrorKind) {
    let row = error.row();
    if row.ran == Ran::No && row.resend == Resend::Same {
        let fresh = HeaderValue::from_static(Resend::Fresh.as_str());
        res.headers_mut().insert(headers::RESEND, fresh);
    }
}

/// Tells the host that sent the request what is known of it.
pub fn add_mark(res: &mut Response, mark: &QuarantineMark) {
    add_header(res, headers::MARK, &encode_mark(mark));
}

/// The whole answer of a target, now or from the ledger.
pub fn full_response(answer: &KeptAnswer, request: &str) -> Response {
    let mut res = Response::new(answer.body.clone().into());
    *res.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    copy_headers(&mut res, &answer.headers);
    add_status_headers(&mut res, Ran::Yes, Resend::Never, request);
    res
}

/// The head of a target's answer whose body is still on its way.
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
