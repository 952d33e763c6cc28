//! A small model of a target: slots, cold start, shedding, draining, crashes, misleading reports.

use std::{
    collections::BTreeMap,
    convert::Infallible,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Instant,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{net::TcpListener, task::JoinSet};

use crate::prelude::*;

/// Header of a documented shed answer: the target did not run the request.
pub const SHED_HEADER: &str = "lavender-shed";

/// Path part that makes the target crash.
pub const CRASH_PATH: &str = "/crash";

/// Header with the name of the target that answered.
pub const SERVED_BY_HEADER: &str = "x-served-by";

/// How a target behaves.
#[derive(Clone, Debug)]
pub struct TargetModel {
    /// Bytes of one answer.
    pub answer_bytes: usize,
    /// Extra service time factor right after the start; falls to 1 over `warm_after` requests.
    pub cold_factor: f64,
    /// Given in the `x-served-by` header.
    pub name: TargetId,
    pub seed: u64,
    /// Mean time to run one request.
    pub service_time: Duration,
    pub slots: u32,
    /// Requests until the caches are warm.
    pub warm_after: u64,
    /// How long it stays away after a crash.
    pub restart_after: Duration,
}

impl Default for TargetModel {
    fn default() -> Self {
        Self {
            answer_bytes: 256,
            cold_factor: 3.0,
            name: "target".into(),
            restart_after: Duration::from_millis(500),
            seed: 1,
            service_time: Duration::from_millis(10),
            slots: 3,
            warm_after: 20,
        }
    }
}

/// What a target really ran, by idempotency key; the demo holds it against what callers heard.
#[derive(Debug, Default)]
pub struct RunLog {
    runs: Mutex<BTreeMap<Arc<str>, u32>>,
}

impl RunLog {
    /// Counts one run of the key.
    pub fn ran(&self, key: &str) {
        *self.runs.lock().expect("no holder panics").entry(key.into()).or_default() += 1;
    }

    /// How often the key was run, over all targets that share the log.
    pub fn runs(&self, key: &str) -> u32 {
        self.runs.lock().expect("no holder panics").get(key).copied().unwrap_or_default()
    }

    /// Keys that ran more than once.
    pub fn doubled(&self) -> Vec<Arc<str>> {
        let runs = self.runs.lock().expect("no holder panics");
        runs.iter().filter(|(_, count)| 1 < **count).map(|(key, _)| key.clone()).collect()
    }
}

struct State {
    busy: AtomicU32,
    crash: tokio::sync::Notify,
    /// Time of the last new request, in nanoseconds since the start; 0 for none.
    last_work: AtomicU64,
    log: Arc<RunLog>,
    lying: AtomicBool,
    model: TargetModel,
    most_busy: AtomicU32,
    retiring: AtomicBool,
    rng: Mutex<ChaCha8Rng>,
    served: AtomicU64,
    slow_factor: AtomicU32,
    started: Instant,
}

/// A running target; it ends when the handle is dropped.
pub struct TargetStandin {
    address: SocketAddr,
    state: Arc<State>,
    task: tokio::task::JoinHandle<()>,
}

impl TargetStandin {
    /// Starts a target on a port that the OS chooses.
    pub async fn bind(model: TargetModel, log: Arc<RunLog>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            busy: AtomicU32::new(0),
            crash: tokio::sync::Notify::new(),
            last_work: AtomicU64::new(0),
            log,
            lying: AtomicBool::new(false),
            most_busy: AtomicU32::new(0),
            retiring: AtomicBool::new(false),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(model.seed)),
            model,
            served: AtomicU64::new(0),
            slow_factor: AtomicU32::new(1),
            started: Instant::now(),
        });
        let task = tokio::spawn(accept(listener, address, state.clone()));
        Ok(Self { address, state, task })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes it say on `/load` that it is draining.
    pub fn retire(&self) {
        self.state.retiring.store(true, Ordering::Relaxed);
    }

    /// Makes its load report always say that it is idle.
    pub fn lie(&self, lying: bool) {
        self.state.lying.store(lying, Ordering::Relaxed);
    }

    /// Makes each request take `factor` times as long.
    pub fn slow_down(&self, factor: u32) {
        self.state.slow_factor.store(factor, Ordering::Relaxed);
    }

    /// When it last got a new request.
    pub fn last_work(&self) -> Option<Instant> {
        let nanos = self.state.last_work.load(Ordering::Relaxed);
        (nanos != 0).then(|| self.state.started + Duration::from_nanos(nanos))
    }

    /// Most requests that it was ever sent at the same time, shed ones included.
    pub fn most_busy(&self) -> u32 {
        self.state.most_busy.load(Ordering::Relaxed)
    }

    /// Requests that it runs now.
    pub fn busy(&self) -> u32 {
        self.state.busy.load(Ordering::Relaxed)
    }

    /// Its slots.
    pub fn slots(&self) -> u32 {
        self.state.model.slots
    }
}

impl Drop for TargetStandin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts until a crash ends every connection at once, stays away, and comes back cold.
async fn accept(first: TcpListener, address: SocketAddr, state: Arc<State>) {
    let mut listener = Some(first);
    loop {
        let Some(bound) = listener.take() else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            listener = TcpListener::bind(address).await.ok();
            continue;
        };
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                () = state.crash.notified() => break,
                accepted = bound.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let state = state.clone();
                    connections.spawn(async move {
                        let service = service_fn(move |req| answer(req, state.clone()));
                        let http = hyper::server::conn::http1::Builder::new();
                        http.serve_connection(TokioIo::new(stream), service).await
                    });
                }
            }
        }
        drop(bound);
        connections.abort_all();
        while connections.join_next().await.is_some() {}
        state.busy.store(0, Ordering::Relaxed);
        state.served.store(0, Ordering::Relaxed);
        tokio::time::sleep(state.model.restart_after).await;
    }
}

async fn answer(
    req: Request<Incoming>,
    state: Arc<State>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if req.uri().path() == "/load" {
        return Ok(load(&state));
    }
    let path = req.uri().path().to_owned();
    let headers = req.headers().clone();
    let Ok(_body) = req.into_body().collect().await else {
        return Ok(plain(StatusCode::BAD_REQUEST, "broken body"));
    };
    let Some(_slot) = Slot::take(&state) else {
        let mut shed = plain(StatusCode::SERVICE_UNAVAILABLE, "shed");
        shed.headers_mut().insert(SHED_HEADER, http::HeaderValue::from_static("1"));
        return Ok(shed);
    };
    if path.contains(CRASH_PATH) {
        state.crash.notify_one();
        return std::future::pending().await;
    }
    if let Some(key) = headers.get("idempotency-key").and_then(|key| key.to_str().ok()) {
        state.log.ran(key);
    }
    tokio::time::sleep(service_time(&state)).await;
    state.served.fetch_add(1, Ordering::Relaxed);
    Ok(done(&state, &headers))
}

/// One slot in use; frees it when the request ends or is cancelled.
struct Slot {
    state: Arc<State>,
}

impl Slot {
    /// `None` if none is free.
    fn take(state: &Arc<State>) -> Option<Self> {
        let now = u64::try_from(state.started.elapsed().as_nanos()).unwrap_or(u64::MAX);
        state.last_work.store(now, Ordering::Relaxed);
        let busy = state.busy.fetch_add(1, Ordering::Relaxed) + 1;
        state.most_busy.fetch_max(busy, Ordering::Relaxed);
        let slot = Self { state: state.clone() };
        if busy <= state.model.slots {
            return Some(slot);
        }
        None
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let less = |busy: u32| Some(busy.saturating_sub(1));
        let _ = self.state.busy.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less);
    }
}

fn service_time(state: &State) -> Duration {
    let spread = state.rng.lock().expect("no holder panics").random_range(0.5..1.5);
    let served = state.served.load(Ordering::Relaxed) as f64;
    let cold = (1.0 - served / state.model.warm_after.max(1) as f64).max(0.0);
    let factor = 1.0 + cold * (state.model.cold_factor - 1.0);
    let slow = f64::from(state.slow_factor.load(Ordering::Relaxed));
    state.model.service_time.mul_f64(spread * factor * slow)
}

fn done(state: &State, headers: &http::HeaderMap) -> Response<Full<Bytes>> {
    let request = headers.get("lavender-request-id").and_then(|id| id.to_str().ok());
    let body = answer_body(request.unwrap_or_default(), state.model.answer_bytes);
    let mut res = Response::new(Full::new(body));
    if let Ok(name) = http::HeaderValue::from_str(&state.model.name) {
        res.headers_mut().insert(SERVED_BY_HEADER, name);
    }
    for name in ["lavender-request-id", "idempotency-key"] {
        if let Some(value) = headers.get(name) {
            res.headers_mut().insert(name, value.clone());
        }
    }
    res.headers_mut().insert("etag", http::HeaderValue::from_static("\"v1\""));
    res
}

/// The body that a target gives to a request: the request's id, filled up to `len` bytes.
pub fn answer_body(request: &str, len: usize) -> Bytes {
    let mut body = request.as_bytes().to_vec();
    body.resize(len.max(body.len()), b'.');
    body.into()
}

fn load(state: &State) -> Response<Full<Bytes>> {
    let busy =
        if state.lying.load(Ordering::Relaxed) { 0 } else { state.busy.load(Ordering::Relaxed) };
    let report = crate::selection::LoadReport {
        busy,
        draining: state.retiring.load(Ordering::Relaxed),
        slots: state.model.slots,
    };
    let text = serde_json::to_vec(&report).unwrap_or_default();
    Response::new(Full::new(text.into()))
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *res.status_mut() = status;
    res
}
