//! Handles one request of a caller: access checks, reading the body, and the response.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use bytes::{Bytes, BytesMut};
use http::{Request, header, request::Parts};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{
    Access, CallerKey, Declaration, Idempotency, Route, TrafficState, View,
    attempt::OutboundRequest,
    body_memory::{BodyReservation, MAX_BODY_BYTES},
    call::Call,
    call_progress::{RETRY_AFTER_DEFAULT, RETRY_AFTER_MIN},
    caller_io::Disconnect,
    refused_body,
    relay::RelayedRequest,
    request_framing::has_several_hosts,
    request_log::RequestLog,
    response::{CallerResponse, host_response},
    served_relay::{Sender, ServedRelay},
};
use crate::{event_log::Event, prelude::*};

/// Reserved out of the caller's timeout, so that the response arrives before it ends. Covers the
/// network latency to and from the caller (8 ms each way), a new connection and late timers.
const RESPONSE_MARGIN: Duration = Duration::from_millis(60);

/// Part of the shutdown's grace period in which new requests are still accepted: they can be
/// answered before the process ends.
const SHUTDOWN_ACCEPT_FRACTION: f64 = 0.4;

/// The body of a request: still arriving, or none for a request that was started early.
pub enum RequestBody {
    Incoming(Incoming),
    None,
}

/// Handles one request. `None` if its sender has left.
pub async fn handle_request(
    state: Rc<TrafficState>,
    disconnect: Disconnect,
    req: Request<RequestBody>,
    sender: Sender,
) -> Option<CallerResponse> {
    let (head, mut body) = req.into_parts();
    // A caller that waits for permission may send another request in place of the body.
    let waits_for_permission = head.headers.contains_key(header::EXPECT);
    let response = respond(state, disconnect, head, &mut body, sender).await?;
    if let RequestBody::Incoming(unread) = body
        && !waits_for_permission
    {
        refused_body::discard(unread);
    }
    Some(response)
}

async fn respond(
    state: Rc<TrafficState>,
    disconnect: Disconnect,
    mut head: Parts,
    body: &mut RequestBody,
    sender: Sender,
) -> Option<CallerResponse> {
    let accepted_at = state.clock.now();
    let relayed = (sender == Sender::Host).then(|| RelayedRequest::take_from(&mut head.headers));
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
    if has_several_hosts(&head.headers) {
        return refuse(ErrorKind::BadRequest, None);
    }
    let served_relay = relayed.is_some().then(|| ServedRelay::start(&state));
    if let Some(None) = served_relay {
        return refuse(ErrorKind::HostBusy, Some(RETRY_AFTER_DEFAULT));
    }
    let Some(view) = state.view() else { return refuse(ErrorKind::NoManifest, None) };
    let Some(declaration) = view.declaration.clone() else {
        return refuse(ErrorKind::NoManifest, None);
    };
    version.set(declaration.version);
    let Some(route) = find_route(&declaration, &head) else {
        return match view.is_declaration_behind {
            true => refuse(ErrorKind::NoManifest, Some(RETRY_AFTER_DEFAULT)),
            false => refuse(ErrorKind::ServiceUnknown, None),
        };
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
    // The host that serves the request counts it, towards the limit of its team and as demand.
    let is_counted_here = relayed.is_some() || !state.is_cut_off();
    let admitted = team.as_ref().filter(|_| is_counted_here);
    let admission = match admitted.map(|team| state.admit(&view, team)).transpose() {
        Ok(admission) => admission,
        Err(retry_after) => return refuse(ErrorKind::QuotaExceeded, Some(retry_after)),
    };
    let Some(service) = state.pick_service(&route) else {
        return refuse(ErrorKind::NoTarget, None);
    };
    if is_counted_here && !relayed.as_ref().is_some_and(|relayed| relayed.is_counted) {
        state.count_arrival(&service, &route, team.as_deref());
    }
    let fingerprint = fingerprint(&head, &body);
    if is_crash_suspect(&state, fingerprint) {
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
        relayed: relayed.is_some(),
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
    let call = Call {
        admission,
        asked_hosts: Vec::new(),
        is_counted: is_counted_here,
        log,
        request: Rc::new(request),
        route,
        state,
        tried_targets: relayed.iter().flat_map(|it| it.tried_targets.iter().copied()).collect(),
        relayed,
    };
    call.run(disconnect).await
}

/// Whether a pipelined request may be started before the ones ahead of it are answered.
pub fn may_start_early(state: &TrafficState, head: &Parts) -> bool {
    // While the host stops, a response ahead of the request closes the connection.
    if state.shutdown_started_at.get().is_some() {
        return false;
    }
    let declaration = state.view().and_then(|view| view.declaration.clone());
    let route = declaration.and_then(|declaration| find_route(&declaration, head));
    route.is_some_and(|route| route.idempotency == Idempotency::Idempotent)
}

pub(super) fn check_access(
    state: &TrafficState,
    view: &View,
    route: &Route,
    key: &CallerKey,
) -> Access {
    let Some(declaration) = &view.declaration else { return Access::Unchecked };
    let age = view.declaration_checked_at.map(|at| state.clock.now().saturating_sub(at));
    Access::check(declaration, route, key, age, &state.bounds())
}

fn find_route(declaration: &Declaration, head: &Parts) -> Option<Arc<Route>> {
    declaration.route(host_of(head)?, head.uri.path()).cloned()
}

/// The host name in the `host` header, or else in the request's URI.
fn host_of(head: &Parts) -> Option<&str> {
    let host = head.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    host.or_else(|| head.uri.host())
}

/// Reads the whole body, within the declared size limit and the memory limit of all bodies. One that
/// states its length and does not fit is refused before it is read. `request_body` is none once it
/// was read to its end.
async fn read_body(
    state: &TrafficState,
    declaration: &Declaration,
    request_body: &mut RequestBody,
) -> Result<(Bytes, BodyReservation), ErrorKind> {
    let mut reservation = state.body_memory.start_reservation();
    let RequestBody::Incoming(body) = request_body else { return Ok((Bytes::new(), reservation)) };
    let max_bytes = declaration.max_body_bytes.min(MAX_BODY_BYTES);
    // The least that will arrive, if the request states a length.
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if max_bytes < announced {
        return Err(ErrorKind::BodyTooLarge);
    }
    if !state.body_memory.has_room(announced) {
        return Err(ErrorKind::HostBusy);
    }
    let mut bytes_read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ErrorKind::BadRequest)?;
        // Trailers are hop-by-hop and are not forwarded.
        let Ok(bytes) = frame.into_data() else { continue };
        if max_bytes < bytes_read.len() + bytes.len() {
            return Err(ErrorKind::BodyTooLarge);
        }
        if !reservation.grow(bytes.len()) {
            return Err(ErrorKind::HostBusy);
        }
        bytes_read.extend_from_slice(&bytes);
    }
    *request_body = RequestBody::None;
    Ok((bytes_read.freeze(), reservation))
}

fn fingerprint(head: &Parts, body: &[u8]) -> u64 {
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let seed = xxh3_64_with_seed(path.as_bytes(), xxh3_64(head.method.as_str().as_bytes()));
    xxh3_64_with_seed(body, seed)
}

fn is_crash_suspect(state: &TrafficState, fingerprint: u64) -> bool {
    !state.crash_suspects.borrow().may_run(fingerprint)
}

/// Whether the process is likely to end before a new request is answered.
fn stops_before_response(state: &TrafficState) -> bool {
    let accept_period = state.bounds().grace.mul_f64(SHUTDOWN_ACCEPT_FRACTION);
    state
        .shutdown_started_at
        .get()
        .is_some_and(|stopping_since| stopping_since + accept_period <= state.clock.now())
}
