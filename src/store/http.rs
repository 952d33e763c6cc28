//! Client of the object API over HTTP.

use std::sync::Mutex;

use async_trait::async_trait;
use backon::{ExponentialBuilder, Retryable};
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy;
use serde::de::DeserializeOwned;

use super::{
    BreakerState, CallCounts, CallKind, CallRateLimiter, Changes, CircuitBreaker, Expect,
    KeyVersion, Listing, MAX_VALUE_BYTES, OperationId, Platform, PlatformError, RateLimits, Result,
    Version, VersionedObject, is_valid_key, wire,
};
use crate::{
    base::{BootClock, with_root_cause},
    prelude::*,
    response_framing::{CheckedClient, ConnectionOptions, Keepalive},
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a call, from its start to the last byte of the response.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time added to the requested wait for the timeout of a watch. A watch that stays silent longer is
/// broken.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);

/// Retries of a read after transient errors.
const READ_RETRIES: usize = 2;
const READ_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Pause after a 429 response without a `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Client of the object API, with timeouts, a circuit breaker and a rate limiter.
pub struct HttpPlatform {
    address: SocketAddr,
    client: CheckedClient,
    clock: Arc<dyn Clock>,
    guards: Mutex<Guards>,
}

type CallRequest = Request<Full<Bytes>>;

struct Guards {
    breaker: CircuitBreaker,
    limiter: CallRateLimiter,
}

/// State of the client, as shown to operators.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlatformClientState {
    pub breaker: BreakerState,
    pub counts: CallCounts,
}

impl HttpPlatform {
    /// Returns a client with the rate limits of one host. Sends nothing yet.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_limits(address, RateLimits::HOST, Arc::new(BootClock))
    }

    /// Returns a client with the given rate limits. Sends nothing yet.
    pub fn with_limits(address: SocketAddr, limits: RateLimits, clock: Arc<dyn Clock>) -> Self {
        let client = CheckedClient::new(ConnectionOptions {
            connect_timeout: CONNECT_TIMEOUT,
            idle_connections: usize::MAX,
            idle_timeout: IDLE_TIMEOUT,
            keepalive: Keepalive::default(),
        });
        let limiter = CallRateLimiter::new(limits, clock.now());
        let guards = Mutex::new(Guards { breaker: CircuitBreaker::new(rand::random()), limiter });
        Self { address, client, clock, guards }
    }

    /// Returns the state of the circuit breaker and the calls so far.
    pub fn state(&self) -> PlatformClientState {
        let guards = self.guards();
        PlatformClientState { breaker: guards.breaker.state(), counts: guards.limiter.counts() }
    }

    fn guards(&self) -> std::sync::MutexGuard<'_, Guards> {
        self.guards.lock().expect("no holder of this lock panics")
    }

    fn write_request(
        &self,
        method: Method,
        key: &str,
        expect: Expect,
        operation: &OperationId,
        value: Bytes,
    ) -> Result<CallRequest> {
        check_key(key)?;
        let mut req = self.request(method, &format!("objects/{key}"), value)?;
        let (name, condition) = match expect {
            Expect::Absent => (header::IF_NONE_MATCH, "*".to_owned()),
            Expect::Version(version) => (header::IF_MATCH, format!("\"{version}\"")),
        };
        for (name, value) in
            [(name, &*condition), (HeaderName::from_static(wire::OPERATION_HEADER), operation)]
        {
            let value = HeaderValue::from_str(value).map_err(|err| refused(&err.to_string()))?;
            req.headers_mut().insert(name, value);
        }
        Ok(req)
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Result<CallRequest> {
        let uri = format!("http://{}/v1/{path}", self.address);
        let req = Request::builder().method(method).uri(uri).body(Full::new(body));
        req.map_err(|err| refused(&err.to_string()))
    }

    /// Sends one call and reads the complete response. A truncated response counts as no answer.
    async fn call(
        &self,
        kind: CallKind,
        req: CallRequest,
        timeout: Duration,
    ) -> Result<CallResponse> {
        let now = self.clock.now();
        {
            let mut guards = self.guards();
            let limited = |retry_after| PlatformError::RateLimited { retry_after };
            guards.limiter.take(kind, now).map_err(limited)?;
            guards.breaker.admit(now).map_err(|pause| PlatformError::Unavailable {
                detail: format!("circuit breaker open for {pause:?} after failures").into(),
                may_have_applied: false,
            })?;
        }
        let mut guard = CancelGuard { done: false, platform: self };
        let outcome = tokio::time::timeout(timeout, send(&self.client, req)).await;
        guard.done = true;
        let outcome = outcome.unwrap_or_else(|_| Err(unavailable("the call timed out", true)));
        let mut guards = self.guards();
        match &outcome {
            Ok(answer) if !answer.status.is_server_error() => guards.breaker.record_answer(),
            _ => guards.breaker.record_failure(self.clock.now()),
        }
        outcome?.check_status()
    }

    async fn read(&self, path: &str) -> Result<CallResponse> {
        let delays = ExponentialBuilder::new()
            .with_min_delay(READ_RETRY_DELAY)
            .with_max_times(READ_RETRIES)
            .with_jitter();
        let req = self.request(Method::GET, path, Bytes::new())?;
        let attempt = || self.call(CallKind::Read, req.clone(), CALL_TIMEOUT);
        attempt.retry(delays).when(PlatformError::is_transient).await
    }
}

/// Reports a cancelled call to the circuit breaker. Without that, a half-open breaker would wait
/// for the result of its probe for ever.
struct CancelGuard<'a> {
    done: bool,
    platform: &'a HttpPlatform,
}

impl Drop for CancelGuard<'_> {
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
        let req = self.write_request(Method::DELETE, key, expect, &operation, Bytes::new())?;
        let written: wire::WriteResponse =
            self.call(CallKind::Write, req, CALL_TIMEOUT).await?.json()?;
        Ok(written.version)
    }

    async fn get(&self, key: &str) -> Result<Option<VersionedObject>> {
        check_key(key)?;
        let answer = self.read(&format!("objects/{key}")).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let operation = answer.header(wire::OPERATION_HEADER)?.into();
        let version = answer.header(wire::VERSION_HEADER)?;
        let version =
            version.parse().map_err(|_| refused("the response has an invalid version"))?;
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
        Ok(objects.into_listing())
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
        let req = self.write_request(Method::PUT, key, expect, &operation, value)?;
        let written: wire::WriteResponse =
            self.call(CallKind::Write, req, CALL_TIMEOUT).await?.json()?;
        Ok(written.version)
    }

    async fn watch(&self, prefix: &str, from: Version, wait: Duration) -> Result<Changes> {
        let path = format!("watch?prefix={prefix}&from={from}&wait_ms={}", wait.as_millis());
        let req = self.request(Method::GET, &path, Bytes::new())?;
        let answer = self.call(CallKind::Watch, req, wait + WATCH_GRACE).await?;
        let objects: wire::ObjectsResponse = answer.json()?;
        Ok(objects.into_changes())
    }
}

struct CallResponse {
    body: Bytes,
    headers: http::HeaderMap,
    status: StatusCode,
}

impl CallResponse {
    /// Converts error statuses of the protocol into errors.
    fn check_status(self) -> Result<Self> {
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
            // The protocol guarantees that a call refused with this status had no effect.
            StatusCode::SERVICE_UNAVAILABLE => {
                Err(unavailable("out of service (status 503)", false))
            }
            status if status.is_server_error() => Err(unavailable(status.as_str(), true)),
            status => Err(refused(status.as_str())),
        }
    }

    fn header(&self, name: &str) -> Result<&str> {
        let value = self.headers.get(name).and_then(|value| value.to_str().ok());
        value.ok_or_else(|| refused(&format!("the response has no {name} header")))
    }

    fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|err| refused(&err.to_string()))
    }
}

async fn send(client: &CheckedClient, req: CallRequest) -> Result<CallResponse> {
    let no_answer = |err: legacy::Error| unavailable(&with_root_cause(&err), !err.is_connect());
    let (head, body) = client.send(req).await.map_err(no_answer)?.into_parts();
    let body = body.collect().await.map_err(|err| unavailable(&with_root_cause(&err), true))?;
    Ok(CallResponse { body: body.to_bytes(), headers: head.headers, status: head.status })
}

/// Refuses keys that would need escaping: keys and prefixes are put into paths and queries
/// unescaped.
fn check_key(key: &str) -> Result<()> {
    if is_valid_key(key) { Ok(()) } else { Err(refused("invalid key")) }
}

fn refused(detail: &str) -> PlatformError {
    PlatformError::Refused { detail: detail.into() }
}

fn unavailable(detail: &str, may_have_applied: bool) -> PlatformError {
    PlatformError::Unavailable { detail: detail.into(), may_have_applied }
}
