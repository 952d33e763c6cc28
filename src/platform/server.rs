//! What targets say of themselves in the store.

use crate::{
    base::duration_text,
    entry::{DecodeError, TargetEntry},
    prelude::*,
};

#[derive(Deserialize)]
struct Object {
    spec: Option<Server>,
    status: Option<Status>,
}

#[derive(Deserialize)]
struct Server {
    address: SocketAddr,
    /// Unix time of its start, in milliseconds.
    #[serde(default)]
    born: u64,
    info: Info,
    status: Option<Status>,
}

#[derive(Deserialize)]
struct Info {
    service: ServiceId,
    slots: u32,
    zone: ZoneId,
}

#[derive(Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Status {
    #[serde(default, with = "duration_text::field")]
    cold_remaining: Duration,
    state: State,
}

#[derive(Clone, Copy, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
enum State {
    Draining,
    Ready,
}

/// Reads one entry. One with anything missing, of another type or unknown names no target to use.
pub fn read(id: &str, object: &[u8]) -> Result<TargetEntry, DecodeError> {
    let bad = |text: String| DecodeError(text.into());
    let object: Object = serde_json::from_slice(object).map_err(|error| bad(error.to_string()))?;
    let server = object.spec.ok_or_else(|| bad("it says nothing".into()))?;
    let status = object.status.or(server.status).ok_or_else(|| bad("it has no state".into()))?;
    if server.info.slots == 0 {
        return Err(bad("it has no slots".into()));
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
