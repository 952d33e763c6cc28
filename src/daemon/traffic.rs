//! The traffic threads' side: feeds the decisions and carries out what they order.

use std::{
    collections::HashMap,
    net::IpAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwapOption;
use http::HeaderMap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::{
    sync::{Notify, oneshot},
    task::AbortHandle,
};
use warp::reply::Response;

use super::{
    Tape, headers,
    incoming::{Incoming, may_have_run},
    order::{Order, failed},
    outgoing,
    stream::{OpenFiles, Rest},
};
use crate::{
    forward::Upstream,
    ledger::{KeptAnswer, SealedLedger},
    lookup::{BlockTable, HostIndex, LookupRequest, LookupResponse},
    prelude::*,
    quarantine::{Fingerprint, QuarantineMark},
    routing::{Action, Answer, AttemptId, CallId, Event, Outcome, Router, Via},
    settings::Secret,
    timeline::{EventKind, EventSink},
    view::View,
};

/// What the traffic side is built from.
pub struct TrafficParts {
    pub clock: Arc<dyn Clock>,
    pub member: MemberId,
    pub peer_key: Secret,
    /// The way to other hosts.
    pub peers: Arc<dyn Upstream>,
    pub seed: u64,
    /// Longest time that the caller of a file takes nothing of it.
    pub silence: Duration,
    pub sink: Arc<dyn EventSink>,
    pub steer: Router,
    pub tape: Arc<dyn Tape>,
    /// The way to targets.
    pub targets: Arc<dyn Upstream>,
}

/// The requests of one host.
pub struct Traffic {
    attempts: Mutex<HashMap<AttemptId, AbortHandle>>,
    core: Mutex<Core>,
    pub(super) files: OpenFiles,
    /// A request came under suspicion here.
    marked: Notify,
    next_call: AtomicU64,
    pub(super) parts: Parts,
    pub(super) pending: Mutex<HashMap<CallId, Pending>>,
    runtime: tokio::runtime::Handle,
    shown: ArcSwapOption<Shown>,
}

/// The view in force, with what look-ups need of it.
struct Shown {
    blocks: Arc<BlockTable>,
    index: HostIndex,
    view: Arc<View>,
}

pub(super) struct Parts {
    pub clock: Arc<dyn Clock>,
    member: MemberId,
    pub peer_key: Secret,
    pub peers: Arc<dyn Upstream>,
    silence: Duration,
    sink: Arc<dyn EventSink>,
    tape: Arc<dyn Tape>,
    pub targets: Arc<dyn Upstream>,
}

struct Core {
    rng: ChaCha8Rng,
    steer: Router,
}

/// A request whose caller waits.
pub(super) struct Pending {
    fingerprint: Fingerprint,
    incoming: Arc<Incoming>,
    /// The whole answer of the attempt that has just ended.
    pub reply: Option<Arc<KeptAnswer>>,
    request: RequestId,
    tx: oneshot::Sender<Response>,
}

impl Traffic {
    /// Starts with no view: every request is refused until the control side publishes one.
    pub fn new(parts: TrafficParts) -> Arc<Self> {
        let core = Core { rng: ChaCha8Rng::seed_from_u64(parts.seed), steer: parts.steer };
        Arc::new(Self {
            attempts: Mutex::default(),
            core: Mutex::new(core),
            files: OpenFiles::default(),
            marked: Notify::new(),
            next_call: AtomicU64::new(1),
            parts: Parts {
                clock: parts.clock,
                member: parts.member,
                peer_key: parts.peer_key,
                peers: parts.peers,
                silence: parts.silence,
                sink: parts.sink,
                tape: parts.tape,
                targets: parts.targets,
            },
            pending: Mutex::default(),
            runtime: tokio::runtime::Handle::current(),
            shown: ArcSwapOption::empty(),
        })
    }

    /// Serves one request to its final answer.
    pub async fn serve(self: &Arc<Self>, incoming: Incoming) -> Response {
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        let arrival = match incoming.arrival(call, &self.parts.member, &self.parts.peer_key) {
            Ok(arrival) => arrival,
            Err(bad) => {
                let request = incoming.request_id().unwrap_or_else(|_| "-".into());
                let detail = bad.to_string();
                let (headers, service) = (&incoming.headers, &incoming.service);
                let error = self.before_ledger(ErrorKind::BadRequest, headers, service);
                return outgoing::error(error, &request, Some(&detail), None);
            }
        };
        let request = arrival.request.clone();
        let (tx, rx) = oneshot::channel();
        let fingerprint = arrival.fingerprint;
        if arrival.via != Via::Caller {
            self.learn(incoming.mark(fingerprint));
        }
        let incoming = Arc::new(incoming);
        let pending = Pending { fingerprint, incoming, reply: None, request: request.clone(), tx };
        lock(&self.pending).insert(call, pending);
        let guard = CallGuard { call, traffic: self.clone() };
        self.feed(Event::Arrived(arrival));
        let answer = rx.await;
        drop(guard);
        // The sender is dropped without an answer only if the host is torn down around the call.
        answer.unwrap_or_else(|_| outgoing::error(ErrorKind::DispatchLost, &request, None, None))
    }

    /// What a request is told that is refused before the decisions saw it.
    pub(super) fn before_ledger(
        &self,
        error: ErrorKind,
        headers: &HeaderMap,
        service: &ServiceId,
    ) -> ErrorKind {
        let view = self.view();
        let known = view.as_ref().and_then(|view| view.manifest.service(service));
        let repeatable = known.is_some_and(|service| service.kind.is_idempotent());
        let booking = !repeatable && may_have_run(headers, &self.parts.peer_key);
        if booking { error.before_ledger() } else { error }
    }

    /// Ranked hosts for a caller; `None` until a manifest is in force.
    pub fn look_up(&self, client: IpAddr, service: &ServiceId) -> Option<LookupResponse> {
        let shown = self.shown.load_full()?;
        shown.view.manifest.service(service)?;
        let ask = LookupRequest { client, service: service.clone() };
        let lookup = shown.index.rank(&shown.blocks, &ask);
        if self.parts.sink.is_on() {
            self.parts.sink.record(None, EventKind::LookedUp { service: service.clone() });
        }
        Some(lookup)
    }

    /// This host's clock.
    pub fn now(&self) -> Moment {
        self.parts.clock.now()
    }

    /// The view in force.
    pub fn view(&self) -> Option<Arc<View>> {
        self.shown.load().as_ref().map(|shown| shown.view.clone())
    }

    /// Puts a new view in force.
    pub fn show(self: &Arc<Self>, view: Arc<View>) {
        self.feed(Event::Viewed { view: view.clone() });
        let blocks = lock(&self.core).steer.blocks().clone();
        let index = HostIndex::build(&view);
        self.shown.store(Some(Arc::new(Shown { blocks, index, view })));
    }

    /// Closes the ledger for a successor.
    pub fn seal(&self) -> SealedLedger {
        let mut core = lock(&self.core);
        let now = self.parts.clock.now();
        let sealed = core.steer.seal(now);
        self.parts.tape.sealed(now, &sealed);
        sealed
    }

    /// Takes over the sealed ledger of a host that stops.
    pub fn adopt(&self, sealed: SealedLedger) -> crate::ledger::Result<()> {
        let mut core = lock(&self.core);
        let now = self.parts.clock.now();
        let result = core.steer.adopt(sealed.clone(), now);
        self.parts.tape.adopted(now, &sealed, &result);
        result
    }

    /// Reads the decisions, for the control side.
    pub fn with_steer<T>(&self, f: impl FnOnce(&Router, Moment) -> T) -> T {
        let now = self.parts.clock.now();
        f(&lock(&self.core).steer, now)
    }

    /// Waits until a request has come under suspicion here since the last time.
    pub async fn marked(&self) {
        self.marked.notified().await;
    }

    /// Takes in what a host at the other end of a hop knows of the request that it carries. By the
    /// exchanges alone the suspicion comes later than the request, which then crashes another target.
    pub(super) fn learn(self: &Arc<Self>, mark: Option<QuarantineMark>) {
        if let Some(mark) = mark {
            self.feed(Event::Marked { marks: vec![mark] });
        }
    }

    /// Gives one event to the decisions and carries out what they order.
    pub fn feed(self: &Arc<Self>, event: Event) {
        let actions = self.decide(event);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn decide(&self, event: Event) -> Vec<Action> {
        let mut core = lock(&self.core);
        let core = &mut *core;
        let now = self.parts.clock.now();
        if !self.parts.tape.is_on() {
            return core.steer.handle(event, now, &mut core.rng);
        }
        let actions = core.steer.handle(event.clone(), now, &mut core.rng);
        self.parts.tape.event(now, &event, &actions);
        actions
    }

    fn carry_out(self: &Arc<Self>, action: Action) {
        match action {
            Action::Answer { answer, call } => self.answer(call, answer),
            Action::Cancel { attempt } => self.abort(attempt),
            Action::Dispatch { address, attempt, call, timeout, .. } => {
                self.start(call, attempt, address, timeout, None);
            }
            Action::Forward { address, attempt, call, timeout, via, .. } => {
                self.start(call, attempt, address, timeout, Some(via));
            }
            Action::Note { kind, request } => {
                if matches!(kind, EventKind::Quarantined { .. }) {
                    self.marked.notify_one();
                }
                self.parts.sink.record(request.as_ref(), kind);
            }
        }
    }

    fn answer(&self, call: CallId, answer: Answer) {
        self.files.close(call);
        let Some(pending) = lock(&self.pending).remove(&call) else { return };
        let mut res = match answer {
            Answer::Error { error, retry_after } => {
                let mut res = outgoing::error(error, &pending.request, None, retry_after);
                if pending.incoming.headers.contains_key(headers::IDEMPOTENCY_KEY) {
                    outgoing::close_key(&mut res, error);
                }
                res
            }
            Answer::Kept { kept } => outgoing::whole(&kept, &pending.request),
            Answer::Pass => match &pending.reply {
                Some(reply) => outgoing::whole(reply, &pending.request),
                None => outgoing::error(ErrorKind::AnswerNotKept, &pending.request, None, None),
            },
        };
        if pending.incoming.headers.contains_key(headers::VIA)
            && let Some(mark) = self.mark(pending.fingerprint)
        {
            outgoing::put_mark(&mut res, &mark);
        }
        // A failed send means that the caller is gone; the ledger keeps what it has to.
        let _ = pending.tx.send(res);
    }

    fn start(
        self: &Arc<Self>,
        call: CallId,
        attempt: AttemptId,
        address: SocketAddr,
        timeout: Duration,
        hop: Option<Via>,
    ) {
        if let Some(task) = self.files.give(call, Rest { address, attempt, hop, timeout }) {
            lock(&self.attempts).insert(attempt, task);
            return;
        }
        let pending = lock(&self.pending);
        let Some(entry) = pending.get(&call) else {
            drop(pending);
            let outcome = failed(ErrorKind::DeadlinePassed, Duration::ZERO);
            return self.feed(Event::Ended { attempt, outcome });
        };
        let (incoming, request) = (entry.incoming.clone(), entry.request.clone());
        let fingerprint = entry.fingerprint;
        drop(pending);
        let order = Order { address, attempt, call, fingerprint, hop, incoming, request, timeout };
        let traffic = self.clone();
        let mut attempts = lock(&self.attempts);
        let task = self.runtime.spawn(async move { traffic.run(order).await });
        attempts.insert(attempt, task.abort_handle());
        drop(attempts);
        // Another thread may have ordered the cancellation before the task was there to be
        // aborted: the target would run it for nobody, in a slot that the decisions gave back.
        if !self.is_running(attempt) {
            self.abort(attempt);
        }
    }

    pub(super) fn is_running(&self, attempt: AttemptId) -> bool {
        lock(&self.core).steer.is_running(attempt)
    }

    fn abort(&self, attempt: AttemptId) {
        if let Some(task) = lock(&self.attempts).remove(&attempt) {
            task.abort();
        }
    }

    pub(super) fn mark(&self, fingerprint: Fingerprint) -> Option<QuarantineMark> {
        self.with_steer(|steer, now| steer.mark(fingerprint, now))
    }

    /// The caller's way to its answer, if it still waits for one.
    pub(super) fn take_caller(&self, call: CallId) -> Option<oneshot::Sender<Response>> {
        lock(&self.pending).remove(&call).map(|pending| pending.tx)
    }

    /// Longest time that the caller of a file takes nothing of it.
    pub(super) fn silence(&self) -> Duration {
        self.parts.silence
    }

    /// The task that carries out an attempt.
    pub(super) fn task(&self, attempt: AttemptId) -> Option<AbortHandle> {
        lock(&self.attempts).get(&attempt).cloned()
    }

    pub(super) fn end(self: &Arc<Self>, attempt: AttemptId, outcome: Outcome) {
        lock(&self.attempts).remove(&attempt);
        self.feed(Event::Ended { attempt, outcome });
    }
}

/// Tells the decisions when the caller leaves before its answer.
struct CallGuard {
    call: CallId,
    traffic: Arc<Traffic>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if lock(&self.traffic.pending).remove(&self.call).is_some() {
            self.traffic.feed(Event::Cancelled { call: self.call });
        }
    }
}

/// A panic while a lock is held must not take the host's other requests with it.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
