//! The client of the platform's store.

use std::sync::Mutex;

use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, StatusCode};
use reqwest::Client;
use serde_json::value::RawValue;

use crate::{
    base::BootClock,
    prelude::*,
    store::{
        CallKind, CallRateLimiter, Change, Changes, Entry, Expect, Listing, OperationId, Platform,
        PlatformError, RateLimits, Result, Version, VersionedObject,
    },
};

/// Longest time for a connection, and for a call from its start to its answer's last byte. The
/// store answers in milliseconds; a slow one takes a few hundred.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How much longer than asked a watch may take. One that stays silent past that is broken.
const WATCH_GRACE: Duration = Duration::from_millis(1_000);

/// Pause after a call that the store refused for its rate.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Calls of one host: a watch a change of any kind, and the lists after an outage.
const LIMITS: RateLimits = RateLimits { reads: 20.0, watches: 40.0, writes: 4.0 };

/// Query of a read that may be seconds old: it costs a tenth and does not count towards the rate.
const MAY_LAG: &str = "staleOk=1";

/// Silence of a connection after which its other end is asked for a sign of life, the time between
/// two such questions, and how many may go unanswered. A connection that a partition has silenced
/// would else be believed for as long as a watch waits.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_PAUSE: Duration = Duration::from_secs(1);
const KEEPALIVE_TRIES: u32 = 2;

/// Client with deadlines, and every call counted against a budget.
pub struct ObjectStore {
    address: SocketAddr,
    budget: Mutex<CallRateLimiter>,
    client: Client,
    clock: BootClock,
}

#[derive(Deserialize)]
struct Meta {
    name: Arc<str>,
    #[serde(default)]
    revision: Version,
}

#[derive(Deserialize)]
struct Object {
    metadata: Meta,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Items {
    current_rev: Version,
    #[serde(default)]
    has_more: bool,
    items: Vec<Box<RawValue>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Events {
    current_rev: Version,
    events: Vec<Event>,
}

#[derive(Deserialize)]
struct Event {
    #[serde(default)]
    deleted: bool,
    object: Box<RawValue>,
}

/// An object on its way to the store.
#[derive(Serialize)]
struct Draft<'a> {
    metadata: DraftMeta<'a>,
    spec: &'a RawValue,
}

#[derive(Serialize)]
struct DraftMeta<'a> {
    name: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<Version>,
}

struct Answer {
    body: Bytes,
    status: StatusCode,
}

impl ObjectStore {
    /// A client of the store at `address`. Nothing is sent yet.
    pub fn new(address: SocketAddr) -> Result<Self> {
        let client = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .pool_max_idle_per_host(4)
            .tcp_keepalive(KEEPALIVE_IDLE)
            .tcp_keepalive_interval(KEEPALIVE_PAUSE)
            .tcp_keepalive_retries(KEEPALIVE_TRIES)
            .build()
            .map_err(|error| refused(&error.to_string()))?;
        let clock = BootClock;
        let budget = Mutex::new(CallRateLimiter::new(LIMITS, clock.now()));
        Ok(Self { address, budget, client, clock })
    }

    async fn call(
        &self,
        kind: CallKind,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<Answer> {
        let held = |retry_after| PlatformError::RateLimited { retry_after };
        let now = self.clock.now();
        self.budget.lock().expect("no holder of this lock panics").take(kind, now).map_err(held)?;
        let url = format!("http://{}/api/objects/{path}", self.address);
        let mut req = self.client.request(method, url).timeout(limit);
        if let Some(body) = body {
            req = req.header(http::header::CONTENT_TYPE, "application/json").body(body);
        }
        let lost = |error: reqwest::Error| unavailable(&error.to_string(), !error.is_connect());
        let response = req.send().await.map_err(lost)?;
        let status = response.status();
        let body = response.bytes().await.map_err(lost)?;
        match status {
            StatusCode::TOO_MANY_REQUESTS => {
                Err(PlatformError::RateLimited { retry_after: RETRY_AFTER })
            }
            StatusCode::GONE => Err(PlatformError::TooOld { oldest: 0 }),
            // Nothing was done, as the store promises.
            StatusCode::SERVICE_UNAVAILABLE => Err(unavailable("out of service", false)),
            StatusCode::CONFLICT => {
                let current = serde_json::from_slice::<Object>(&body).ok();
                let current = current.map(|object| object.metadata.revision);
                Err(PlatformError::Conflict { current })
            }
            status if status.is_server_error() => Err(unavailable(status.as_str(), true)),
            status if status.is_success() || status == StatusCode::NOT_FOUND => {
                Ok(Answer { body, status })
            }
            status => Err(refused(status.as_str())),
        }
    }

    /// All pages of a listing; `query` goes with each of them.
    async fn pages(&self, prefix: &str, query: &str) -> Result<Listing> {
        let kind = prefix.trim_end_matches('/');
        let mut entries = Vec::new();
        let mut path = format!("{kind}?{query}");
        // A watch must go on from the first page's version: what changes while the other pages are
        // read would be missed from the last one's.
        let mut first = None;
        loop {
            let answer = self.call(CallKind::Read, Method::GET, &path, None, CALL_TIMEOUT).await?;
            let page: Items = json(&answer.body)?;
            first.get_or_insert(page.current_rev);
            for item in &page.items {
                // An object without a name can't be used, nor can it hide the others.
                match serde_json::from_str::<Object>(item.get()) {
                    Ok(object) => entries.push(entry(kind, &object, item)),
                    Err(error) => log::warn!("an object of {kind} is left out: {error}"),
                }
            }
            match entries.last() {
                Some(last) if page.has_more && !page.items.is_empty() => {
                    let name = last.key.rsplit('/').next().unwrap_or_default();
                    path = format!("{kind}?after={name}&{query}");
                }
                _ => break,
            }
        }
        entries.sort_by(|a, b| a.key.cmp(&b.key));
        Ok(Listing { entries, version: first.unwrap_or_default() })
    }
}

#[async_trait]
impl Platform for ObjectStore {
    async fn delete(&self, key: &str, expect: Expect, _: OperationId) -> Result<Version> {
        let path = match expect {
            Expect::Absent => return Err(refused("what is absent can't be removed")),
            Expect::Version(version) => format!("{key}?revision={version}"),
        };
        self.call(CallKind::Write, Method::DELETE, &path, None, CALL_TIMEOUT).await?;
        Ok(0)
    }

    async fn get(&self, key: &str) -> Result<Option<VersionedObject>> {
        let answer = self.call(CallKind::Read, Method::GET, key, None, CALL_TIMEOUT).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let object: Object = json(&answer.body)?;
        Ok(Some(versioned(answer.body, object.metadata.revision)))
    }

    async fn list(&self, prefix: &str) -> Result<Listing> {
        self.pages(prefix, "").await
    }

    async fn list_allow_stale(&self, prefix: &str) -> Result<Listing> {
        self.pages(prefix, MAY_LAG).await
    }

    async fn put(
        &self,
        key: &str,
        expect: Expect,
        value: Bytes,
        _: OperationId,
    ) -> Result<Version> {
        let name = key.rsplit('/').next().unwrap_or(key);
        let spec: &RawValue = json(&value)?;
        let (method, path, revision) = match expect {
            Expect::Absent => {
                (Method::POST, key.trim_end_matches(name).trim_end_matches('/'), None)
            }
            Expect::Version(version) => (Method::PUT, key, Some(version)),
        };
        let draft = Draft { metadata: DraftMeta { name, revision }, spec };
        let body = serde_json::to_vec(&draft).map_err(|error| refused(&error.to_string()))?;
        let answer = self.call(CallKind::Write, method, path, Some(body), CALL_TIMEOUT).await?;
        Ok(json::<Object>(&answer.body).map_or(0, |object| object.metadata.revision))
    }

    async fn watch(&self, prefix: &str, from: Version, wait: Duration) -> Result<Changes> {
        let kind = prefix.trim_end_matches('/');
        let path = format!("{kind}?watch={from}&waitMs={}", wait.as_millis());
        let limit = wait + WATCH_GRACE;
        let answer = self.call(CallKind::Watch, Method::GET, &path, None, limit).await?;
        let told: Events = json(&answer.body)?;
        let change = |event: &Event| {
            let object = serde_json::from_str::<Object>(event.object.get());
            let object = object.inspect_err(|error| log::warn!("a change is left out: {error}"));
            let entry = entry(kind, &object.ok()?, &event.object);
            // A removal has no version of its own: that of the answer is the least that is known.
            let version = if event.deleted { told.current_rev } else { entry.object.version };
            let object = (!event.deleted).then_some(entry.object);
            Some(Change { key: entry.key, object, version })
        };
        let changes = told.events.iter().filter_map(change).collect();
        Ok(Changes { changes, version: told.current_rev })
    }
}

fn entry(kind: &str, object: &Object, raw: &RawValue) -> Entry {
    let value = Bytes::copy_from_slice(raw.get().as_bytes());
    let key = format!("{kind}/{}", object.metadata.name).into();
    Entry { key, object: versioned(value, object.metadata.revision) }
}

fn versioned(value: Bytes, version: Version) -> VersionedObject {
    VersionedObject { operation: "".into(), value, version }
}

fn json<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|error| refused(&error.to_string()))
}

fn refused(detail: &str) -> PlatformError {
    PlatformError::Refused { detail: detail.into() }
}

fn unavailable(detail: &str, may_have_applied: bool) -> PlatformError {
    PlatformError::Unavailable { detail: detail.into(), may_have_applied }
}
