//! A stand-in of the store: objects by kind and name, one revision counter, watches.

use std::{
    convert::Infallible,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::Notify, task::JoinHandle};

use crate::prelude::*;

/// Longest time that a watch waits, whatever it asks for.
const MAX_WAIT: Duration = Duration::from_secs(30);

type Objects = BTreeMap<(String, String), Value>;
type Reply = Response<Full<Bytes>>;

/// A running store; ends when dropped.
pub struct StoreStandin {
    addr: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

#[derive(Default)]
struct Shared {
    changed: Notify,
    down: AtomicBool,
    state: Mutex<State>,
    /// Watches that wait.
    watches: AtomicUsize,
}

/// Counts a watch that waits, also when its caller goes.
struct Waiting<'a>(&'a AtomicUsize);

impl<'a> Waiting<'a> {
    fn new(watches: &'a AtomicUsize) -> Self {
        watches.fetch_add(1, Ordering::Relaxed);
        Self(watches)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

#[derive(Default)]
struct State {
    /// Every change that is not forgotten: revision, kind, object, whether it was a removal.
    events: Vec<(u64, String, Value, bool)>,
    /// Changes up to this revision are forgotten.
    compacted_revision: u64,
    /// What reads that may be old are answered with, and the revision of that moment.
    lagging: Option<(Objects, u64)>,
    objects: Objects,
    revision: u64,
}

impl StoreStandin {
    /// A store on a free port of loopback.
    pub async fn spawn() -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let task = tokio::spawn(serve(listener, shared.clone()));
        Ok(Self { addr, shared, task })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Writes an object as its owner would.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.shared.put(kind, name, json!({ "spec": spec }));
    }

    /// Writes an object whose text no decoder reads.
    pub fn put_undecodable(&self, kind: &str, name: &str) {
        self.shared.put(kind, name, json!({ "spec": [1, "spoiled"] }));
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.shared.remove(kind, name);
    }

    /// Answers 503 to everything from now on, or serves again.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::Relaxed);
        self.shared.changed.notify_waiters();
    }

    /// Forgets all changes so far.
    pub fn compact(&self) {
        let mut state = self.shared.state();
        state.compacted_revision = state.revision;
        state.events.clear();
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// From now on, reads that may be old are answered as of this moment.
    pub fn freeze_stale_reads(&self) {
        let mut state = self.shared.state();
        state.lagging = Some((state.objects.clone(), state.revision));
    }

    /// Watches that wait now.
    pub fn pending_watches(&self) -> usize {
        self.shared.watches.load(Ordering::Relaxed)
    }

    /// Objects of a kind.
    pub fn object_count(&self, kind: &str) -> usize {
        self.shared.state().objects.keys().filter(|(at, _)| at == kind).count()
    }
}

impl Drop for StoreStandin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    fn put(&self, kind: &str, name: &str, mut object: Value) -> Value {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        object["metadata"] = json!({ "name": name, "revision": revision, "finalizers": [] });
        state.objects.insert((kind.to_owned(), name.to_owned()), object.clone());
        state.events.push((revision, kind.to_owned(), object.clone(), false));
        drop(state);
        self.changed.notify_waiters();
        object
    }

    fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state();
        if let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) {
            state.revision += 1;
            let revision = state.revision;
            state.events.push((revision, kind.to_owned(), object, true));
        }
        drop(state);
        self.changed.notify_waiters();
    }

    fn list(&self, kind: &str, may_lag: bool) -> Reply {
        let state = self.state();
        let lagging = state.lagging.as_ref().filter(|_| may_lag);
        let (objects, revision) = lagging
            .map_or((&state.objects, state.revision), |(objects, revision)| (objects, *revision));
        let of_kind = objects.iter().filter(|((at, _), _)| at == kind);
        let items: Vec<&Value> = of_kind.map(|(_, object)| object).collect();
        reply(200, &json!({ "items": items, "hasMore": false, "currentRev": revision }))
    }

    async fn watch(&self, kind: &str, from: u64, wait: Duration) -> Reply {
        let until = tokio::time::Instant::now() + wait.min(MAX_WAIT);
        let _waiting = Waiting::new(&self.watches);
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state();
                if self.down.load(Ordering::Relaxed) {
                    return reply(503, &Value::Null);
                }
                if from < state.compacted_revision {
                    return reply(410, &Value::Null);
                }
                let new = state.events.iter().filter(|(at, of, _, _)| from < *at && of == kind);
                let event =
                    |(_, _, object, deleted)| json!({ "object": object, "deleted": deleted });
                let events: Vec<Value> = new.cloned().map(event).collect();
                if !events.is_empty() || until <= tokio::time::Instant::now() {
                    let told = json!({ "events": events, "currentRev": state.revision });
                    return reply(200, &told);
                }
            }
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }

    async fn answer(&self, req: Request<Incoming>) -> Reply {
        if self.down.load(Ordering::Relaxed) {
            return reply(503, &Value::Null);
        }
        let (head, body) = req.into_parts();
        let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        let path = head.uri.path().trim_start_matches("/api/objects/").to_owned();
        let (kind, name) = path.split_once('/').unwrap_or((&path, ""));
        let number = |name| query(&head.uri, name).and_then(|text| text.parse::<u64>().ok());
        match head.method {
            Method::GET if name.is_empty() => match number("watch") {
                Some(from) => {
                    let wait = Duration::from_millis(number("waitMs").unwrap_or_default());
                    self.watch(kind, from, wait).await
                }
                None => self.list(kind, query(&head.uri, "staleOk") == Some("1")),
            },
            Method::POST => self.create(kind, &body),
            Method::PUT => self.replace(kind, name, &body),
            _ => reply(404, &Value::Null),
        }
    }

    fn create(&self, kind: &str, body: &[u8]) -> Reply {
        let draft: Value = serde_json::from_slice(body).unwrap_or_default();
        let name = draft["metadata"]["name"].as_str().unwrap_or_default().to_owned();
        let known = self.state().objects.get(&(kind.to_owned(), name.clone())).cloned();
        match known {
            Some(object) => reply(409, &object),
            None => reply(200, &self.put(kind, &name, json!({ "spec": draft["spec"] }))),
        }
    }

    fn replace(&self, kind: &str, name: &str, body: &[u8]) -> Reply {
        let draft: Value = serde_json::from_slice(body).unwrap_or_default();
        let known = self.state().objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        let Some(object) = known else { return reply(404, &Value::Null) };
        let wanted = &draft["metadata"]["revision"];
        if !wanted.is_null() && *wanted != object["metadata"]["revision"] {
            return reply(409, &object);
        }
        reply(200, &self.put(kind, name, json!({ "spec": draft["spec"] })))
    }
}

async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        let shared = shared.clone();
        tokio::spawn(async move {
            let service = service_fn(|req| {
                let shared = shared.clone();
                async move { Ok::<_, Infallible>(shared.answer(req).await) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!("store: {error}");
            }
        });
    }
}

fn query<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let mut pairs = uri.query().unwrap_or_default().split('&');
    pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

fn reply(status: u16, body: &Value) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body.to_string())));
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    reply
}
