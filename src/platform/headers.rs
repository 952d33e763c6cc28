//! Names of the platform's headers, and how their values are read and written.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};

use crate::{
    entry::{CallerKey, CallerMetadata, KeyDigest, ReplyMetadata},
    placement::{NamedLimit, TargetStatement},
    prelude::*,
};

/// Id of one attempt of a caller; targets and hosts copy it into their responses.
const ATTEMPT_ID: HeaderName = HeaderName::from_static("lavenderplank-attempt-id");
/// Time for which the caller still waits, in whole milliseconds.
const TIME_LEFT: HeaderName = HeaderName::from_static("lavenderplank-time-remaining");
/// Id of the only target that may execute the request.
const EXPECTED_TARGET: HeaderName = HeaderName::from_static("lavenderplank-expected-instance");
/// Signature of a target's response.
const SIGNATURE: HeaderName = HeaderName::from_static("lavenderplank-server-seal");
/// Present if the target did not execute the request.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("lavenderplank-not-executed");
/// Numbers of running requests, waiting requests and slots, separated by commas.
const LOAD: HeaderName = HeaderName::from_static("lavenderplank-server-load");
/// Requests per second that the target takes from all hosts together. The platform's pages give
/// this name without the prefix that its other headers have.
const LIMIT: [&str; 2] = ["server-limit", "lavenderplank-server-limit"];
/// Present with the value 1 if the target leaves; written like `LIMIT`.
const LEAVING: [&str; 2] = ["server-leaving", "lavenderplank-server-leaving"];
/// Time for which the target stays cold.
const COLD_REMAINING: HeaderName = HeaderName::from_static("lavenderplank-cold-remaining");
/// Key of the caller's team.
const TEAM_KEY: HeaderName = HeaderName::from_static("lavenderplank-key");
/// Name of the caller's team, set by the host.
const TEAM_NAME: HeaderName = HeaderName::from_static("lavenderplank-tenant");
/// Id of the target, in its health responses.
const TARGET_ID: HeaderName = HeaderName::from_static("lavenderplank-instance-id");
/// Cookie that names the object of a request.
const OBJECT_COOKIE: &str = "Lavenderplank-Affinity-Key";

/// Starts of the names of headers that the platform defines.
const NAMESPACES: [&str; 2] = ["lavenderplank-", "server-"];

/// Headers of a target's response that this module knows.
const KNOWN_REPLY_HEADERS: [HeaderName; 6] =
    [ATTEMPT_ID, COLD_REMAINING, LOAD, NOT_EXECUTED, SIGNATURE, TARGET_ID];

/// Reads the headers of a caller's request.
pub fn caller_metadata(headers: &HeaderMap) -> CallerMetadata {
    let time_left = text(headers, &TIME_LEFT).and_then(|text| text.trim().parse().ok());
    CallerMetadata {
        attempt_id: text(headers, &ATTEMPT_ID).map(Arc::from),
        key: caller_key(headers),
        object: object_cookie(headers),
        time_left: time_left.map(Duration::from_millis),
    }
}

/// Reads the status and headers of a target's response.
pub fn reply_metadata(status: StatusCode, headers: &HeaderMap) -> ReplyMetadata {
    ReplyMetadata {
        attempt_id: text(headers, &ATTEMPT_ID).map(Arc::from),
        cold_for: text(headers, &COLD_REMAINING).and_then(crate::base::duration_text::parse),
        load: text(headers, &LOAD).and_then(parse_load),
        not_run: headers.contains_key(&NOT_EXECUTED),
        wrong_target: status == StatusCode::MISDIRECTED_REQUEST,
        signed: headers.contains_key(&SIGNATURE),
        statement: TargetStatement {
            is_leaving: LEAVING.iter().any(|name| says_yes(headers, name)),
            limit: named_limit(headers),
            rest: (status == StatusCode::SERVICE_UNAVAILABLE).then(|| rest(headers)).flatten(),
        },
    }
}

/// Headers of a target's response that the platform defines but this module does not know.
pub fn unknown_reply_headers(headers: &HeaderMap) -> Vec<&HeaderName> {
    let is_platform = |name: &&HeaderName| {
        NAMESPACES.iter().any(|namespace| name.as_str().starts_with(namespace))
    };
    let is_known = |name: &HeaderName| {
        let spelled_twice = LIMIT.contains(&name.as_str()) || LEAVING.contains(&name.as_str());
        spelled_twice || KNOWN_REPLY_HEADERS.contains(name)
    };
    headers.keys().filter(is_platform).filter(|name| !is_known(name)).collect()
}

/// Adds the headers of a request to a target, and replaces the caller's key by the team's name.
pub fn add_target_headers(
    headers: &mut HeaderMap,
    target: &TargetId,
    team: Option<&TeamId>,
    time_left: Duration,
) {
    headers.remove(TEAM_KEY);
    headers.remove(TEAM_NAME);
    if let Some(value) = team.and_then(|team| HeaderValue::from_str(team).ok()) {
        headers.insert(TEAM_NAME, value);
    }
    if let Ok(value) = HeaderValue::from_str(target) {
        headers.insert(EXPECTED_TARGET, value);
    }
    set_time_left(headers, time_left);
}

/// Sets the time for which the caller still waits.
pub fn set_time_left(headers: &mut HeaderMap, time_left: Duration) {
    headers.insert(TIME_LEFT, HeaderValue::from(time_left.as_millis() as u64));
}

/// Adds the headers of a response that the host itself generates.
pub fn add_own_response_headers(headers: &mut HeaderMap, caller: &CallerMetadata) {
    if let Some(value) = caller.attempt_id.as_ref().and_then(|id| HeaderValue::from_str(id).ok()) {
        headers.insert(ATTEMPT_ID, value);
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn caller_key(headers: &HeaderMap) -> CallerKey {
    let mut values = headers.get_all(&TEAM_KEY).iter();
    match (values.next(), values.next()) {
        (None, _) => CallerKey::Missing,
        (Some(key), None) => CallerKey::One(KeyDigest::of(key.as_bytes())),
        (Some(_), Some(_)) => CallerKey::Multiple,
    }
}

fn object_cookie(headers: &HeaderMap) -> Option<Arc<str>> {
    let values = headers.get_all(header::COOKIE).iter().filter_map(|value| value.to_str().ok());
    let mut cookies = values.flat_map(|value| value.split(';'));
    let value = cookies.find_map(|cookie| {
        let (name, value) = cookie.split_once('=')?;
        (name.trim() == OBJECT_COOKIE).then(|| value.trim())
    });
    value.map(Arc::from)
}

/// The lowest of the limits in a response. A negative one counts as zero.
fn named_limit(headers: &HeaderMap) -> Option<NamedLimit> {
    let values = LIMIT.iter().flat_map(|name| headers.get_all(*name));
    let limits = values.map(|value| {
        let limit: Option<f64> = value.to_str().ok().and_then(|text| text.trim().parse().ok());
        limit.filter(|limit| limit.is_finite()).map(|limit| limit.max(0.0))
    });
    let limits: Vec<Option<f64>> = limits.collect();
    if limits.is_empty() {
        return None;
    }
    let lowest = limits.into_iter().flatten().min_by(f64::total_cmp);
    Some(lowest.map_or(NamedLimit::Unreadable, NamedLimit::PerSecond))
}

fn says_yes(headers: &HeaderMap, name: &str) -> bool {
    headers.get_all(name).iter().any(|value| value.as_bytes().trim_ascii() == b"1")
}

/// The longest rest that a response asks for. Anything but a number of seconds asks for none.
fn rest(headers: &HeaderMap) -> Option<Duration> {
    let rests = headers.get_all(header::RETRY_AFTER).iter().filter_map(|value| {
        let secs: f64 = value.to_str().ok()?.trim().parse().ok()?;
        Some(Duration::try_from_secs_f64(secs).unwrap_or(match 0.0 < secs {
            true => Duration::MAX,
            false => Duration::ZERO,
        }))
    });
    rests.max()
}

fn parse_load(text: &str) -> Option<(u32, u32)> {
    let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
    Some((numbers.next()??, numbers.next()??))
}
