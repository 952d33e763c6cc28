//! Answers to callers.

use http::{HeaderName, HeaderValue, StatusCode};
use warp::reply::{Reply as _, Response};

use super::{headers, incoming::mark_text};
use crate::{
    base::HeaderLine, base::Resend, ledger::KeptAnswer, prelude::*, quarantine::QuarantineMark,
};

/// The answer of the table's row for an error kind.
pub fn error(
    error: ErrorKind,
    request: &str,
    detail: Option<&str>,
    retry: Option<Duration>,
) -> Response {
    let row = error.response();
    let name = serde_json::to_value(error).unwrap_or_default();
    let name = name.as_str().unwrap_or_default().to_owned();
    let text = detail.map_or_else(|| error.to_string(), |detail| format!("{error}: {detail}"));
    let body = serde_json::json!({ "error": name, "message": text, "ran": row.ran });
    let mut res = warp::reply::json(&body).into_response();
    *res.status_mut() = StatusCode::from_u16(row.status).unwrap_or(StatusCode::BAD_GATEWAY);
    put(&mut res, headers::ERROR, &name);
    stamp(&mut res, row.ran, row.resend, request);
    if let Some(wait) = retry.or(row.retry_after) {
        let secs = wait.as_secs_f64().ceil().max(1.0);
        put(&mut res, headers::RETRY_AFTER, &format!("{secs:.0}"));
    }
    res
}

/// Advises a new key where the old one was told `not run`: the ledger refuses that key from then
/// on, so that a copy still under way cannot run after all, and the same key would be sent in vain.
pub fn close_key(res: &mut Response, error: ErrorKind) {
    let row = error.response();
    if row.ran == Ran::No && row.resend == Resend::Same {
        let fresh = HeaderValue::from_static(Resend::Fresh.as_str());
        res.headers_mut().insert(headers::RESEND, fresh);
    }
}

/// Tells the host that sent the request what is known of it.
pub fn put_mark(res: &mut Response, mark: &QuarantineMark) {
    put(res, headers::MARK, &mark_text(mark));
}

/// The whole answer of a target, now or from the ledger.
pub fn whole(answer: &KeptAnswer, request: &str) -> Response {
    let mut res = Response::new(answer.body.clone().into());
    *res.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    copy(&mut res, &answer.headers);
    stamp(&mut res, Ran::Yes, Resend::Never, request);
    res
}

/// The head of a target's answer whose body is still on its way.
pub fn streamed<S>(status: u16, lines: &[HeaderLine], body: S, request: &str) -> Response
where
    S: futures::Stream<Item = std::result::Result<bytes::Bytes, std::io::Error>>
        + Send
        + Sync
        + 'static,
{
    let mut res = warp::reply::stream(body).into_response();
    *res.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    copy(&mut res, lines);
    for line in lines.iter().filter(|line| line.name.eq_ignore_ascii_case("content-length")) {
        put(&mut res, "content-length", &line.value);
    }
    stamp(&mut res, Ran::Yes, Resend::Never, request);
    res
}

fn stamp(res: &mut Response, ran: Ran, resend: Resend, request: &str) {
    put(res, headers::RAN, ran.as_str());
    put(res, headers::RESEND, resend.as_str());
    put(res, headers::REQUEST, request);
}

fn copy(res: &mut Response, lines: &[HeaderLine]) {
    let skipped = ["connection", "content-length", "keep-alive", "transfer-encoding"];
    for line in lines {
        let name = line.name.to_ascii_lowercase();
        if !skipped.contains(&name.as_str()) && !name.starts_with(headers::PREFIX) {
            put(res, &name, &line.value);
        }
    }
}

fn put(res: &mut Response, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes());
    let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) else { return };
    res.headers_mut().append(name, value);
}
