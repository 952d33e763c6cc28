//! The object API over HTTP.

use std::sync::Mutex;

use async_trait::async_trait;
use backon::{ExponentialBuilder, Retryable};
use bytes::Bytes;
use http::{Method, StatusCode, header};
use reqwest::{Client, RequestBuilder, Response};
use serde::de::DeserializeOwned;

use super::{
    BreakerState, CallCounts, CallKind, CallRateLimiter, Changes, CircuitBreaker, Expect,
    KeyVersion, Listing, MAX_VALUE_BYTES, OperationId, Platform, PlatformError, RateLimits, Result,
    Version, VersionedObject, is_valid_key, wire,
};
use crate::{base::BootClock, prelude::*};

/// Longest time for a connection, and for a call from its start to its answer's last byte.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How much longer than asked a watch may take. One that stays silent past that is broken.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// Attempts at a read.
const READ_RETRIES: usize = 2;
const READ_DELAY: Duration = Duration::from_millis(50);

/// Pause after a refusal that names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Client of the object API: deadlines, a breaker, and every call counted against a budget.
pub struct HttpPlatform {
    address: SocketAddr,
    client: Client,
    clock: Arc<dyn Clock>,
    guards: Mutex<Guards>,
}

struct Guards {
    breaker: CircuitBreaker,
    budget: CallRateLimiter,
}

/// What an operator sees of the client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlatformClientState {
    pub breaker: BreakerState,
    pub counts: CallCounts,
}

impl HttpPlatform {
    /// A client with the budget of one host. Nothing is sent yet.
    pub fn new(address: SocketAddr) -> Result<Self> {
        Self::with_limits(address, RateLimits::HOST, Arc::new(BootClock))
    }

    /// A client with a budget of its own.
    pub fn with_limits(
        address: SocketAddr,
        limits: RateLimits,
        clock: Arc<dyn Clock>,
    ) -> Result<Self> {
        let client = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .build()
            .map_err(|err| refused(&err.to_string()))?;
        let budget = CallRateLimiter::new(limits, clock.now());
        let guards = Mutex::new(Guards { breaker: CircuitBreaker::new(rand::random()), budget });
        Ok(Self { address, client, clock, guards })
    }

    /// CircuitBreaker state and calls so far.
    pub fn state(&self) -> PlatformClientState {
        let guards = self.guards();
        PlatformClientState { breaker: guards.breaker.state(), counts: guards.budget.counts() }
    }

    fn guards(&self) -> std::sync::MutexGuard<'_, Guards> {
        self.guards.lock().expect("no holder of this lock panics")
    }

    fn object(&self, method: Method, key: &str, expect: Expect) -> Result<RequestBuilder> {
        check(key)?;
        let req = self.request(method, &format!("objects/{key}"));
        Ok(match expect {
            Expect::Absent => req.header(header::IF_NONE_MATCH, "*"),
            Expect::Version(version) => req.header(header::IF_MATCH, format!("\"{version}\"")),
        })
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.client.request(method, format!("http://{}/v1/{path}", self.address))
    }

    /// Sends one call and reads the whole answer: an answer cut short is none.
    async fn call(&self, kind: CallKind, req: RequestBuilder, limit: Duration) -> Result<Answer> {
        let now = self.clock.now();
        {
            let mut guards = self.guards();
            let held = |retry_after| PlatformError::RateLimited { retry_after };
            guards.budget.take(kind, now).map_err(held)?;
            guards.breaker.admit(now).map_err(|pause| PlatformError::Unavailable {
                detail: format!("paused for {pause:?} after failures").into(),
                may_have_applied: false,
            })?;
        }
        let mut probe = Probe { done: false, platform: self };
        let outcome = tokio::time::timeout(limit, answer(req)).await;
        probe.done = true;
        let outcome = outcome.unwrap_or_else(|_| Err(unavailable("no answer in time", true)));
        let mut guards = self.guards();
        match &outcome {
            Ok(answer) if !answer.status.is_server_error() => guards.breaker.record_answer(),
            _ => guards.breaker.failed(self.clock.now()),
        }
        outcome?.accept()
    }

    async fn read(&self, path: &str) -> Result<Answer> {
        let delays = ExponentialBuilder::new()
            .with_min_delay(READ_DELAY)
            .with_max_times(READ_RETRIES)
            .with_jitter();
        let attempt = || self.call(CallKind::Read, self.request(Method::GET, path), CALL_TIMEOUT);
        attempt.retry(delays).when(PlatformError::is_transient).await
    }
}

/// Tells the breaker when the caller of the platform leaves before the answer: a half-open breaker
/// would wait for that answer for ever.
struct Probe<'a> {
    done: bool,
    platform: &'a HttpPlatform,
}

impl Drop for Probe<'_> {
    fn drop(&mut self) {
        if !self.done {
            let now = self.platform.clock.now();
            self.platform.guards().breaker.record_abandoned(now);
        }
    }
}

#[async_trait]
impl Platform for HttpPlatform {
    async fn delete(&self, key: &str, expect: Expect, operation: OperationId) -> Result<Version> {
        let req =
            self.object(Method::DELETE, key, expect)?.header(wire::OPERATION_HEADER, &*operation);
        let written: wire::WriteResponse =
            self.call(CallKind::Write, req, CALL_TIMEOUT).await?.json()?;
        Ok(written.version)
    }

    async fn get(&self, key: &str) -> Result<Option<VersionedObject>> {
        check(key)?;
        let answer = self.read(&format!("objects/{key}")).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let operation = answer.header(wire::OPERATION_HEADER)?.into();
        let version = answer.header(wire::VERSION_HEADER)?;
        let version = version.parse().map_err(|_| refused("its version is no number"))?;
        Ok(Some(VersionedObject { operation, value: answer.body, version }))
    }

    async fn keys(&self, prefix: &str) -> Result<Vec<KeyVersion>> {
        let answer = self.read(&format!("list?prefix={prefix}&values=false")).await?;
        let objects: wire::ObjectsResponse = answer.json()?;
        let key =
            |object: wire::ObjectRecord| KeyVersion { key: object.key, version: object.version };
        Ok(objects.objects.into_iter().map(key).collect())
    }

    async fn list(&self, prefix: &str) -> Result<Listing> {
        let answer = self.read(&format!("list?prefix={prefix}")).await?;
        let objects: wire::ObjectsResponse = answer.json()?;
        objects.into_listing().ok_or_else(|| refused("a value is no base64"))
    }

    async fn put(
        &self,
        key: &str,
        expect: Expect,
        value: Bytes,
        operation: OperationId,
    ) -> Result<Version> {
        if MAX_VALUE_BYTES < value.len() {
            return Err(PlatformError::TooLarge);
        }
        let req = self.object(Method::PUT, key, expect)?.body(value);
        let req = req.header(wire::OPERATION_HEADER, &*operation);
        let written: wire::WriteResponse =
            self.call(CallKind::Write, req, CALL_TIMEOUT).await?.json()?;
        Ok(written.version)
    }

    async fn watch(&self, prefix: &str, from: Version, wait: Duration) -> Result<Changes> {
        let path = format!("watch?prefix={prefix}&from={from}&wait_ms={}", wait.as_millis());
        let req = self.request(Method::GET, &path);
        let answer = self.call(CallKind::Watch, req, wait + WATCH_GRACE).await?;
        let objects: wire::ObjectsResponse = answer.json()?;
        objects.into_changes().ok_or_else(|| refused("a value is no base64"))
    }
}

struct Answer {
    body: Bytes,
    headers: http::HeaderMap,
    status: StatusCode,
}

impl Answer {
    /// Turns the statuses of the protocol's failures into errors.
    fn accept(self) -> Result<Self> {
        match self.status {
            StatusCode::OK | StatusCode::NOT_FOUND => Ok(self),
            StatusCode::GONE => {
                Err(PlatformError::TooOld { oldest: self.json::<wire::TooOldResponse>()?.oldest })
            }
            StatusCode::PAYLOAD_TOO_LARGE => Err(PlatformError::TooLarge),
            StatusCode::PRECONDITION_FAILED => Err(PlatformError::Conflict {
                current: self.json::<wire::ConflictResponse>()?.version,
            }),
            StatusCode::TOO_MANY_REQUESTS => {
                let secs = self.header(header::RETRY_AFTER.as_str()).ok();
                let secs = secs.and_then(|secs| secs.parse().ok()).map(Duration::from_secs);
                Err(PlatformError::RateLimited { retry_after: secs.unwrap_or(DEFAULT_RETRY_AFTER) })
            }
            // Refused before anything was done, as the protocol says.
            StatusCode::SERVICE_UNAVAILABLE => Err(unavailable("it is out of service", false)),
            status if status.is_server_error() => Err(unavailable(status.as_str(), true)),
            status => Err(refused(status.as_str())),
        }
    }

    fn header(&self, name: &str) -> Result<&str> {
        let value = self.headers.get(name).and_then(|value| value.to_str().ok());
        value.ok_or_else(|| refused(&format!("its answer has no {name}")))
    }

    fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|err| refused(&err.to_string()))
    }
}

async fn answer(req: RequestBuilder) -> Result<Answer> {
    let lost = |err: reqwest::Error| unavailable(&err.to_string(), !err.is_connect());
    let response: Response = req.send().await.map_err(lost)?;
    let (status, headers) = (response.status(), response.headers().clone());
    let body = response.bytes().await.map_err(lost)?;
    Ok(Answer { body, headers, status })
}

/// Keys and prefixes stand in paths and queries as they are.
fn check(key: &str) -> Result<()> {
    if is_valid_key(key) { Ok(()) } else { Err(refused("malformed key")) }
}

fn refused(detail: &str) -> PlatformError {
    PlatformError::Refused { detail: detail.into() }
}

fn unavailable(detail: &str, may_have_applied: bool) -> PlatformError {
    PlatformError::Unavailable { detail: detail.into(), may_have_applied }
}
