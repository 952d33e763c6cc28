//! One attempt to have a target run a request.

use std::rc::Rc;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header, request::Parts};
use http_body_util::Full;
use hyper::body::Incoming;

use super::{
    CallerMetadata, KnownTarget, ReplyMetadata, Team, TrafficState,
    body_memory::BodyReservation,
    guards::InFlight,
    joined_heads::is_joined,
    reservations::Reservation,
    response::{
        CallerResponse, ResponseBody, is_unconditional_304, prepare_response_head,
        remove_hop_by_hop_headers,
    },
    response_body::{ReadBody, buffer_body},
    streaming_body::{StreamCompletion, StreamingBody},
    target_statements::TargetAnswer,
    upstream::{RequestUse, SendError, TargetConnection, connect, keep_alive_timeout},
};
use crate::{
    base::with_root_cause,
    event_log::{AttemptEnd, Event, RequestKey},
    placement::{Forecast, HealthSignal},
    prelude::*,
    reservation::ReservationId,
};

/// Longest part of a target's Retry-After that is logged.
const MAX_RETRY_AFTER_CHARS: usize = 32;

/// Statuses by which callers know that a request has not run and never will. A target refuses
/// requests only by saying so in its own way.
pub(super) const PROMISES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// How an attempt ended.
pub enum AttemptOutcome {
    /// The target's response, buffered or streaming.
    Response(CallerResponse),
    /// The target's error response, buffered; another target may succeed.
    TargetError(CallerResponse),
    /// The target has not run the request and never will.
    NotRun(ErrorKind),
    /// The target may have run the request.
    Lost(ErrorKind),
    /// The request was not sent, since the target does not take it any more.
    Withheld,
}

/// A request in the form that all its attempts share.
pub struct OutboundRequest {
    pub body: Bytes,
    /// Memory reserved for the body, released when the last attempt has ended.
    pub _body_reservation: BodyReservation,
    pub deadline: Moment,
    pub fingerprint: u64,
    pub head: Parts,
    /// The key that identifies the request in the log.
    pub key: RequestKey,
    pub metadata: CallerMetadata,
    pub service: ServiceId,
    pub team: Option<Arc<Team>>,
}

/// Sends the request to a target and receives the response.
pub async fn send_attempt(
    state: Rc<TrafficState>,
    request: Rc<OutboundRequest>,
    target: Arc<KnownTarget>,
    in_flight: InFlight,
) -> AttemptOutcome {
    let mut guard = AttemptGuard {
        state: state.clone(),
        request: request.clone(),
        target: target.clone(),
        forecast: in_flight.forecast,
        reservation: in_flight.reservation.as_ref().map(Reservation::id),
        started: in_flight.started,
        sent_at: in_flight.started,
        connect_time: None,
        connection: None,
        dispatched_after: None,
        is_recorded: false,
        first_byte: None,
        response_to: None,
    };
    let id = request.metadata.attempt_id.as_ref();
    let mut connection = match acquire_connection(&state, &target, id).await {
        Ok(connection) => connection,
        Err(error) => return guard.not_sent(&error),
    };
    guard.connect_time = (!connection.reused).then(|| guard.elapsed());
    if let Some(took) = guard.connect_time {
        state.record_connect(&target, took);
    }
    let waiting = state.start_waiting(&target);
    if !state.may_still_send(&target, &in_flight) {
        return guard.withheld(connection);
    }
    guard.dispatch(&connection);
    let mut sent = connection.send(id, build_request(&state, &request, &target)).await;
    if let Err(SendError::NotSent(reason)) = &sent
        && connection.reused
    {
        // The target had closed the idle connection. No byte was written, so the request can be
        // sent over a new connection.
        log::debug!(
            "{}: the target closed the idle connection: {reason}; connecting again",
            target.entry.id
        );
        connection = match connect(&*state.connector, target.entry.addr).await {
            Ok(connection) => connection,
            Err(error) => return guard.not_sent(&error),
        };
        state.target_reach.borrow_mut().record_connected(state.clock.now());
        if !state.may_still_send(&target, &in_flight) {
            return guard.withheld(connection);
        }
        guard.dispatch(&connection);
        sent = connection.send(id, build_request(&state, &request, &target)).await;
    }
    let response = match sent {
        Ok(response) => response,
        Err(SendError::Lost(reason)) => {
            state.record_unreachable(&target);
            return guard.lost(&reason);
        }
        Err(SendError::Broken(broken)) => {
            state.target_reach.borrow_mut().record_response(state.clock.now());
            return guard.lost(&broken.to_string());
        }
        Err(error) => return guard.not_sent(&error),
    };
    guard.first_byte = Some(guard.elapsed());
    state.target_reach.borrow_mut().record_response(state.clock.now());
    drop(waiting);
    let metadata = state.protocol.reply_metadata(response.status(), response.headers());
    let is_mismatched = metadata.attempt_id != request.metadata.attempt_id;
    guard.response_to =
        is_mismatched.then(|| metadata.attempt_id.clone().unwrap_or_else(|| "".into()));
    if is_mismatched {
        return guard.mismatched(response.status(), "a response to another request");
    }
    if is_joined(&response) {
        return guard.mismatched(response.status(), "a response joined from two");
    }
    if is_unconditional_304(&request.head.headers, response.status()) {
        return guard.lost("the response has status 304, which the request did not ask for");
    }
    state.record_notices(&target, &metadata);
    let unknown = state.protocol.unknown_reply_headers(response.headers());
    state.unknown_headers.record(&unknown, response.headers(), &target.entry.id, &*state.events);
    if metadata.not_run || metadata.wrong_target {
        return guard.refused(&metadata, response, connection);
    }
    if response.status().is_success() && !metadata.signed {
        return guard.lost("the response lacks the target's signature");
    }
    guard.receive_response(metadata, response, connection, in_flight).await
}

/// Takes an idle connection to the target that may carry a request with this id, or opens a new one.
async fn acquire_connection(
    state: &TrafficState,
    target: &KnownTarget,
    id: Option<&RequestId>,
) -> super::upstream::Result<TargetConnection> {
    let idle = state.pool.borrow_mut().take(target.tag, id, state.clock.now());
    match idle {
        Some(connection) => Ok(connection),
        None => connect(&*state.connector, target.entry.addr).await,
    }
}

/// Builds the request that is sent to the target.
fn build_request(
    state: &TrafficState,
    request: &OutboundRequest,
    target: &KnownTarget,
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
    let team = request.team.as_ref().map(|team| &team.name);
    state.protocol.add_target_headers(headers, &target.entry.id, team, time_left);
    req
}

/// Status of a refusal, and its Retry-After.
fn describe_refusal(response: &Response<Incoming>) -> String {
    let status = response.status();
    let retry_after = response.headers().get(header::RETRY_AFTER);
    match retry_after.and_then(|value| value.to_str().ok()) {
        Some(value) => {
            let value: String = value.chars().take(MAX_RETRY_AFTER_CHARS).collect();
            format!("{}, Retry-After {value}", status.as_str())
        }
        None => status.as_str().to_owned(),
    }
}

/// Records how the attempt ended; an attempt that is dropped before its end is recorded as
/// cancelled.
struct AttemptGuard {
    forecast: Forecast,
    state: Rc<TrafficState>,
    /// Time taken to open a new connection; `None` for a reused one.
    connect_time: Option<Duration>,
    /// The connection that the request was last handed to.
    connection: Option<RequestUse>,
    /// Time until that.
    dispatched_after: Option<Duration>,
    is_recorded: bool,
    /// Time until the head of the response arrived.
    first_byte: Option<Duration>,
    request: Rc<OutboundRequest>,
    reservation: Option<ReservationId>,
    /// Attempt id in the response if it is not the request's.
    response_to: Option<Arc<str>>,
    /// When the request was last written to a connection.
    sent_at: Moment,
    started: Moment,
    target: Arc<KnownTarget>,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.is_recorded {
            let took = self.elapsed();
            self.record_end(
                HealthSignal::Cancelled(took),
                AttemptEnd::Cancelled,
                "cancelled: its response is no longer needed",
            );
        }
    }
}

impl AttemptGuard {
    fn elapsed(&self) -> Duration {
        self.state.clock.now().saturating_sub(self.started)
    }

    /// The request is handed to a connection.
    fn dispatch(&mut self, connection: &TargetConnection) {
        self.sent_at = self.state.clock.now();
        self.dispatched_after = Some(self.elapsed());
        self.connection = Some(connection.next_use());
    }

    fn record_end(&mut self, signal: HealthSignal, end: AttemptEnd, detail: &str) {
        self.is_recorded = true;
        let time_left = self.request.deadline.saturating_sub(self.state.clock.now());
        let event = Event::AttemptEnded {
            connect_ms: self.connect_time.map(|took| took.as_millis() as u64),
            connection: self.connection.as_ref().map(RequestUse::describe),
            dispatch_ms: self.dispatched_after.map(|took| took.as_millis() as u64),
            left_ms: time_left.as_millis() as u64,
            end,
            first_byte_ms: self.first_byte.map(|took| took.as_millis() as u64),
            detail: detail.into(),
            response_to: self.response_to.clone(),
            service: self.request.service.clone(),
            target: self.target.entry.id.clone(),
            took_ms: self.elapsed().as_millis() as u64,
        };
        self.state.record(&self.request.key, event);
        self.state.record_attempt_end(&self.target, &self.request.service, &self.forecast, signal);
        self.state.set_reservation_end(self.reservation, signal);
    }

    fn not_sent(&mut self, error: &SendError) -> AttemptOutcome {
        let signal = match error {
            SendError::Unreachable(_) => {
                self.state.record_unreachable(&self.target);
                HealthSignal::Unreachable
            }
            _ => HealthSignal::Failed,
        };
        self.record_end(signal, AttemptEnd::Unreachable, &error.to_string());
        AttemptOutcome::NotRun(ErrorKind::ConnectFailed)
    }

    /// The target does not take the request any more; its connection stays usable.
    fn withheld(&mut self, connection: TargetConnection) -> AttemptOutcome {
        self.record_end(
            HealthSignal::Cancelled(Duration::ZERO),
            AttemptEnd::Withheld,
            "not sent: the target limited its requests, rests or leaves",
        );
        let now = self.state.clock.now();
        self.state.pool.borrow_mut().put(self.target.tag, connection, None, now);
        AttemptOutcome::Withheld
    }

    fn lost(&mut self, reason: &str) -> AttemptOutcome {
        self.record_end(HealthSignal::Failed, AttemptEnd::Lost, reason);
        self.state.check_for_crash(&self.target, &self.request.service);
        AttemptOutcome::Lost(ErrorKind::DispatchLost)
    }

    /// The response belongs to another request, in whole or in part: whatever it says, it says
    /// nothing of this one, which may run. Later responses on the connection cannot be matched to
    /// their requests either, so it is closed.
    fn mismatched(&mut self, status: StatusCode, reason: &str) -> AttemptOutcome {
        let detail = format!("{}, {reason}", status.as_str());
        self.record_end(HealthSignal::Failed, AttemptEnd::Lost, &detail);
        AttemptOutcome::Lost(ErrorKind::DispatchLost)
    }

    fn refused(
        &mut self,
        metadata: &ReplyMetadata,
        response: Response<Incoming>,
        connection: TargetConnection,
    ) -> AttemptOutcome {
        if metadata.wrong_target {
            // Another target has taken over the address: the known entry is out of date.
            self.record_end(
                HealthSignal::Unreachable,
                AttemptEnd::WrongTarget,
                "another target answers at this address",
            );
            return AttemptOutcome::NotRun(ErrorKind::NoTarget);
        }
        self.record_end(HealthSignal::Full, AttemptEnd::Shed, &describe_refusal(&response));
        let keep_alive = keep_alive_timeout(response.headers());
        let body = response.into_body();
        self.state.keep_after_refusal(&self.request, &self.target, (body, connection), keep_alive);
        AttemptOutcome::NotRun(ErrorKind::Shed)
    }

    async fn receive_response(
        &mut self,
        metadata: ReplyMetadata,
        response: Response<Incoming>,
        connection: TargetConnection,
        in_flight: InFlight,
    ) -> AttemptOutcome {
        let status = response.status();
        let is_answer = metadata.signed && !status.is_server_error();
        let answer = is_answer
            .then_some(TargetAnswer { sent_at: self.sent_at, statement: metadata.statement });
        if is_answer {
            self.state.confirm_rested(&self.target, self.sent_at);
        }
        let (mut head, body) = response.into_parts();
        let keep_alive = keep_alive_timeout(&head.headers);
        prepare_response_head(&mut head);
        let bytes = match buffer_body(status, body).await {
            Ok(ReadBody::Whole(bytes)) => bytes,
            Ok(ReadBody::Unfinished { start, rest }) => {
                let completion = StreamCompletion {
                    state: self.state.clone(),
                    answer,
                    keep_alive,
                    connection,
                    key: self.request.key.clone(),
                    in_flight,
                    service: self.request.service.clone(),
                    target: self.target.clone(),
                };
                let time_left = self.request.deadline.saturating_sub(self.state.clock.now());
                let body = StreamingBody::new((start, rest), time_left, Box::new(completion));
                let response = Response::from_parts(head, ResponseBody::Stream(body));
                return self.answered(response, metadata.signed, HealthSignal::Began);
            }
            Err(error) => {
                return self
                    .lost(&format!("the response was cut off: {}", with_root_cause(&error)));
            }
        };
        let now = self.state.clock.now();
        self.state.pool.borrow_mut().put(self.target.tag, connection, keep_alive, now);
        if let Some(answer) = &answer {
            self.state.record_answer(&self.target, answer);
        }
        if !status.is_server_error() {
            self.state.clear_crash_suspect(self.request.fingerprint);
        }
        let response = Response::from_parts(head, ResponseBody::Whole(Full::new(bytes)));
        self.answered(response, metadata.signed, HealthSignal::Answered)
    }

    /// The target answered with a success or an error. The time of its answer leaves out that for
    /// opening a new connection.
    fn answered(
        &mut self,
        response: CallerResponse,
        is_signed: bool,
        signal: fn(Duration) -> HealthSignal,
    ) -> AttemptOutcome {
        let status = response.status();
        if PROMISES.contains(&status) {
            return self.lost("the target did not say that it refused the request");
        }
        if status.is_server_error() {
            self.record_end(HealthSignal::Failed, AttemptEnd::Failed, status.as_str());
            return match is_signed {
                true => AttemptOutcome::TargetError(response),
                false => AttemptOutcome::Lost(ErrorKind::AnswerBroken),
            };
        }
        let took = self.elapsed().saturating_sub(self.connect_time.unwrap_or_default());
        self.record_end(signal(took), AttemptEnd::Answered, status.as_str());
        AttemptOutcome::Response(response)
    }
}
