//! Names of headers, and what they hold.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};

use crate::{
    entry::{CallerKey, CallerMetadata, KeyDigest, ReplyMetadata},
    prelude::*,
};

/// Id of one attempt of a caller; targets and hosts repeat it in their answers.
const ATTEMPT: HeaderName = HeaderName::from_static("lavenderplank-attempt-id");
/// Whole milliseconds that the caller still waits.
const TIME_LEFT: HeaderName = HeaderName::from_static("lavenderplank-time-remaining");
/// Id of the only target that may run the request.
const EXPECTED: HeaderName = HeaderName::from_static("lavenderplank-expected-instance");
/// Signature of a target's answer.
const SEAL: HeaderName = HeaderName::from_static("lavenderplank-server-seal");
/// Present where the target has not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("lavenderplank-not-executed");
/// Running and waiting requests and slots, with commas.
const LOAD: HeaderName = HeaderName::from_static("lavenderplank-server-load");
/// Time that the target stays cold.
const COLD: HeaderName = HeaderName::from_static("lavenderplank-cold-remaining");
/// Key of the caller's team.
const KEY: HeaderName = HeaderName::from_static("lavenderplank-key");
/// Name of the caller's team, set by the host.
const TEAM: HeaderName = HeaderName::from_static("lavenderplank-tenant");
/// Cookie with the object that a request is about.
const OBJECT_COOKIE: &str = "Lavenderplank-Affinity-Key";

/// Reads what a caller says.
pub fn caller(headers: &HeaderMap) -> CallerMetadata {
    let left = text(headers, &TIME_LEFT).and_then(|text| text.trim().parse().ok());
    CallerMetadata {
        attempt_id: text(headers, &ATTEMPT).map(Arc::from),
        key: key(headers),
        object: object(headers),
        time_left: left.map(Duration::from_millis),
    }
}

/// Reads what a target says.
pub fn reply(status: StatusCode, headers: &HeaderMap) -> ReplyMetadata {
    ReplyMetadata {
        attempt_id: text(headers, &ATTEMPT).map(Arc::from),
        cold_for: text(headers, &COLD).and_then(crate::base::duration_text::parse),
        load: text(headers, &LOAD).and_then(load),
        not_run: headers.contains_key(&NOT_RUN),
        wrong_target: status == StatusCode::MISDIRECTED_REQUEST,
        signed: headers.contains_key(&SEAL),
    }
}

/// Marks a request for one target, and replaces the key by the name of the team.
pub fn mark(headers: &mut HeaderMap, target: &TargetId, team: Option<&TeamId>, left: Duration) {
    headers.remove(KEY);
    headers.remove(TEAM);
    if let Some(value) = team.and_then(|team| HeaderValue::from_str(team).ok()) {
        headers.insert(TEAM, value);
    }
    if let Ok(value) = HeaderValue::from_str(target) {
        headers.insert(EXPECTED, value);
    }
    headers.insert(TIME_LEFT, HeaderValue::from(left.as_millis() as u64));
}

/// Marks an answer of the host's own.
pub fn mark_own(headers: &mut HeaderMap, note: &CallerMetadata) {
    if let Some(value) = note.attempt_id.as_ref().and_then(|id| HeaderValue::from_str(id).ok()) {
        headers.insert(ATTEMPT, value);
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn key(headers: &HeaderMap) -> CallerKey {
    let mut values = headers.get_all(&KEY).iter();
    match (values.next(), values.next()) {
        (None, _) => CallerKey::Missing,
        (Some(key), None) => CallerKey::One(KeyDigest::of(key.as_bytes())),
        (Some(_), Some(_)) => CallerKey::Multiple,
    }
}

fn object(headers: &HeaderMap) -> Option<Arc<str>> {
    let lines = headers.get_all(header::COOKIE).iter().filter_map(|value| value.to_str().ok());
    let mut cookies = lines.flat_map(|line| line.split(';'));
    let value = cookies.find_map(|cookie| {
        let (name, value) = cookie.split_once('=')?;
        (name.trim() == OBJECT_COOKIE).then(|| value.trim())
    });
    value.map(Arc::from)
}

fn load(text: &str) -> Option<(u32, u32)> {
    let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
    Some((numbers.next()??, numbers.next()??))
}
