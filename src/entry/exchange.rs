//! One request of a caller, from its head to the answer.

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
    answer::{Answer, own},
    attempt::{AttemptOutcome, OutboundRequest, send_attempt},
    bodies::HeldBody,
    caller_io::Disconnect,
    place::PlacementRequest,
    request_log::{Outcome, RequestLog},
    traffic_state::Admission,
};
use crate::{
    base::Ran,
    event_log::{AttemptReason, Event},
    placement::{Choice, ObjectTag},
    prelude::*,
};

/// Time kept for the ways there and back, 8 ms each, for a new connection and for timers that fire
/// late: the caller has its answer when its time is over.
const ANSWER_MARGIN: Duration = Duration::from_millis(60);

/// A second target is asked when the first takes this many times the usual time.
const HEDGE_AFTER: f64 = 4.0;

/// Shortest time before a second target is asked.
const HEDGE_LEAST: Duration = Duration::from_millis(350);

/// Least and longest time that a refused caller is asked to stay away. The longest is what callers
/// of the shortest deadlines still honour.
const COME_BACK_LEAST: Duration = Duration::from_millis(80);
const COME_BACK_MOST: Duration = Duration::from_millis(700);

/// Time after the signal to stop in which new requests are still served, as a part of the time to
/// the process' end: what is sent then can still be answered.
const LEAVING_SERVES: f64 = 0.4;

/// Time that a refused caller stays away where nothing tells when there is room.
const COME_BACK_USUAL: Duration = Duration::from_millis(250);

/// Targets that may turn out to be unreachable before a request is refused.
const UNREACHED_MOST: u32 = 3;

type Attempt = Pin<Box<dyn Future<Output = (TargetId, AttemptOutcome)>>>;
type Attempts = FuturesUnordered<Attempt>;

/// A request that may be on its way in.
pub enum Body {
    Incoming(Incoming),
    None,
}

/// Serves one request. `None` when the caller has left.
pub async fn serve(
    state: Rc<TrafficState>,
    disconnect: Disconnect,
    req: Request<Body>,
) -> Option<Answer> {
    let since = state.clock.now();
    let (mut head, body) = req.into_parts();
    let note = state.protocol.caller_metadata(&head.headers);
    let key = state.key(note.attempt_id.as_ref());
    let version = Cell::new(0);
    let team_name: RefCell<Option<TeamId>> = RefCell::default();
    let refuse = |kind: ErrorKind, come_back: Option<Duration>| {
        let answer = own(&state, &note, kind, come_back);
        let event = Event::Refused {
            declaration: version.get(),
            error: kind,
            retry_after_ms: come_back.map(|span| span.as_millis() as u64),
            status: answer.status().as_u16(),
            team: team_name.borrow().clone(),
            took_ms: state.clock.now().saturating_sub(since).as_millis() as u64,
        };
        state.record(&key, event);
        Some(answer)
    };
    let Some(view) = state.view() else { return refuse(ErrorKind::NoManifest, None) };
    let Some(declared) = view.declared.clone() else { return refuse(ErrorKind::NoManifest, None) };
    version.set(declared.version);
    let Some(route) = route(&declared, &head) else {
        return refuse(ErrorKind::ServiceUnknown, None);
    };
    let authorize = |view: &View| match access(&state, view, &route, &note.key) {
        Access::Granted(team) => Ok(team),
        Access::Unchecked => Err(ErrorKind::ApiKeyUnchecked),
        Access::Unknown => Err(ErrorKind::ApiKeyUnknown),
    };
    if let Err(kind) = authorize(&view) {
        return refuse(kind, Some(COME_BACK_USUAL));
    }
    if leaves_too_soon(&state) {
        return refuse(ErrorKind::HostLeaving, Some(COME_BACK_LEAST));
    }
    let body = tokio::select! {
        body = read(&state, &declared, body) => body,
        () = disconnect.closed() => return None,
    };
    let (body, held) = match body {
        Ok(read) => read,
        Err(kind @ ErrorKind::HostBusy) => return refuse(kind, Some(COME_BACK_USUAL)),
        Err(kind) => return refuse(kind, None),
    };
    // The key may have been revoked while the body was being read.
    let view = state.view().unwrap_or(view);
    let team = match authorize(&view) {
        Ok(team) => team,
        Err(kind) => return refuse(kind, Some(COME_BACK_USUAL)),
    };
    *team_name.borrow_mut() = team.as_ref().map(|team| team.name.clone());
    let admission = match team.as_ref().map(|team| state.admit(&view, team)).transpose() {
        Ok(admission) => admission,
        Err(retry_after) => return refuse(ErrorKind::QuotaExceeded, Some(retry_after)),
    };
    let Some(service) = state.service(&route) else { return refuse(ErrorKind::NoTarget, None) };
    state.arrived(&service);
    let fingerprint = fingerprint(&head, &body);
    if is_crash_suspect(&state, &view, fingerprint) {
        return refuse(ErrorKind::Quarantined, None);
    }
    if let Some(path) = head.uri.path_and_query() {
        head.uri = http::Uri::from(path.clone());
    }
    let wait = note.time_left.unwrap_or(route.timeout).min(route.timeout);
    let deadline = since + wait.saturating_sub(ANSWER_MARGIN);
    let taken = Event::Taken {
        body_bytes: body.len(),
        declaration: declared.version,
        fingerprint,
        idempotent: route.idempotency == Idempotency::Idempotent,
        left_ms: wait.as_millis() as u64,
        route: route.key.clone(),
        service: service.clone(),
        team: team_name.borrow().clone(),
    };
    state.record(&key, taken);
    let log = RequestLog::new(state.clone(), key, service.clone(), route.objective, since);
    let key = log.key().clone();
    let request = OutboundRequest {
        body,
        deadline,
        fingerprint,
        head,
        _held: held,
        key,
        note,
        service,
        team,
    };
    let call = Call { admission, log, state, request: Rc::new(request), route, tried: Vec::new() };
    call.run(disconnect).await
}

/// Whether a request may be started before its turn.
pub fn may_start_ahead(state: &TrafficState, head: &Parts) -> bool {
    let declared = state.view().and_then(|view| view.declared.clone());
    let route = declared.and_then(|declared| route(&declared, head));
    route.is_some_and(|route| route.idempotency == Idempotency::Idempotent)
}

fn access(state: &TrafficState, view: &View, route: &Route, key: &CallerKey) -> Access {
    let Some(declared) = &view.declared else { return Access::Unchecked };
    let age = view.declared_checked_at.map(|at| state.clock.now().saturating_sub(at));
    Access::check(declared, route, key, age, &state.bounds())
}

fn route(declared: &Declaration, head: &Parts) -> Option<Arc<Route>> {
    declared.route(host_of(head)?, head.uri.path()).cloned()
}

struct Call {
    /// `None` for a request without a team.
    admission: Option<Admission>,
    log: RequestLog,
    state: Rc<TrafficState>,
    request: Rc<OutboundRequest>,
    route: Arc<Route>,
    tried: Vec<u32>,
}

/// What has come of the attempts so far.
#[derive(Default)]
struct CallProgress {
    /// An attempt may have run.
    maybe_ran: bool,
    /// A target's own failure, to be passed on if nothing better comes.
    poor: Option<Answer>,
    room_in: Option<Duration>,
    /// Attempts that reached a target, or may have.
    sent: u32,
    /// The target whose answer is passed on.
    target: Option<TargetId>,
    unreached: u32,
    why: Option<ErrorKind>,
}

impl Call {
    async fn run(mut self, disconnect: Disconnect) -> Option<Answer> {
        let mut attempts = Attempts::new();
        let mut progress = CallProgress::default();
        let mut may_hedge = self.route.idempotency == Idempotency::Idempotent;
        let usual = self.state.work(&self.request.service);
        let hedge_after = usual.mul_f64(HEDGE_AFTER).max(HEDGE_LEAST);
        let mut hedge_at = self.state.clock.now() + hedge_after;
        loop {
            if attempts.is_empty() {
                let reason =
                    if progress.is_new() { AttemptReason::First } else { AttemptReason::Retry };
                match self.launch(&mut progress, reason) {
                    Some(attempt) => attempts.push(attempt),
                    None => return Some(self.give_up(progress)),
                }
            }
            let now = self.state.clock.now();
            let wake =
                if may_hedge { hedge_at.min(self.request.deadline) } else { self.request.deadline };
            tokio::select! {
                biased;
                Some((target, outcome)) = attempts.next() => {
                    if let Some(answer) = progress.record(&target, outcome) {
                        let outcome = Outcome::of_target(target, progress.sent);
                        return Some(self.log.answered(answer, outcome));
                    }
                    // What may have run once may not be sent again.
                    if progress.maybe_ran && self.route.idempotency == Idempotency::NonIdempotent {
                        return Some(self.give_up(progress));
                    }
                }
                () = disconnect.closed() => return None,
                () = tokio::time::sleep(wake.saturating_sub(now)) => {
                    if self.request.deadline <= self.state.clock.now() {
                        progress.maybe_ran = true;
                        progress.why = Some(ErrorKind::DispatchTimeout);
                        return Some(self.give_up(progress));
                    }
                    may_hedge = false;
                    hedge_at = self.request.deadline;
                    attempts.extend(self.launch(&mut progress, AttemptReason::Hedge));
                }
            }
        }
    }

    /// Starts one more attempt, if the route, the retry budget and the targets allow it.
    fn launch(&mut self, progress: &mut CallProgress, reason: AttemptReason) -> Option<Attempt> {
        if self.route.max_attempts.max(1) <= progress.sent {
            return self.denied(progress, "attempts of the route");
        }
        if UNREACHED_MOST <= progress.unreached {
            return self.denied(progress, "unreachable targets");
        }
        let view = self.state.view()?;
        if let Some(kind) = self.access_error(&view) {
            progress.why.get_or_insert(kind);
            return None;
        }
        let wanted = PlacementRequest {
            deadline: self.request.deadline,
            object: self.object(),
            route: self.route.clone(),
            service: self.request.service.clone(),
            team: self.request.team.clone(),
            tried: self.tried.clone(),
        };
        let placement = self.state.place(&view, &wanted);
        let Some(target) = placement.target.clone() else {
            let (why, room_in) = match placement.choice {
                Choice::Busy { room_in, .. } => (ErrorKind::NoSlots, room_in),
                _ => (ErrorKind::NoTarget, None),
            };
            progress.room_in = room_in;
            progress.why.get_or_insert(why);
            self.log.not_placed(&view, &placement, why, room_in);
            return None;
        };
        if 0 < progress.sent && !self.state.take_retry(&view, &self.request.service) {
            return self.denied(progress, "retry budget");
        }
        progress.sent += 1;
        self.log.sent(&view, &placement, &target, self.request.deadline, progress.sent, reason);
        self.tried.push(target.tag);
        let running = self.state.start(&target, self.request.fingerprint, placement.forecast);
        if let Some(admission) = &self.admission {
            admission.attempt_started(progress.maybe_ran);
        }
        let (state, request) = (self.state.clone(), self.request.clone());
        Some(Box::pin(async move {
            let id = target.entry.id.clone();
            (id, send_attempt(state, request, target, running).await)
        }))
    }

    /// The error if the key has lost access since the request was accepted, for example because it
    /// was revoked.
    fn access_error(&self, view: &View) -> Option<ErrorKind> {
        self.request.team.as_ref()?;
        match access(&self.state, view, &self.route, &self.request.note.key) {
            Access::Granted(_) => None,
            Access::Unchecked => Some(ErrorKind::ApiKeyUnchecked),
            Access::Unknown => Some(ErrorKind::ApiKeyUnknown),
        }
    }

    /// A further attempt is not allowed by a limit.
    fn denied(&self, progress: &CallProgress, limit: &str) -> Option<Attempt> {
        self.log.retry_denied(limit, progress.sent);
        None
    }

    /// Its object: what targets know of one serves all routes to their service.
    fn object(&self) -> Option<ObjectTag> {
        let object = self.request.note.object.as_ref().filter(|_| self.route.sticky)?;
        Some(xxh3_64(object.as_bytes()) as ObjectTag)
    }

    fn give_up(&self, mut progress: CallProgress) -> Answer {
        if let Some(poor) = progress.poor.take() {
            let outcome = match progress.target.take() {
                Some(target) => Outcome::of_target(target, progress.sent),
                None => Outcome::own(ErrorKind::AnswerBroken, progress.sent, None),
            };
            return self.log.answered(poor, outcome);
        }
        let why = progress.why.unwrap_or(ErrorKind::NoSlots);
        let why = match why.row().ran {
            Ran::No if progress.maybe_ran => ErrorKind::DispatchLost,
            _ => why,
        };
        if let (Some(admission), Ran::No) = (&self.admission, why.row().ran) {
            admission.mark_not_run();
        }
        let spread = 0.75 + rand::random::<f64>() / 2.0;
        let come_back = progress.room_in.unwrap_or(COME_BACK_USUAL).mul_f64(spread);
        let come_back = come_back.clamp(COME_BACK_LEAST, COME_BACK_MOST);
        let answer = own(&self.state, &self.request.note, why, Some(come_back));
        self.log.answered(answer, Outcome::own(why, progress.sent, Some(come_back)))
    }
}

impl CallProgress {
    /// Nothing was tried yet.
    fn is_new(&self) -> bool {
        self.sent == 0 && self.unreached == 0
    }

    /// Takes an attempt's end in; the answer, if it is one for the caller.
    fn record(&mut self, target: &TargetId, outcome: AttemptOutcome) -> Option<Answer> {
        match outcome {
            AttemptOutcome::Answer(answer) => return Some(answer),
            AttemptOutcome::Poor(answer) => {
                self.maybe_ran = true;
                self.poor = Some(answer);
                self.target = Some(target.clone());
            }
            AttemptOutcome::NotRun(ErrorKind::ConnectFailed) => {
                self.sent -= 1;
                self.unreached += 1;
                self.why = Some(ErrorKind::ConnectFailed);
            }
            AttemptOutcome::NotRun(kind) => self.why = Some(kind),
            AttemptOutcome::Lost(kind) => {
                self.maybe_ran = true;
                self.why = Some(kind);
            }
        }
        None
    }
}

/// The host that a request names.
fn host_of(head: &Parts) -> Option<&str> {
    let named = head.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    named.or_else(|| head.uri.host())
}

/// The whole body, within the declared bound and that of all bodies together.
async fn read(
    state: &TrafficState,
    declared: &Declaration,
    body: Body,
) -> Result<(Bytes, HeldBody), ErrorKind> {
    let mut held = state.bodies.hold();
    let Body::Incoming(mut body) = body else { return Ok((Bytes::new(), held)) };
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ErrorKind::BadRequest)?;
        // Trailers concern one connection only.
        let Ok(bytes) = frame.into_data() else { continue };
        if declared.max_body_bytes < whole.len() + bytes.len() {
            return Err(ErrorKind::BodyTooLarge);
        }
        if !held.grow(bytes.len()) {
            return Err(ErrorKind::HostBusy);
        }
        whole.extend_from_slice(&bytes);
    }
    Ok((whole.freeze(), held))
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

/// Whether the process ends before an answer could be expected.
fn leaves_too_soon(state: &TrafficState) -> bool {
    let serves = state.bounds().grace.mul_f64(LEAVING_SERVES);
    state.leaving.get().is_some_and(|since| since + serves <= state.clock.now())
}
