//! Handles one request of a caller: access checks, reading the body, attempts at targets with
//! retries and hedging, and the response.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    pin::Pin,
    rc::Rc,
};

use bytes::{Bytes, BytesMut};
use futures::{StreamExt, stream::FuturesUnordered};
use http::{Request, header, request::Parts};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{
    Access, CallerKey, Declaration, Idempotency, Route, TrafficState, View,
    attempt::{AttemptOutcome, OutboundRequest, send_attempt},
    body_memory::BodyReservation,
    caller_io::Disconnect,
    place::PlacementRequest,
    request_log::{RequestLog, RequestOutcome},
    response::{CallerResponse, host_response},
    traffic_state::Admission,
};
use crate::{
    base::Ran,
    event_log::{AttemptReason, Event},
    placement::{Choice, ObjectTag},
    prelude::*,
};

/// Reserved out of the caller's timeout, so that the response arrives before it ends. Covers the
/// network latency to and from the caller (8 ms each way), a new connection and late timers.
const RESPONSE_MARGIN: Duration = Duration::from_millis(60);

/// A request is hedged to a second target after this many times the service's mean time.
const HEDGE_DELAY_FACTOR: f64 = 4.0;

/// Shortest time before a request is hedged.
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(350);

/// Bounds of the retry-after time sent to a refused caller. Callers with the shortest deadlines
/// still honour the upper bound.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(80);
const RETRY_AFTER_MAX: Duration = Duration::from_millis(700);

/// Longest retry-after time if targets said when they take requests again. Most callers have left
/// by then; one that comes back earlier would be refused again.
const RETRY_AFTER_MAX_PAUSED: Duration = Duration::from_secs(5);

/// Part of the shutdown's grace period in which new requests are still accepted: they can be
/// answered before the process ends.
const SHUTDOWN_ACCEPT_FRACTION: f64 = 0.4;

/// Retry-after time when it is unknown when a slot will be free.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(250);

/// Number of unreachable targets after which a request is refused.
const MAX_UNREACHABLE_TARGETS: u32 = 3;

type Attempt = Pin<Box<dyn Future<Output = (TargetId, AttemptOutcome)>>>;
type Attempts = FuturesUnordered<Attempt>;

/// The body of a request: still arriving, or none for a request that was started early.
pub enum RequestBody {
    Incoming(Incoming),
    None,
}

/// Handles one request. `None` if the caller has left.
pub async fn handle_request(
    state: Rc<TrafficState>,
    disconnect: Disconnect,
    req: Request<RequestBody>,
) -> Option<CallerResponse> {
    let accepted_at = state.clock.now();
    let (mut head, body) = req.into_parts();
    let metadata = state.protocol.caller_metadata(&head.headers);
    let key = state.new_request_key(metadata.attempt_id.as_ref());
    let version = Cell::new(0);
    let team_name: RefCell<Option<TeamId>> = RefCell::default();
    let refuse = |kind: ErrorKind, retry_after: Option<Duration>| {
        let response = host_response(&state, &metadata, kind, retry_after);
        let event = Event::Refused {
            declaration: version.get(),
            error: kind,
            retry_after_ms: retry_after.map(|span| span.as_millis() as u64),
            status: response.status().as_u16(),
            team: team_name.borrow().clone(),
            took_ms: state.clock.now().saturating_sub(accepted_at).as_millis() as u64,
        };
        state.record(&key, event);
        Some(response)
    };
    let Some(view) = state.view() else { return refuse(ErrorKind::NoManifest, None) };
    let Some(declaration) = view.declaration.clone() else {
        return refuse(ErrorKind::NoManifest, None);
    };
    version.set(declaration.version);
    let Some(route) = find_route(&declaration, &head) else {
        return refuse(ErrorKind::ServiceUnknown, None);
    };
    let authorize = |view: &View| match check_access(&state, view, &route, &metadata.key) {
        Access::Granted(team) => Ok(team),
        Access::Unchecked => Err(ErrorKind::ApiKeyUnchecked),
        Access::Unknown => Err(ErrorKind::ApiKeyUnknown),
    };
    if let Err(kind) = authorize(&view) {
        return refuse(kind, Some(RETRY_AFTER_DEFAULT));
    }
    if stops_before_response(&state) {
        return refuse(ErrorKind::HostLeaving, Some(RETRY_AFTER_MIN));
    }
    let body = tokio::select! {
        body = read_body(&state, &declaration, body) => body,
        () = disconnect.closed() => return None,
    };
    let (body, reservation) = match body {
        Ok(read) => read,
        Err(kind @ ErrorKind::HostBusy) => return refuse(kind, Some(RETRY_AFTER_DEFAULT)),
        Err(kind) => return refuse(kind, None),
    };
    // The key may have been revoked while the body was being read.
    let view = state.view().unwrap_or(view);
    let team = match authorize(&view) {
        Ok(team) => team,
        Err(kind) => return refuse(kind, Some(RETRY_AFTER_DEFAULT)),
    };
    *team_name.borrow_mut() = team.as_ref().map(|team| team.name.clone());
    let admission = match team.as_ref().map(|team| state.admit(&view, team)).transpose() {
        Ok(admission) => admission,
        Err(retry_after) => return refuse(ErrorKind::QuotaExceeded, Some(retry_after)),
    };
    let Some(service) = state.pick_service(&route) else {
        return refuse(ErrorKind::NoTarget, None);
    };
    state.count_arrival(&service, &route, team.as_deref());
    let fingerprint = fingerprint(&head, &body);
    if is_crash_suspect(&state, &view, fingerprint) {
        return refuse(ErrorKind::Quarantined, None);
    }
    if let Some(path) = head.uri.path_and_query() {
        head.uri = http::Uri::from(path.clone());
    }
    let timeout = metadata.time_left.unwrap_or(route.timeout).min(route.timeout);
    let deadline = accepted_at + timeout.saturating_sub(RESPONSE_MARGIN);
    let taken = Event::Taken {
        body_bytes: body.len(),
        declaration: declaration.version,
        fingerprint,
        idempotent: route.idempotency == Idempotency::Idempotent,
        left_ms: timeout.as_millis() as u64,
        route: route.key.clone(),
        service: service.clone(),
        team: team_name.borrow().clone(),
    };
    state.record(&key, taken);
    let log = RequestLog::new(state.clone(), key, service.clone(), route.objective, accepted_at);
    let key = log.key().clone();
    let request = OutboundRequest {
        body,
        deadline,
        fingerprint,
        head,
        _body_reservation: reservation,
        key,
        metadata,
        service,
        team,
    };
    let call =
        Call { admission, log, state, request: Rc::new(request), route, tried_targets: Vec::new() };
    call.run(disconnect).await
}

/// Whether a pipelined request may be started before the ones ahead of it are answered.
pub fn may_start_early(state: &TrafficState, head: &Parts) -> bool {
    let declaration = state.view().and_then(|view| view.declaration.clone());
    let route = declaration.and_then(|declaration| find_route(&declaration, head));
    route.is_some_and(|route| route.idempotency == Idempotency::Idempotent)
}

fn check_access(state: &TrafficState, view: &View, route: &Route, key: &CallerKey) -> Access {
    let Some(declaration) = &view.declaration else { return Access::Unchecked };
    let age = view.declaration_checked_at.map(|at| state.clock.now().saturating_sub(at));
    Access::check(declaration, route, key, age, &state.bounds())
}

fn find_route(declaration: &Declaration, head: &Parts) -> Option<Arc<Route>> {
    declaration.route(host_of(head)?, head.uri.path()).cloned()
}

/// A request that was accepted, with its attempts.
struct Call {
    /// `None` for a request without a team.
    admission: Option<Admission>,
    log: RequestLog,
    state: Rc<TrafficState>,
    request: Rc<OutboundRequest>,
    route: Arc<Route>,
    tried_targets: Vec<u32>,
}

/// Results of the attempts so far.
#[derive(Default)]
struct CallProgress {
    /// A target may have run the request.
    maybe_ran: bool,
    /// A target's error response, passed on if no other attempt succeeds.
    target_error: Option<CallerResponse>,
    /// Time until a slot is expected to be free.
    free_in: Option<Duration>,
    /// `free_in` is when the first target takes requests again, by what the targets said.
    is_paused: bool,
    /// Number of attempts that reached a target, or may have.
    sent: u32,
    /// The target whose response is passed on.
    target: Option<TargetId>,
    unreachable_targets: u32,
    error: Option<ErrorKind>,
}

impl Call {
    async fn run(mut self, disconnect: Disconnect) -> Option<CallerResponse> {
        let mut attempts = Attempts::new();
        let mut progress = CallProgress::default();
        let mut may_hedge = self.route.idempotency == Idempotency::Idempotent;
        let mean_work = self.state.mean_work(&self.request.service);
        let hedge_after = mean_work.mul_f64(HEDGE_DELAY_FACTOR).max(HEDGE_DELAY_MIN);
        let mut hedge_at = self.state.clock.now() + hedge_after;
        loop {
            if attempts.is_empty() {
                let reason = if progress.is_first_attempt() {
                    AttemptReason::First
                } else {
                    AttemptReason::Retry
                };
                match self.launch_attempt(&mut progress, reason) {
                    Some(attempt) => attempts.push(attempt),
                    None => return Some(self.final_response(progress)),
                }
            }
            let now = self.state.clock.now();
            let wake_at =
                if may_hedge { hedge_at.min(self.request.deadline) } else { self.request.deadline };
            tokio::select! {
                biased;
                Some((target, outcome)) = attempts.next() => {
                    if let Some(response) = progress.record(&target, outcome) {
                        let outcome = RequestOutcome::from_target(target, progress.sent);
                        return Some(self.log.record_answered(response, outcome));
                    }
                    // Not idempotent: a request that may have run must not be sent again.
                    if progress.maybe_ran
                        && self.route.idempotency == Idempotency::NonIdempotent
                    {
                        return Some(self.final_response(progress));
                    }
                }
                () = disconnect.closed() => return None,
                () = tokio::time::sleep(wake_at.saturating_sub(now)) => {
                    if self.request.deadline <= self.state.clock.now() {
                        progress.maybe_ran = true;
                        progress.error = Some(ErrorKind::DispatchTimeout);
                        return Some(self.final_response(progress));
                    }
                    may_hedge = false;
                    hedge_at = self.request.deadline;
                    attempts.extend(self.launch_attempt(&mut progress, AttemptReason::Hedge));
                }
            }
        }
    }

    /// Starts one more attempt, if the route, the retry budget and the targets allow it.
    fn launch_attempt(
        &mut self,
        progress: &mut CallProgress,
        reason: AttemptReason,
    ) -> Option<Attempt> {
        if self.route.max_attempts.max(1) <= progress.sent {
            return self.deny_retry(progress, "attempts of the route");
        }
        if MAX_UNREACHABLE_TARGETS <= progress.unreachable_targets {
            return self.deny_retry(progress, "unreachable targets");
        }
        let view = self.state.view()?;
        if let Some(kind) = self.access_error(&view) {
            progress.error.get_or_insert(kind);
            return None;
        }
        let request = PlacementRequest {
            deadline: self.request.deadline,
            object: self.object(),
            route: self.route.clone(),
            service: self.request.service.clone(),
            team: self.request.team.clone(),
            tried_targets: self.tried_targets.clone(),
        };
        let placement = self.state.place(&view, &request);
        let Some(target) = placement.target.clone() else {
            let (error, free_in) = match placement.choice {
                Choice::Busy { free_in, .. } => (ErrorKind::NoSlots, free_in),
                Choice::Paused { available_in } => (ErrorKind::NoSlots, Some(available_in)),
                _ => (ErrorKind::NoTarget, None),
            };
            progress.free_in = free_in;
            progress.is_paused = matches!(placement.choice, Choice::Paused { .. });
            progress.error.get_or_insert(error);
            self.log.record_not_placed(&view, &placement, error, free_in);
            return None;
        };
        if 0 < progress.sent && !self.state.take_retry(&view, &self.request.service) {
            return self.deny_retry(progress, "retry budget");
        }
        progress.sent += 1;
        self.log.record_sent(
            &view,
            &placement,
            &target,
            self.request.deadline,
            progress.sent,
            reason,
        );
        self.tried_targets.push(target.tag);
        let in_flight =
            self.state.start_attempt(&target, self.request.fingerprint, placement.forecast);
        if let Some(admission) = &self.admission {
            admission.attempt_started(progress.maybe_ran);
        }
        let (state, request) = (self.state.clone(), self.request.clone());
        Some(Box::pin(async move {
            let id = target.entry.id.clone();
            (id, send_attempt(state, request, target, in_flight).await)
        }))
    }

    /// The error if the key has lost access since the request was accepted, for example because it
    /// was revoked.
    fn access_error(&self, view: &View) -> Option<ErrorKind> {
        self.request.team.as_ref()?;
        match check_access(&self.state, view, &self.route, &self.request.metadata.key) {
            Access::Granted(_) => None,
            Access::Unchecked => Some(ErrorKind::ApiKeyUnchecked),
            Access::Unknown => Some(ErrorKind::ApiKeyUnknown),
        }
    }

    /// Records that a limit does not allow a further attempt.
    fn deny_retry(&self, progress: &CallProgress, limit: &str) -> Option<Attempt> {
        self.log.record_retry_denied(limit, progress.sent);
        None
    }

    /// The object that the request is about, used to prefer targets that have it cached. The tag
    /// does not depend on the route, since all routes to a service share the caches of its targets.
    fn object(&self) -> Option<ObjectTag> {
        let object = self.request.metadata.object.as_ref().filter(|_| self.route.sticky)?;
        Some(xxh3_64(object.as_bytes()) as ObjectTag)
    }

    fn final_response(&self, mut progress: CallProgress) -> CallerResponse {
        if let Some(target_error) = progress.target_error.take() {
            let outcome = match progress.target.take() {
                Some(target) => RequestOutcome::from_target(target, progress.sent),
                None => RequestOutcome::from_host(ErrorKind::AnswerBroken, progress.sent, None),
            };
            return self.log.record_answered(target_error, outcome);
        }
        let error = progress.error.unwrap_or(ErrorKind::NoSlots);
        let error = match error.response().ran {
            Ran::No if progress.maybe_ran => ErrorKind::DispatchLost,
            _ => error,
        };
        if let (Some(admission), Ran::No) = (&self.admission, error.response().ran) {
            admission.mark_not_run();
        }
        let retry_after = progress.retry_after();
        let response = host_response(&self.state, &self.request.metadata, error, Some(retry_after));
        self.log.record_answered(
            response,
            RequestOutcome::from_host(error, progress.sent, Some(retry_after)),
        )
    }
}

impl CallProgress {
    /// When the caller is to come back. Callers are spread out; none is told a time before the
    /// first target takes requests again.
    fn retry_after(&self) -> Duration {
        let spread = rand::random::<f64>() / 2.0;
        let free_in = self.free_in.unwrap_or(RETRY_AFTER_DEFAULT);
        if self.is_paused {
            return free_in.mul_f64(1.0 + spread).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX_PAUSED);
        }
        free_in.mul_f64(0.75 + spread).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }

    /// Whether no target was tried yet.
    fn is_first_attempt(&self) -> bool {
        self.sent == 0 && self.unreachable_targets == 0
    }

    /// Records the end of an attempt. Returns its response if that goes to the caller.
    fn record(&mut self, target: &TargetId, outcome: AttemptOutcome) -> Option<CallerResponse> {
        match outcome {
            AttemptOutcome::Response(response) => return Some(response),
            AttemptOutcome::TargetError(response) => {
                self.maybe_ran = true;
                self.target_error = Some(response);
                self.target = Some(target.clone());
            }
            AttemptOutcome::NotRun(ErrorKind::ConnectFailed) => {
                self.sent -= 1;
                self.unreachable_targets += 1;
                self.error = Some(ErrorKind::ConnectFailed);
            }
            AttemptOutcome::NotRun(kind) => self.error = Some(kind),
            AttemptOutcome::Withheld => {
                self.sent -= 1;
                self.error = Some(ErrorKind::NoSlots);
            }
            AttemptOutcome::Lost(kind) => {
                self.maybe_ran = true;
                self.error = Some(kind);
            }
        }
        None
    }
}

/// The host name in the `host` header, or else in the request's URI.
fn host_of(head: &Parts) -> Option<&str> {
    let host = head.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    host.or_else(|| head.uri.host())
}

/// Reads the whole body, within the declared size limit and the memory limit of all bodies.
async fn read_body(
    state: &TrafficState,
    declaration: &Declaration,
    body: RequestBody,
) -> Result<(Bytes, BodyReservation), ErrorKind> {
    let mut reservation = state.body_memory.start_reservation();
    let RequestBody::Incoming(mut body) = body else { return Ok((Bytes::new(), reservation)) };
    let mut bytes_read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ErrorKind::BadRequest)?;
        // Trailers are hop-by-hop and are not forwarded.
        let Ok(bytes) = frame.into_data() else { continue };
        if declaration.max_body_bytes < bytes_read.len() + bytes.len() {
            return Err(ErrorKind::BodyTooLarge);
        }
        if !reservation.grow(bytes.len()) {
            return Err(ErrorKind::HostBusy);
        }
        bytes_read.extend_from_slice(&bytes);
    }
    Ok((bytes_read.freeze(), reservation))
}

fn fingerprint(head: &Parts, body: &[u8]) -> u64 {
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let seed = xxh3_64_with_seed(path.as_bytes(), xxh3_64(head.method.as_str().as_bytes()));
    xxh3_64_with_seed(body, seed)
}

fn is_crash_suspect(state: &TrafficState, view: &View, fingerprint: u64) -> bool {
    let elsewhere = view.crashes.get(&fingerprint).copied().unwrap_or_default();
    !state.crash_suspects.borrow().may_run(fingerprint, elsewhere)
}

/// Whether the process is likely to end before a new request is answered.
fn stops_before_response(state: &TrafficState) -> bool {
    let accept_period = state.bounds().grace.mul_f64(SHUTDOWN_ACCEPT_FRACTION);
    state
        .shutdown_started_at
        .get()
        .is_some_and(|stopping_since| stopping_since + accept_period <= state.clock.now())
}
