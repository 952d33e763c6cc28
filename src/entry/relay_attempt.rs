//! One attempt to have another host serve the request.

use std::{collections::HashMap, rc::Rc};

use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;

use super::{
    LiveHost, TrafficState,
    attempt::{AttemptOutcome, OutboundRequest, PROMISES},
    joined_heads::is_joined,
    relay::{RelayedRequest, RelayedResponse},
    relay_host::{RelayQuery, choose_relay_host},
    response::{
        CallerResponse, ResponseBody, is_unconditional_304, prepare_response_head,
        remove_hop_by_hop_headers,
    },
    response_body::{ReadBody, buffer_body, read_within_bounds},
    streaming_body::{StreamEnd, StreamingBody},
    upstream::{RequestUse, SendError, TargetConnection, connect, keep_alive_timeout},
};
use crate::{
    base::{Ran, with_root_cause},
    event_log::{Event, RelayEnd},
    placement::TargetTag,
    prelude::*,
};

/// Time for which a host that did not answer gets no further requests.
const UNANSWERED_PAUSE: Duration = Duration::from_secs(1);

/// How an attempt at another host ended.
pub struct RelayResult {
    pub outcome: AttemptOutcome,
    /// When the caller is to come back, by what the host said.
    pub retry_after: Option<Duration>,
    /// The request may be sent to a further host: this one did not try to serve it.
    pub may_ask_another: bool,
    /// The target that responded, or was tried last.
    pub target: Option<(TargetId, TargetTag)>,
}

/// A host that serves a request for this one.
#[derive(Clone, Debug)]
pub struct RelayHost {
    addr: SocketAddr,
    pub host: HostId,
}

impl TrafficState {
    /// Chooses a host to serve a request; `None` if there is none, so that it is refused.
    pub(super) fn choose_relay(
        &self,
        hosts: &[LiveHost],
        tried: &[HostId],
        has_homes: bool,
        may_enter: &dyn Fn(&RegionId) -> bool,
    ) -> Option<RelayHost> {
        let now = self.clock.now();
        let relays = self.relays.borrow();
        let is_unanswered = |host: &HostId| {
            let at = relays.unanswered_at.get(host);
            at.is_some_and(|at| now.saturating_sub(*at) < UNANSWERED_PAUSE)
        };
        let query = RelayQuery {
            hosts,
            own_host: &self.settings.host,
            own_region: &self.settings.region,
            has_homes,
            excluded: &|host| tried.contains(host) || is_unanswered(host),
            may_enter,
            in_flight: &|host| relays.in_flight.get(host).copied().unwrap_or_default(),
        };
        let chosen = choose_relay_host(&query, &mut rand::rng())?;
        Some(RelayHost { addr: chosen.relay?, host: chosen.host.clone() })
    }
}

/// Requests that this host has other hosts serve.
#[derive(Debug, Default)]
pub struct Relays {
    in_flight: HashMap<HostId, u32>,
    /// Hosts that did not answer, and when.
    unanswered_at: HashMap<HostId, Moment>,
}

impl Relays {
    /// Removes what no longer matters.
    pub fn remove_expired(&mut self, now: Moment) {
        self.unanswered_at.retain(|_, at| now.saturating_sub(*at) < UNANSWERED_PAUSE);
    }
}

/// Counts a request as in flight at another host until dropped.
struct RelayInFlight {
    host: HostId,
    state: Rc<TrafficState>,
}

impl RelayInFlight {
    fn new(state: &Rc<TrafficState>, host: &HostId) -> Self {
        *state.relays.borrow_mut().in_flight.entry(host.clone()).or_default() += 1;
        Self { host: host.clone(), state: state.clone() }
    }
}

impl Drop for RelayInFlight {
    fn drop(&mut self) {
        let mut relays = self.state.relays.borrow_mut();
        let count = relays.in_flight.get(&self.host).copied().unwrap_or_default();
        match count {
            0 | 1 => _ = relays.in_flight.remove(&self.host),
            more => _ = relays.in_flight.insert(self.host.clone(), more - 1),
        }
    }
}

/// Sends the request to another host and receives the response.
pub async fn send_relay(
    state: Rc<TrafficState>,
    request: Rc<OutboundRequest>,
    host: RelayHost,
    relayed: RelayedRequest,
) -> RelayResult {
    let in_flight = RelayInFlight::new(&state, &host.host);
    let mut guard = RelayGuard {
        connection: None,
        host: host.clone(),
        is_recorded: false,
        request: request.clone(),
        response_to: None,
        started: state.clock.now(),
        state: state.clone(),
    };
    let id = request.metadata.attempt_id.as_ref();
    let idle = state.relay_pool.borrow_mut().take(host.addr, id, state.clock.now());
    let connection = match idle {
        Some(connection) => Ok(connection),
        None => connect(&*state.connector, host.addr).await,
    };
    let mut connection = match connection {
        Ok(connection) => connection,
        Err(error) => return guard.not_sent(&error),
    };
    guard.connection = Some(connection.next_use());
    let mut sent = connection.send(id, build_request(&state, &request, relayed.clone())).await;
    if let Err(SendError::NotSent(_)) = &sent
        && connection.reused
    {
        // The host had closed the idle connection, and no byte was written.
        connection = match connect(&*state.connector, host.addr).await {
            Ok(connection) => connection,
            Err(error) => return guard.not_sent(&error),
        };
        guard.connection = Some(connection.next_use());
        sent = connection.send(id, build_request(&state, &request, relayed)).await;
    }
    let mut response = match sent {
        Ok(response) => response,
        Err(SendError::Lost(reason)) => return guard.lost(&reason),
        Err(SendError::Broken(broken)) => return guard.lost(&broken.to_string()),
        Err(error) => return guard.not_sent(&error),
    };
    let metadata = state.protocol.reply_metadata(response.status(), response.headers());
    if metadata.attempt_id != request.metadata.attempt_id {
        guard.response_to = Some(metadata.attempt_id.unwrap_or_else(|| "".into()));
        return guard.lost("the response belongs to another request");
    }
    if is_joined(&response) {
        return guard.lost("the response is joined from two");
    }
    if is_unconditional_304(&request.head.headers, response.status()) {
        return guard.lost("the response has status 304, which the request did not ask for");
    }
    let Some(statement) = RelayedResponse::take_from(response.headers_mut()) else {
        return guard.lost("the response does not state where it comes from");
    };
    if let Some(error) = statement.error {
        return guard.refused(error, statement.target, response, connection);
    }
    if response.status().is_success() && !metadata.signed {
        return guard.lost("the response lacks a target's signature");
    }
    if PROMISES.contains(&response.status()) {
        return guard.lost("the host did not say that the request was refused");
    }
    guard.receive_response(statement.target, response, connection, in_flight).await
}

fn build_request(
    state: &TrafficState,
    request: &OutboundRequest,
    relayed: RelayedRequest,
) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(request.body.clone()));
    *req.method_mut() = request.head.method.clone();
    *req.uri_mut() = request.head.uri.clone();
    let headers = req.headers_mut();
    *headers = request.head.headers.clone();
    remove_hop_by_hop_headers(headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let time_left = request.deadline.saturating_sub(state.clock.now());
    state.protocol.set_time_left(headers, time_left);
    relayed.add_to(headers);
    req
}

/// Records how the attempt ended; one that is dropped before its end is recorded as cancelled.
struct RelayGuard {
    /// The connection that the request was last handed to.
    connection: Option<RequestUse>,
    host: RelayHost,
    is_recorded: bool,
    request: Rc<OutboundRequest>,
    /// Attempt id in the response if it is not the request's.
    response_to: Option<Arc<str>>,
    started: Moment,
    state: Rc<TrafficState>,
}

impl Drop for RelayGuard {
    fn drop(&mut self) {
        if !self.is_recorded {
            self.record_end(RelayEnd::Cancelled, "cancelled: its response is no longer needed");
        }
    }
}

impl RelayGuard {
    fn record_end(&mut self, end: RelayEnd, detail: &str) {
        self.is_recorded = true;
        let took = self.state.clock.now().saturating_sub(self.started);
        let event = Event::RelayEnded {
            connection: self.connection.as_ref().map(RequestUse::describe),
            end,
            detail: detail.into(),
            response_to: self.response_to.clone(),
            service: self.request.service.clone(),
            to: self.host.host.clone(),
            took_ms: took.as_millis() as u64,
        };
        self.state.record(&self.request.key, event);
    }

    fn pause_host(&self) {
        let (host, now) = (self.host.host.clone(), self.state.clock.now());
        self.state.relays.borrow_mut().unanswered_at.insert(host, now);
    }

    fn not_sent(&mut self, error: &SendError) -> RelayResult {
        self.record_end(RelayEnd::Unreachable, &error.to_string());
        self.pause_host();
        RelayResult {
            outcome: AttemptOutcome::NotRun(ErrorKind::ConnectFailed),
            retry_after: None,
            may_ask_another: true,
            target: None,
        }
    }

    fn lost(&mut self, reason: &str) -> RelayResult {
        self.record_end(RelayEnd::Lost, reason);
        self.pause_host();
        RelayResult {
            outcome: AttemptOutcome::Lost(ErrorKind::DispatchLost),
            retry_after: None,
            may_ask_another: true,
            target: None,
        }
    }

    /// The host answered by itself. Its statement on whether the request ran holds here too.
    fn refused(
        &mut self,
        error: ErrorKind,
        target: Option<(TargetId, TargetTag)>,
        response: Response<Incoming>,
        connection: TargetConnection,
    ) -> RelayResult {
        self.record_end(RelayEnd::Refused, error.into());
        let retry_after = response.headers().get(header::RETRY_AFTER);
        let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
        let retry_after = retry_after.and_then(|secs| Duration::try_from_secs_f64(secs).ok());
        let keep_alive = keep_alive_timeout(response.headers());
        let (state, addr, body) = (self.state.clone(), self.host.addr, response.into_body());
        tokio::task::spawn_local(async move {
            if let Ok(ReadBody::Whole(_)) = read_within_bounds(body).await {
                let now = state.clock.now();
                state.relay_pool.borrow_mut().put(addr, connection, keep_alive, now);
            }
        });
        let outcome = match error.response().ran {
            Ran::No => AttemptOutcome::NotRun(own_error(error)),
            _ => AttemptOutcome::Lost(error),
        };
        RelayResult { outcome, retry_after, may_ask_another: is_of_host(error), target }
    }

    async fn receive_response(
        &mut self,
        target: Option<(TargetId, TargetTag)>,
        response: Response<Incoming>,
        connection: TargetConnection,
        in_flight: RelayInFlight,
    ) -> RelayResult {
        let (mut head, body) = response.into_parts();
        let keep_alive = keep_alive_timeout(&head.headers);
        prepare_response_head(&mut head);
        let is_failed = head.status.is_server_error();
        let body = match buffer_body(head.status, body).await {
            Ok(ReadBody::Whole(bytes)) => {
                let now = self.state.clock.now();
                let mut pool = self.state.relay_pool.borrow_mut();
                pool.put(self.host.addr, connection, keep_alive, now);
                ResponseBody::Whole(Full::new(bytes))
            }
            Ok(ReadBody::Unfinished { start, rest }) => {
                let completion = RelayStream {
                    connection,
                    host: self.host.clone(),
                    keep_alive,
                    request: self.request.clone(),
                    state: self.state.clone(),
                    _in_flight: in_flight,
                };
                let time_left = self.request.deadline.saturating_sub(self.state.clock.now());
                let completion = Box::new(completion);
                ResponseBody::Stream(StreamingBody::new((start, rest), time_left, completion))
            }
            Err(error) => {
                let reason = with_root_cause(&error);
                return self.lost(&format!("the response was cut off: {reason}"));
            }
        };
        self.record_end(RelayEnd::Answered, head.status.as_str());
        let response: CallerResponse = Response::from_parts(head, body);
        let outcome = match is_failed {
            true => AttemptOutcome::TargetError(response),
            false => AttemptOutcome::Response(response),
        };
        RelayResult { outcome, retry_after: None, may_ask_another: false, target }
    }
}

/// Whether a host refused for a reason of its own, such as an older declaration, so that another one
/// may serve the request.
fn is_of_host(error: ErrorKind) -> bool {
    use ErrorKind::*;
    matches!(
        error,
        ApiKeyUnchecked
            | ApiKeyUnknown
            | BadRequest
            | BodyTooLarge
            | ConnectFailed
            | HostBusy
            | HostLeaving
            | NoManifest
            | ServiceUnknown
    )
}

/// The error that a refusal by another host stands for here. This host has found the route and
/// checked the key itself, so it does not tell its caller that they are wrong.
fn own_error(error: ErrorKind) -> ErrorKind {
    use ErrorKind::*;
    match error {
        ApiKeyUnknown => ApiKeyUnchecked,
        BadRequest | BodyTooLarge | HostLeaving | NoManifest | ServiceUnknown => NoTarget,
        other => other,
    }
}

/// What is needed once a streamed body ends.
struct RelayStream {
    connection: TargetConnection,
    host: RelayHost,
    keep_alive: Option<Duration>,
    request: Rc<OutboundRequest>,
    state: Rc<TrafficState>,
    _in_flight: RelayInFlight,
}

impl StreamEnd for RelayStream {
    fn complete(self: Box<Self>) {
        let now = self.state.clock.now();
        let mut pool = self.state.relay_pool.borrow_mut();
        pool.put(self.host.addr, self.connection, self.keep_alive, now);
    }

    fn broken(self: Box<Self>, reason: &str) {
        let event = Event::RelayEnded {
            connection: None,
            end: RelayEnd::Lost,
            detail: reason.into(),
            response_to: None,
            service: self.request.service.clone(),
            to: self.host.host.clone(),
            took_ms: 0,
        };
        self.state.record(&self.request.key, event);
    }
}
