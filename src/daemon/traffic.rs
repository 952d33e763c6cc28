//! Request handling on the traffic threads: passes events to the router and executes its actions.

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
    DecisionRecorder,
    attempt::{AttemptCommand, failed_outcome},
    headers,
    incoming::{IncomingRequest, may_have_run},
    outgoing,
    stream::{FileTransfers, ResumeCommand},
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

/// What a `TrafficHandler` is built from.
pub struct TrafficDependencies {
    pub clock: Arc<dyn Clock>,
    pub member: MemberId,
    pub peer_key: Secret,
    /// Sends requests to other hosts.
    pub peers: Arc<dyn Upstream>,
    pub seed: u64,
    /// Longest time that the caller of a file may read none of it.
    pub idle_timeout: Duration,
    pub sink: Arc<dyn EventSink>,
    pub router: Router,
    pub decision_recorder: Arc<dyn DecisionRecorder>,
    /// Sends requests to targets.
    pub targets: Arc<dyn Upstream>,
}

/// Handles the requests of one host.
pub struct TrafficHandler {
    attempt_tasks: Mutex<HashMap<AttemptId, AbortHandle>>,
    router_state: Mutex<RouterState>,
    pub(super) files: FileTransfers,
    /// Notified when a request is quarantined on this host.
    mark_added: Notify,
    next_call: AtomicU64,
    pub(super) deps: SharedDependencies,
    pub(super) pending: Mutex<HashMap<CallId, PendingRequest>>,
    runtime: tokio::runtime::Handle,
    active_view: ArcSwapOption<ActiveView>,
}

/// The view in force, with the indexes that look-ups use.
struct ActiveView {
    blocks: Arc<BlockTable>,
    index: HostIndex,
    view: Arc<View>,
}

pub(super) struct SharedDependencies {
    pub clock: Arc<dyn Clock>,
    member: MemberId,
    pub peer_key: Secret,
    pub peers: Arc<dyn Upstream>,
    idle_timeout: Duration,
    sink: Arc<dyn EventSink>,
    decision_recorder: Arc<dyn DecisionRecorder>,
    pub targets: Arc<dyn Upstream>,
}

struct RouterState {
    rng: ChaCha8Rng,
    router: Router,
}

/// A request whose caller waits for the response.
pub(super) struct PendingRequest {
    fingerprint: Fingerprint,
    incoming: Arc<IncomingRequest>,
    /// The complete response of the attempt that has just ended.
    pub reply: Option<Arc<KeptAnswer>>,
    request: RequestId,
    tx: oneshot::Sender<Response>,
}

impl TrafficHandler {
    /// Starts without a view: every request is refused until the control actor publishes one.
    pub fn new(deps: TrafficDependencies) -> Arc<Self> {
        let state = RouterState { rng: ChaCha8Rng::seed_from_u64(deps.seed), router: deps.router };
        Arc::new(Self {
            attempt_tasks: Mutex::default(),
            router_state: Mutex::new(state),
            files: FileTransfers::default(),
            mark_added: Notify::new(),
            next_call: AtomicU64::new(1),
            deps: SharedDependencies {
                clock: deps.clock,
                member: deps.member,
                peer_key: deps.peer_key,
                peers: deps.peers,
                idle_timeout: deps.idle_timeout,
                sink: deps.sink,
                decision_recorder: deps.decision_recorder,
                targets: deps.targets,
            },
            pending: Mutex::default(),
            runtime: tokio::runtime::Handle::current(),
            active_view: ArcSwapOption::empty(),
        })
    }

    /// Serves one request and returns its final response.
    pub async fn serve(self: &Arc<Self>, incoming: IncomingRequest) -> Response {
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        let arrival = match incoming.arrival(call, &self.deps.member, &self.deps.peer_key) {
            Ok(arrival) => arrival,
            Err(invalid) => {
                let request = incoming.request_id().unwrap_or_else(|_| "-".into());
                let detail = invalid.to_string();
                let (headers, service) = (&incoming.headers, &incoming.service);
                let error = self.error_before_ledger(ErrorKind::BadRequest, headers, service);
                return outgoing::error_response(error, &request, Some(&detail), None);
            }
        };
        let request = arrival.request.clone();
        let (tx, rx) = oneshot::channel();
        let fingerprint = arrival.fingerprint;
        if arrival.via != Via::Caller {
            self.merge_mark(incoming.quarantine_mark(fingerprint));
        }
        let incoming = Arc::new(incoming);
        let pending =
            PendingRequest { fingerprint, incoming, reply: None, request: request.clone(), tx };
        lock(&self.pending).insert(call, pending);
        let guard = CallGuard { call, traffic: self.clone() };
        self.handle_event(Event::Arrived(arrival));
        let response = rx.await;
        drop(guard);
        // The sender is dropped without a response only while the host shuts down.
        response.unwrap_or_else(|_| {
            outgoing::error_response(ErrorKind::DispatchLost, &request, None, None)
        })
    }

    /// The error to return for a request that is refused before the router has seen it. A request
    /// that may be a copy of a booking gets the error's `before_ledger` variant, since the ledger
    /// was not consulted.
    pub(super) fn error_before_ledger(
        &self,
        error: ErrorKind,
        headers: &HeaderMap,
        service: &ServiceId,
    ) -> ErrorKind {
        let view = self.view();
        let known_service = view.as_ref().and_then(|view| view.manifest.service(service));
        let idempotent = known_service.is_some_and(|service| service.kind.is_idempotent());
        let booking = !idempotent && may_have_run(headers, &self.deps.peer_key);
        if booking { error.before_ledger() } else { error }
    }

    /// Ranked hosts for a caller; `None` until a manifest is in force.
    pub fn lookup(&self, client: IpAddr, service: &ServiceId) -> Option<LookupResponse> {
        let active_view = self.active_view.load_full()?;
        active_view.view.manifest.service(service)?;
        let request = LookupRequest { client, service: service.clone() };
        let lookup = active_view.index.rank(&active_view.blocks, &request);
        if self.deps.sink.is_on() {
            self.deps.sink.record(None, EventKind::LookedUp { service: service.clone() });
        }
        Some(lookup)
    }

    /// The time by this host's clock.
    pub fn now(&self) -> Moment {
        self.deps.clock.now()
    }

    /// The view in force.
    pub fn view(&self) -> Option<Arc<View>> {
        self.active_view.load().as_ref().map(|active_view| active_view.view.clone())
    }

    /// Puts a new view in force.
    pub fn set_view(self: &Arc<Self>, view: Arc<View>) {
        self.handle_event(Event::Viewed { view: view.clone() });
        let blocks = lock(&self.router_state).router.blocks().clone();
        let index = HostIndex::build(&view);
        self.active_view.store(Some(Arc::new(ActiveView { blocks, index, view })));
    }

    /// Seals the ledger for the handover to a successor.
    pub fn seal(&self) -> SealedLedger {
        let mut state = lock(&self.router_state);
        let now = self.deps.clock.now();
        let sealed = state.router.seal(now);
        self.deps.decision_recorder.record_sealed(now, &sealed);
        sealed
    }

    /// Adopts the sealed ledger of a stopping host.
    pub fn adopt(&self, sealed: SealedLedger) -> crate::ledger::Result<()> {
        let mut state = lock(&self.router_state);
        let now = self.deps.clock.now();
        let result = state.router.adopt(sealed.clone(), now);
        self.deps.decision_recorder.record_adopted(now, &sealed, &result);
        result
    }

    /// Calls `f` with the locked router and the current time.
    pub fn with_router<T>(&self, f: impl FnOnce(&Router, Moment) -> T) -> T {
        let now = self.deps.clock.now();
        f(&lock(&self.router_state).router, now)
    }

    /// Waits until a request has been quarantined on this host since the last call.
    pub async fn wait_for_mark(&self) {
        self.mark_added.notified().await;
    }

    /// Merges the quarantine mark that the other host of a hop attached. With the exchanges alone
    /// the mark would arrive after the request, which would crash another target.
    pub(super) fn merge_mark(self: &Arc<Self>, mark: Option<QuarantineMark>) {
        if let Some(mark) = mark {
            self.handle_event(Event::Marked { marks: vec![mark] });
        }
    }

    /// Passes one event to the router and executes the actions that it returns.
    pub fn handle_event(self: &Arc<Self>, event: Event) {
        let actions = self.decide(event);
        for action in actions {
            self.execute(action);
        }
    }

    fn decide(&self, event: Event) -> Vec<Action> {
        let mut state = lock(&self.router_state);
        let state = &mut *state;
        let now = self.deps.clock.now();
        if !self.deps.decision_recorder.is_enabled() {
            return state.router.handle(event, now, &mut state.rng);
        }
        let actions = state.router.handle(event.clone(), now, &mut state.rng);
        self.deps.decision_recorder.record_event(now, &event, &actions);
        actions
    }

    fn execute(self: &Arc<Self>, action: Action) {
        match action {
            Action::Answer { answer, call } => self.respond(call, answer),
            Action::Cancel { attempt } => self.abort(attempt),
            Action::Dispatch { address, attempt, call, timeout, .. } => {
                self.start_attempt(call, attempt, address, timeout, None);
            }
            Action::Forward { address, attempt, call, timeout, via, .. } => {
                self.start_attempt(call, attempt, address, timeout, Some(via));
            }
            Action::Note { kind, request } => {
                if matches!(kind, EventKind::Quarantined { .. }) {
                    self.mark_added.notify_one();
                }
                self.deps.sink.record(request.as_ref(), kind);
            }
        }
    }

    fn respond(&self, call: CallId, answer: Answer) {
        self.files.close(call);
        let Some(pending) = lock(&self.pending).remove(&call) else { return };
        let mut res = match answer {
            Answer::Error { error, retry_after } => {
                let mut res = outgoing::error_response(error, &pending.request, None, retry_after);
                if pending.incoming.headers.contains_key(headers::IDEMPOTENCY_KEY) {
                    outgoing::advise_new_key(&mut res, error);
                }
                res
            }
            Answer::Kept { kept } => outgoing::full_response(&kept, &pending.request),
            Answer::Pass => match &pending.reply {
                Some(reply) => outgoing::full_response(reply, &pending.request),
                None => {
                    outgoing::error_response(ErrorKind::AnswerNotKept, &pending.request, None, None)
                }
            },
        };
        if pending.incoming.headers.contains_key(headers::VIA)
            && let Some(mark) = self.quarantine_mark(pending.fingerprint)
        {
            outgoing::add_mark(&mut res, &mark);
        }
        // A failed send means that the caller has disconnected; the ledger keeps the response if it
        // has to.
        let _ = pending.tx.send(res);
    }

    fn start_attempt(
        self: &Arc<Self>,
        call: CallId,
        attempt: AttemptId,
        address: SocketAddr,
        timeout: Duration,
        hop: Option<Via>,
    ) {
        if let Some(task) =
            self.files.resume(call, ResumeCommand { address, attempt, hop, timeout })
        {
            lock(&self.attempt_tasks).insert(attempt, task);
            return;
        }
        let pending = lock(&self.pending);
        let Some(entry) = pending.get(&call) else {
            drop(pending);
            let outcome = failed_outcome(ErrorKind::DeadlinePassed, Duration::ZERO);
            return self.handle_event(Event::Ended { attempt, outcome });
        };
        let (incoming, request) = (entry.incoming.clone(), entry.request.clone());
        let fingerprint = entry.fingerprint;
        drop(pending);
        let cmd =
            AttemptCommand { address, attempt, call, fingerprint, hop, incoming, request, timeout };
        let traffic = self.clone();
        let mut attempts = lock(&self.attempt_tasks);
        let task = self.runtime.spawn(async move { traffic.run_attempt(cmd).await });
        attempts.insert(attempt, task.abort_handle());
        drop(attempts);
        // Another thread may have cancelled the attempt before its task was registered. Without
        // this check the target would still run it, in a slot that the router has already released.
        if !self.is_running(attempt) {
            self.abort(attempt);
        }
    }

    pub(super) fn is_running(&self, attempt: AttemptId) -> bool {
        lock(&self.router_state).router.is_running(attempt)
    }

    fn abort(&self, attempt: AttemptId) {
        if let Some(task) = lock(&self.attempt_tasks).remove(&attempt) {
            task.abort();
        }
    }

    pub(super) fn quarantine_mark(&self, fingerprint: Fingerprint) -> Option<QuarantineMark> {
        self.with_router(|router, now| router.mark(fingerprint, now))
    }

    /// Takes the sender of the response, if the caller still waits for one.
    pub(super) fn take_response_sender(&self, call: CallId) -> Option<oneshot::Sender<Response>> {
        lock(&self.pending).remove(&call).map(|pending| pending.tx)
    }

    /// Longest time that the caller of a file may read none of it.
    pub(super) fn idle_timeout(&self) -> Duration {
        self.deps.idle_timeout
    }

    /// The task that executes an attempt.
    pub(super) fn attempt_task(&self, attempt: AttemptId) -> Option<AbortHandle> {
        lock(&self.attempt_tasks).get(&attempt).cloned()
    }

    pub(super) fn finish_attempt(self: &Arc<Self>, attempt: AttemptId, outcome: Outcome) {
        lock(&self.attempt_tasks).remove(&attempt);
        self.handle_event(Event::Ended { attempt, outcome });
    }
}

/// Cancels the call if the caller disconnects before the response.
struct CallGuard {
    call: CallId,
    traffic: Arc<TrafficHandler>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if lock(&self.traffic.pending).remove(&self.call).is_some() {
            self.traffic.handle_event(Event::Cancelled { call: self.call });
        }
    }
}

/// Ignores poisoning: a panic while a lock is held must not fail the host's other requests.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
