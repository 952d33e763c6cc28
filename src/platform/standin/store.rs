//! Stand-in for the platform's store: objects by kind and name, one revision counter, watches.

use std::sync::{
    Mutex, MutexGuard,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::Notify, task::JoinHandle};

use super::{
    door::{DoorState, StoreDoor, serve},
    store_pages::{BrokenValue, CallTarget, ListPlace, Listed, Paging, encode, raw_object},
};
use crate::prelude::*;

/// Upper limit on the time for which a watch waits.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Header with the number of times that the store was restored from a copy.
const RESTORES_HEADER: &str = "store-era";

type Objects = BTreeMap<(String, String), Value>;
pub(super) type Reply = Response<Full<Bytes>>;

/// A running store; stops when dropped.
pub struct StoreStandin {
    addr: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

/// What a store and its doors share.
#[derive(Default)]
pub(super) struct Shared {
    changed: Notify,
    down: AtomicBool,
    /// Number of pages that were asked for.
    listed_pages: AtomicUsize,
    /// Number of objects that were asked for by name.
    read_objects: AtomicUsize,
    state: Mutex<State>,
    /// Number of watches that are waiting for a change.
    pending_watches: AtomicUsize,
}

/// Counts a waiting watch until it ends or its caller disconnects.
struct PendingWatch<'a>(&'a AtomicUsize);

impl<'a> PendingWatch<'a> {
    fn new(watches: &'a AtomicUsize) -> Self {
        watches.fetch_add(1, Ordering::Relaxed);
        Self(watches)
    }
}

impl Drop for PendingWatch<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

#[derive(Clone, Default)]
struct State {
    /// Revision by which each object was created; orders listings.
    created: BTreeMap<(String, String), u64>,
    /// Changes since the last compaction: revision, kind, object, whether it was deleted.
    events: Vec<(u64, String, Value, bool)>,
    /// Changes up to this revision are no longer available.
    compacted_revision: u64,
    /// Objects and revision returned by reads that allow stale data.
    stale: Option<(Objects, u64)>,
    /// Whether such reads state the present revision all the same.
    stale_states_present: bool,
    list_place: ListPlace,
    objects: Objects,
    paging: Paging,
    /// Number of restores, which all responses state.
    restores: u64,
    revision: u64,
}

/// A copy of a store's state, to which the store can be restored.
pub struct StoreCopy(State);

impl StoreStandin {
    /// Starts a store on a free port of loopback.
    pub async fn spawn() -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let (always_open, _) = DoorState::open();
        let task = tokio::spawn(serve(listener, shared.clone(), always_open));
        Ok(Self { addr, shared, task })
    }

    /// Opens another address of this store on a free port of loopback.
    pub async fn open_door(&self) -> std::io::Result<StoreDoor> {
        StoreDoor::open(self.shared.clone()).await
    }

    /// Returns the address on which the store listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Writes an object with this `spec`.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.shared.put(kind, name, json!({ "spec": spec }));
    }

    /// Writes an object as it is, whatever `metadata` says. The object has this name all the same.
    pub fn put_as_is(&self, kind: &str, name: &str, object: Value) {
        self.shared.put_as_is(kind, name, object);
    }

    /// Writes an object with a value that breaks the JSON of each response that contains it.
    pub fn put_broken(&self, kind: &str, name: &str, value: BrokenValue) {
        self.shared.put(kind, name, json!({ "spec": { "address": value.placeholder() } }));
    }

    /// Writes an object that can't be decoded.
    pub fn put_undecodable(&self, kind: &str, name: &str) {
        self.shared.put(kind, name, json!({ "spec": [1, "spoiled"] }));
    }

    /// Writes an object that is sent as this text, whether it is JSON or not.
    pub fn put_raw(&self, kind: &str, name: &str, text: &str) {
        self.shared.put_as_is(kind, name, raw_object(text));
    }

    /// Writes an object with bytes that are not UTF-8.
    pub fn put_not_utf8(&self, kind: &str, name: &str) {
        self.put_broken(kind, name, BrokenValue::NotUtf8);
    }

    /// Writes an object without a change that watches could return.
    pub fn put_unannounced(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.shared.state();
        state.revision += 1;
        let metadata = json!({ "name": name, "revision": state.revision, "finalizers": [] });
        let object = json!({ "metadata": metadata, "spec": spec });
        state.insert(kind, name, object);
    }

    /// Sets how objects are listed from now on.
    pub fn set_paging(&self, paging: Paging) {
        self.shared.state().paging = paging;
    }

    /// Sets where responses have their list from now on.
    pub fn set_list_place(&self, place: ListPlace) {
        self.shared.state().list_place = place;
    }

    /// Returns the number of calls about one object that were received.
    pub fn read_objects(&self) -> usize {
        self.shared.read_objects.load(Ordering::Relaxed)
    }

    /// Returns the number of pages that were asked for.
    pub fn listed_pages(&self) -> usize {
        self.shared.listed_pages.load(Ordering::Relaxed)
    }

    /// Whether an object exists.
    pub fn has_object(&self, kind: &str, name: &str) -> bool {
        self.shared.state().objects.contains_key(&(kind.to_owned(), name.to_owned()))
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.shared.remove(kind, name);
    }

    /// Sets whether all calls are answered with status 503.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::Relaxed);
        self.shared.changed.notify_waiters();
    }

    /// Discards the history of changes; watches from earlier revisions fail with status 410.
    pub fn compact(&self) {
        let mut state = self.shared.state();
        state.compacted_revision = state.revision;
        state.events.clear();
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Returns a copy of the present state.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.shared.state().clone())
    }

    /// Restores the store from a copy: what was written since is gone, and its revisions are given
    /// out again.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.shared.state();
        let restores = state.restores + 1;
        *state = State { restores, ..copy.0.clone() };
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// From now on, reads that allow stale data return the present state.
    pub fn freeze_stale_reads(&self) {
        let mut state = self.shared.state();
        state.stale = Some((state.objects.clone(), state.revision));
    }

    /// Sets whether reads that return old data state the present revision.
    pub fn set_stale_reads_state_present_revision(&self, state_present: bool) {
        self.shared.state().stale_states_present = state_present;
    }

    /// Returns the number of watches that are waiting for a change.
    pub fn pending_watches(&self) -> usize {
        self.shared.pending_watches.load(Ordering::Relaxed)
    }

    /// Returns the number of objects of a kind.
    pub fn object_count(&self, kind: &str) -> usize {
        self.shared.state().objects.keys().filter(|(object_kind, _)| object_kind == kind).count()
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
        state.write(kind, name, object.clone());
        drop(state);
        self.changed.notify_waiters();
        object
    }

    fn put_as_is(&self, kind: &str, name: &str, object: Value) {
        let mut state = self.state();
        state.revision += 1;
        state.write(kind, name, object);
        drop(state);
        self.changed.notify_waiters();
    }

    fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = state.objects.remove(&key) {
            state.created.remove(&key);
            state.revision += 1;
            let revision = state.revision;
            state.events.push((revision, kind.to_owned(), object, true));
        }
        drop(state);
        self.changed.notify_waiters();
    }

    fn list(&self, kind: &str, target: &CallTarget) -> Reply {
        self.listed_pages.fetch_add(1, Ordering::Relaxed);
        let allow_stale = target.query("staleOk") == Some("1");
        let state = self.state();
        let stale = state.stale.as_ref().filter(|_| allow_stale);
        let (objects, mut revision) = stale
            .map_or((&state.objects, state.revision), |(objects, revision)| (objects, *revision));
        if state.stale_states_present {
            revision = state.revision;
        }
        let of_kind = objects.iter().filter(|((object_kind, _), _)| object_kind == kind);
        let listed = of_kind.map(|(key, object)| {
            let created = state.created.get(key).copied().unwrap_or_default();
            Listed { created, name: &key.1, object }
        });
        state.paging.page(listed.collect(), target.query("after"), revision, state.list_place)
    }

    async fn watch(&self, kind: &str, from: u64, wait: Duration) -> Reply {
        let until = tokio::time::Instant::now() + wait.min(MAX_WAIT);
        let _pending = PendingWatch::new(&self.pending_watches);
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state();
                if self.down.load(Ordering::Relaxed) {
                    return reply(503, &Value::Null);
                }
                if from < state.compacted_revision || state.revision < from {
                    return reply(410, &Value::Null);
                }
                let new = state
                    .events
                    .iter()
                    .filter(|(revision, event_kind, _, _)| from < *revision && event_kind == kind);
                let event =
                    |(_, _, object, deleted)| json!({ "object": object, "deleted": deleted });
                let events: Vec<Value> = new.cloned().map(event).collect();
                if !events.is_empty() || until <= tokio::time::Instant::now() {
                    let fields = json!({ "currentRev": state.revision });
                    return state.list_place.reply("events", &events, &fields);
                }
            }
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }

    /// Handles a call and states the number of restores in the response, whatever it is.
    pub(super) async fn handle(&self, req: Request<Incoming>) -> Reply {
        let mut reply = self.handle_call(req).await;
        let restores = self.state().restores;
        reply.headers_mut().insert(RESTORES_HEADER, HeaderValue::from(restores));
        reply
    }

    async fn handle_call(&self, req: Request<Incoming>) -> Reply {
        if self.down.load(Ordering::Relaxed) {
            return reply(503, &Value::Null);
        }
        let (head, body) = req.into_parts();
        let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        let Some(target) = CallTarget::decode(&head.uri) else { return reply(404, &Value::Null) };
        let (kind, name) = (&*target.kind, &*target.name);
        match head.method {
            Method::GET if name.is_empty() => match target.number("watch") {
                Some(from) => {
                    let wait = target.number("waitMs").unwrap_or_default();
                    self.watch(kind, from, Duration::from_millis(wait)).await
                }
                None => self.list(kind, &target),
            },
            Method::GET => self.get(kind, name),
            Method::POST => self.create(kind, &body),
            Method::PUT => self.replace(kind, name, &body),
            Method::DELETE => self.delete(kind, name, target.number("revision")),
            _ => reply(404, &Value::Null),
        }
    }

    fn object(&self, kind: &str, name: &str) -> Option<Value> {
        self.state().objects.get(&(kind.to_owned(), name.to_owned())).cloned()
    }

    fn get(&self, kind: &str, name: &str) -> Reply {
        self.read_objects.fetch_add(1, Ordering::Relaxed);
        self.object(kind, name).map_or_else(|| reply(404, &Value::Null), |it| reply(200, &it))
    }

    fn delete(&self, kind: &str, name: &str, revision: Option<u64>) -> Reply {
        let Some(object) = self.object(kind, name) else { return reply(404, &Value::Null) };
        if revision.is_some_and(|revision| object["metadata"]["revision"] != revision) {
            return reply(409, &object);
        }
        self.remove(kind, name);
        reply(200, &Value::Null)
    }

    fn create(&self, kind: &str, body: &[u8]) -> Reply {
        let draft: Value = serde_json::from_slice(body).unwrap_or_default();
        let name = draft["metadata"]["name"].as_str().unwrap_or_default().to_owned();
        match self.object(kind, &name) {
            Some(object) => reply(409, &object),
            None => reply(200, &self.put(kind, &name, json!({ "spec": draft["spec"] }))),
        }
    }

    fn replace(&self, kind: &str, name: &str, body: &[u8]) -> Reply {
        let draft: Value = serde_json::from_slice(body).unwrap_or_default();
        let Some(object) = self.object(kind, name) else { return reply(404, &Value::Null) };
        let wanted = &draft["metadata"]["revision"];
        if !wanted.is_null() && *wanted != object["metadata"]["revision"] {
            return reply(409, &object);
        }
        reply(200, &self.put(kind, name, json!({ "spec": draft["spec"] })))
    }
}

impl State {
    /// Writes an object, with an event.
    fn write(&mut self, kind: &str, name: &str, object: Value) {
        self.insert(kind, name, object.clone());
        self.events.push((self.revision, kind.to_owned(), object, false));
    }

    fn insert(&mut self, kind: &str, name: &str, object: Value) {
        let key = (kind.to_owned(), name.to_owned());
        self.created.entry(key.clone()).or_insert(self.revision);
        self.objects.insert(key, object);
    }
}

pub(super) fn reply(status: u16, body: &Value) -> Reply {
    reply_text(status, &body.to_string())
}

pub(super) fn reply_text(status: u16, text: &str) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(encode(text))));
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    reply
}
