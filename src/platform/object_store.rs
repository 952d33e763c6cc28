//! Client of the platform's store.

use std::{borrow::Cow, collections::BTreeSet, sync::Mutex};

use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, header, response::Parts};
use http_body_util::Full;
use hyper_util::client::legacy;
use serde_json::value::RawValue;

use super::{
    listing::Reading,
    object_urls::{object_path, split_key},
    restore_counter::RestoreCounter,
};
use crate::{
    base::{BootClock, read_bounded_body, with_root_cause},
    prelude::*,
    response_framing::{CheckedClient, ConnectionOptions, Keepalive},
    store::{
        CallKind, CallRateLimiter, Change, Changes, Entry, Expect, Listing, OperationId, Platform,
        PlatformError, RateLimits, Result, StorePoint, Version, VersionedObject,
        damaged_list::{self, Damage},
    },
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of a call, from its start to the last byte of the response. The store normally answers
/// within milliseconds, and within a few hundred when it is slow.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time added to the requested wait for the timeout of a watch. A watch that stays silent longer is
/// broken.
const WATCH_GRACE: Duration = Duration::from_millis(1_000);

/// Size limit of a response. A page of a listing has up to 1 MB; the changes that a watch returns are
/// not paged.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Pause after a call that the store refused with status 429.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Rate limits of one host. They allow one watch per change of any kind, and the listings after an
/// outage.
const RATE_LIMITS: RateLimits = RateLimits { reads: 20.0, watches: 40.0, writes: 4.0 };

/// Header of all responses with the number of times that the store was restored from a copy.
const RESTORES_HEADER: &str = "store-era";

/// Idle connections that are kept, and time after which one is closed.
const IDLE_CONNECTIONS: usize = 4;
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);

/// Keepalive of connections. Without it, one that is cut by a partition would appear open for as long as
/// a watch waits. The default user timeout would override the number of probes.
const KEEPALIVE: Keepalive = Keepalive {
    idle: Duration::from_secs(1),
    interval: Duration::from_secs(1),
    retries: 2,
    user_timeout: Duration::from_secs(3),
};

/// Client of the platform's store, with timeouts and a rate limiter.
pub struct ObjectStore {
    address: SocketAddr,
    limiter: Mutex<CallRateLimiter>,
    client: CheckedClient,
    clock: BootClock,
    restores: RestoreCounter,
}

#[derive(Deserialize)]
pub(super) struct Metadata {
    name: Arc<str>,
    #[serde(default)]
    pub revision: Version,
}

#[derive(Deserialize)]
pub(super) struct Object {
    pub metadata: Metadata,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WatchResponse {
    current_rev: Version,
    events: Vec<Event>,
}

#[derive(Deserialize)]
struct Event {
    #[serde(default)]
    deleted: bool,
    object: Box<RawValue>,
}

/// Body of a write.
#[derive(Serialize)]
struct WriteBody<'a> {
    metadata: WriteMetadata<'a>,
    spec: &'a RawValue,
}

#[derive(Serialize)]
struct WriteMetadata<'a> {
    name: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<Version>,
}

/// What stands for an object with bytes that can't be read: none of the values that the platform
/// defines.
const UNREADABLE: &str = r#""bytes that can't be read""#;

/// Path of a call that only shows whether the store answers: an object that does not exist, by a read
/// that may be old, which is the cheapest one.
const PROBE_PATH: &str = "lavenderplank-hosts/-?staleOk=1";

/// Most objects of one watch that are read by name; a listing reads more of them with fewer calls.
const MAX_CONFIRMED_CHANGES: usize = 16;

pub(super) struct CallResponse {
    body: Bytes,
    is_utf8: bool,
    /// Number of restores of the store that the response belongs to.
    pub restores: u64,
    status: StatusCode,
}

impl ObjectStore {
    /// Returns a client of the store at `address`. Sends nothing yet.
    pub fn new(address: SocketAddr) -> Self {
        let client = CheckedClient::new(ConnectionOptions {
            connect_timeout: CONNECT_TIMEOUT,
            idle_connections: IDLE_CONNECTIONS,
            idle_timeout: IDLE_TIMEOUT,
            keepalive: KEEPALIVE,
        });
        let clock = BootClock;
        let limiter = Mutex::new(CallRateLimiter::new(RATE_LIMITS, clock.now()));
        Self { address, limiter, client, clock, restores: RestoreCounter::default() }
    }

    /// Makes a call; `path` is escaped.
    pub(super) async fn call(
        &self,
        kind: CallKind,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<CallResponse> {
        let limited = |retry_after| PlatformError::RateLimited { retry_after };
        let now = self.clock.now();
        self.limiter
            .lock()
            .expect("no holder of this lock panics")
            .take(kind, now)
            .map_err(limited)?;
        let mut req = Request::new(Full::new(Bytes::new()));
        *req.method_mut() = method;
        let uri = format!("http://{}/api/objects/{path}", self.address);
        *req.uri_mut() = uri.parse().map_err(|_| refused("invalid name of an object"))?;
        if let Some(body) = body {
            *req.body_mut() = Full::new(body.into());
            let json = HeaderValue::from_static("application/json");
            req.headers_mut().insert(header::CONTENT_TYPE, json);
        }
        let response = tokio::time::timeout(timeout, self.send(req)).await;
        let (head, body) =
            response.unwrap_or_else(|_| Err(unavailable("the call timed out", true)))?;
        let status = head.status;
        let stated = head.headers.get(RESTORES_HEADER);
        let restores = self.restores.record(stated.and_then(|it| it.to_str().ok()))?;
        match status {
            StatusCode::TOO_MANY_REQUESTS => {
                Err(PlatformError::RateLimited { retry_after: RETRY_AFTER })
            }
            StatusCode::GONE => Err(PlatformError::TooOld { oldest: 0 }),
            // The store guarantees that a call refused with this status had no effect.
            StatusCode::SERVICE_UNAVAILABLE => {
                Err(unavailable("out of service (status 503)", false))
            }
            StatusCode::CONFLICT => {
                let current = serde_json::from_slice::<Object>(&body).ok();
                let current = current.map(|object| version(restores, object.metadata.revision));
                Err(PlatformError::Conflict { current })
            }
            status if status.is_server_error() => Err(unavailable(status.as_str(), true)),
            status if status.is_success() || status == StatusCode::NOT_FOUND => {
                let is_utf8 = std::str::from_utf8(&body).is_ok();
                Ok(CallResponse { body, is_utf8, restores, status })
            }
            status => Err(refused(status.as_str())),
        }
    }

    /// Sends a request and reads the whole response.
    async fn send(&self, req: Request<Full<Bytes>>) -> Result<(Parts, Bytes)> {
        let no_answer =
            |error: legacy::Error| unavailable(&with_root_cause(&error), !error.is_connect());
        let (head, body) = self.client.send(req).await.map_err(no_answer)?.into_parts();
        let body = read_bounded_body(body, MAX_RESPONSE_BYTES).await;
        Ok((head, body.map_err(|error| unavailable(&with_root_cause(&error), true))?))
    }

    /// Asks for one object; `None` if it does not exist.
    pub(super) async fn get_response(&self, key: &str) -> Result<Option<CallResponse>> {
        let path = path_of(key)?;
        let response = self.call(CallKind::Read, Method::GET, &path, None, CALL_TIMEOUT).await?;
        Ok((response.status != StatusCode::NOT_FOUND).then_some(response))
    }

    /// Reads the objects of changes that stand behind one that is no JSON, as they are now.
    async fn confirmed_changes(
        &self,
        kind: &str,
        damage: &Damage<'_>,
        current: Version,
    ) -> Result<Vec<Change>> {
        let key = |event: &RawValue| {
            let event = serde_json::from_str::<Event>(event.get()).ok()?;
            let object = serde_json::from_str::<Object>(event.object.get()).ok()?;
            Some(format!("{kind}/{}", object.metadata.name).into())
        };
        let keys: BTreeSet<Arc<str>> = damage.unconfirmed().into_iter().filter_map(key).collect();
        if MAX_CONFIRMED_CHANGES < keys.len() {
            return Err(PlatformError::TooOld { oldest: 0 });
        }
        let mut changes = Vec::new();
        for key in keys {
            let object = match self.get_response(&key).await? {
                Some(response) => match response.object() {
                    Ok(object) => Some(object),
                    Err(_) => continue,
                },
                None => None,
            };
            let version = object.as_ref().map_or(current, |object| object.version);
            changes.push(Change { key, object, version });
        }
        Ok(changes)
    }

    /// Number of restores of the store, as its responses state it.
    pub(super) fn latest_restores(&self) -> u64 {
        self.restores.latest()
    }

    /// The revision of an object that a write expects. After a restore it may stand for another write,
    /// so the call fails as it would for an object that has changed.
    fn current_revision(&self, expected: Version) -> Result<u64> {
        let expected = StorePoint::of(expected);
        match expected.restores == self.restores.latest() {
            true => Ok(expected.revision),
            false => Err(PlatformError::Conflict { current: None }),
        }
    }
}

#[async_trait]
impl Platform for ObjectStore {
    async fn delete(&self, key: &str, expect: Expect, _: OperationId) -> Result<Version> {
        let path = match expect {
            Expect::Absent => {
                return Err(refused("a delete needs the version of an existing object"));
            }
            Expect::Version(version) => {
                format!("{}?revision={}", path_of(key)?, self.current_revision(version)?)
            }
        };
        self.call(CallKind::Write, Method::DELETE, &path, None, CALL_TIMEOUT).await?;
        Ok(0)
    }

    async fn get(&self, key: &str) -> Result<Option<VersionedObject>> {
        let response = self.get_response(key).await?;
        response.map(|response| response.object()).transpose()
    }

    async fn list(&self, prefix: &str) -> Result<Listing> {
        self.list_pages(prefix, Reading::Current).await
    }

    async fn list_allow_stale(&self, prefix: &str) -> Result<Listing> {
        self.list_pages(prefix, Reading::MayBeStale).await
    }

    async fn probe(&self) -> Result<()> {
        self.call(CallKind::Read, Method::GET, PROBE_PATH, None, CALL_TIMEOUT).await.map(drop)
    }

    async fn put(
        &self,
        key: &str,
        expect: Expect,
        value: Bytes,
        _: OperationId,
    ) -> Result<Version> {
        let (kind, name) = split_key(key);
        let spec: &RawValue = json(&value)?;
        let (method, path, revision) = match expect {
            Expect::Absent => (Method::POST, kind.to_owned(), None),
            Expect::Version(version) => {
                (Method::PUT, path_of(key)?, Some(self.current_revision(version)?))
            }
        };
        let object = WriteBody { metadata: WriteMetadata { name, revision }, spec };
        let body = serde_json::to_vec(&object).map_err(|error| refused(&error.to_string()))?;
        let answer = self.call(CallKind::Write, method, &path, Some(body), CALL_TIMEOUT).await?;
        let written = json::<Object>(&answer.body);
        Ok(written.map_or(0, |object| version(answer.restores, object.metadata.revision)))
    }

    async fn watch(&self, prefix: &str, from: Version, wait: Duration) -> Result<Changes> {
        let (kind, _) = split_key(prefix);
        let from = StorePoint::of(from);
        let path = format!("{kind}?watch={}&waitMs={}", from.revision, wait.as_millis());
        let timeout = wait + WATCH_GRACE;
        let answer = self.call(CallKind::Watch, Method::GET, &path, None, timeout).await?;
        if answer.restores != from.restores {
            // The revision was given out again, and stands for another state than the watched one.
            return Err(PlatformError::TooOld { oldest: 0 });
        }
        let text = answer.text();
        let decoded = damaged_list::decode::<WatchResponse>(&text, "events");
        let damaged_list::Decoded { damage, response } =
            decoded.map_err(|error| refused(&error.to_string()))?;
        let current = version(answer.restores, response.current_rev);
        let change = |event: &Event| {
            let object = serde_json::from_str::<Object>(event.object.get());
            let object = object
                .inspect_err(|error| log::warn!("skipping an invalid change of {kind}: {error}"));
            let entry = entry(kind, &object.ok()?, &event.object, &answer);
            // A delete event has no version of its own. It follows the watched version and the last
            // state of its object. The version of the response may be that of a later creation.
            let version = match event.deleted {
                true => entry.object.version.max(from.version()),
                false => entry.object.version,
            };
            let object = (!event.deleted).then_some(entry.object);
            Some(Change { key: entry.key, object, version })
        };
        let mut changes: Vec<Change> = response.events.iter().filter_map(change).collect();
        if let Some(damage) = damage {
            changes.extend(self.confirmed_changes(kind, &damage, current).await?);
        }
        Ok(Changes { changes, version: current })
    }
}

pub(super) fn version(restores: u64, revision: u64) -> Version {
    StorePoint { restores, revision }.version()
}

impl CallResponse {
    /// The body as text. Bytes that are not UTF-8 are replaced, so that an object that has some does
    /// not hide the others.
    pub(super) fn text(&self) -> Cow<'_, str> {
        String::from_utf8_lossy(&self.body)
    }

    /// The object that the response consists of.
    pub(super) fn object(&self) -> Result<VersionedObject> {
        let text = self.text();
        let raw: &RawValue = json(text.as_bytes())?;
        let object: Object = json(text.as_bytes())?;
        Ok(entry("", &object, raw, self).object)
    }

    /// Whether an object of the text contains replaced bytes.
    pub(super) fn is_replaced(&self, object: &RawValue) -> bool {
        !self.is_utf8 && object.get().contains(char::REPLACEMENT_CHARACTER)
    }
}

/// An object of a response. One with bytes that are not UTF-8 has a value that nothing decodes.
pub(super) fn entry(kind: &str, object: &Object, raw: &RawValue, response: &CallResponse) -> Entry {
    let value = if response.is_replaced(raw) { UNREADABLE } else { raw.get() };
    let key = format!("{kind}/{}", object.metadata.name).into();
    let version = version(response.restores, object.metadata.revision);
    Entry { key, object: versioned(Bytes::copy_from_slice(value.as_bytes()), version) }
}

fn versioned(value: Bytes, version: Version) -> VersionedObject {
    VersionedObject { operation: "".into(), value, version }
}

fn json<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|error| refused(&error.to_string()))
}

/// The path of an object for a call about it alone.
fn path_of(key: &str) -> Result<String> {
    object_path(key).ok_or_else(|| refused("no URL can name this object"))
}

pub(super) fn refused(detail: &str) -> PlatformError {
    PlatformError::Refused { detail: detail.into() }
}

pub(super) fn unavailable(detail: &str, may_have_applied: bool) -> PlatformError {
    PlatformError::Unavailable { detail: detail.into(), may_have_applied }
}
