//! Decodes the objects that targets write into the store about themselves.

use http::HeaderValue;
use serde::de::IgnoredAny;

use crate::{
    base::duration_text,
    entry::{DecodeError, TargetEntry},
    prelude::*,
};

/// Longest id of a target. Each request names its target in a header.
const MAX_ID_BYTES: usize = 1_024;

#[derive(Deserialize)]
struct Object {
    spec: Option<Server>,
    status: Option<Status>,
}

#[derive(Deserialize)]
struct Server {
    address: SocketAddr,
    /// Unix time at which the target started, in milliseconds.
    #[serde(default)]
    born: u64,
    info: Info,
    status: Option<Status>,
}

#[derive(Deserialize)]
struct Info {
    service: ServiceId,
    slots: u32,
    #[serde(rename = "version")]
    _version: IgnoredAny,
    zone: ZoneId,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Status {
    #[serde(with = "duration_text::field")]
    cold_remaining: Duration,
    #[serde(rename = "sequence")]
    _sequence: IgnoredAny,
    state: State,
}

#[derive(Clone, Copy, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
enum State {
    Draining,
    Ready,
}

/// Decodes one object. Returns an error if a field is missing, has the wrong type or has an unknown
/// value: such a target must not be used.
pub fn decode(id: &str, object: &[u8]) -> Result<TargetEntry, DecodeError> {
    let invalid = |text: String| DecodeError(text.into());
    let object: Object =
        serde_json::from_slice(object).map_err(|error| invalid(error.to_string()))?;
    let server = object.spec.ok_or_else(|| invalid("no `spec`".into()))?;
    let status = object.status.or(server.status).ok_or_else(|| invalid("no `status`".into()))?;
    if server.info.slots == 0 {
        return Err(invalid("`slots` is 0".into()));
    }
    if !(1..=MAX_ID_BYTES).contains(&id.len()) || HeaderValue::from_str(id).is_err() {
        return Err(invalid("no header can hold the name".into()));
    }
    Ok(TargetEntry {
        addr: server.address,
        cold_for: status.cold_remaining,
        id: id.into(),
        ready: status.state == State::Ready,
        service: server.info.service,
        slots: server.info.slots,
        started: server.born,
        zone: server.info.zone,
    })
}
