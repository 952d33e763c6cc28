//! One attempt at one target.

use std::rc::Rc;

use bytes::Bytes;
use http::{Request, Response, header, request::Parts};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use super::{
    CallerMetadata, KnownTarget, ReplyMetadata, Team, TrafficState,
    body_memory::BodyReservation,
    response::{
        CallerResponse, ResponseBody, StreamCompletion, StreamingBody, remove_hop_by_hop_headers,
    },
    traffic_state::InFlight,
    upstream::{SendError, TargetConnection, connect, keep_alive_timeout},
};
use crate::{
    base::with_cause,
    event_log::{AttemptEnd, Event, RequestKey},
    placement::{Forecast, HealthSignal},
    prelude::*,
};

/// Largest response that is held whole before its head goes out: it can then be asked for again
/// elsewhere if it breaks off. Larger ones are passed on as they arrive.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

/// How an attempt ended.
pub enum AttemptOutcome {
    /// The target's response, whole or on its way.
    Response(CallerResponse),
    /// The target's own failure, whole; another target may do better.
    TargetError(CallerResponse),
    /// It has not run there and never will.
    NotRun(ErrorKind),
    /// It may have run.
    Lost(ErrorKind),
}

/// One request, as each attempt needs it.
pub struct OutboundRequest {
    pub body: Bytes,
    /// Its memory; free again when the last attempt has ended.
    pub _body_reservation: BodyReservation,
    pub deadline: Moment,
    pub fingerprint: u64,
    pub head: Parts,
    /// Names it in the log.
    pub key: RequestKey,
    pub note: CallerMetadata,
    pub service: ServiceId,
    pub team: Option<Arc<Team>>,
}

/// Sends the request to a target and takes its response in.
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
        started: in_flight.started,
        connect_time: None,
        is_recorded: false,
        first_byte: None,
    };
    let mut connection = match acquire_connection(&state, &target).await {
        Ok(connection) => connection,
        Err(error) => return guard.not_sent(&error),
    };
    guard.connect_time = (!connection.reused).then(|| guard.elapsed());
    if let Some(took) = guard.connect_time {
        state.record_connect(&target, took);
    }
    let mut sent = connection.send(build_request(&state, &request, &target)).await;
    if let Err(SendError::NotSent(reason)) = &sent
        && connection.reused
    {
        // The target closed an idle connection; no byte was written, so a new one may serve.
        log::debug!("{}: idle connection was closed: {reason}", target.entry.id);
        connection = match connect(target.entry.addr).await {
            Ok(connection) => connection,
            Err(error) => return guard.not_sent(&error),
        };
        sent = connection.send(build_request(&state, &request, &target)).await;
    }
    let response = match sent {
        Ok(response) => response,
        Err(SendError::Lost(reason)) => return guard.lost(&reason),
        Err(error) => return guard.not_sent(&error),
    };
    guard.first_byte = Some(guard.elapsed());
    let note = state.protocol.reply_metadata(response.status(), response.headers());
    if note.not_run || note.wrong_target {
        return guard.refused(&note, response, connection).await;
    }
    let is_mismatched = note.attempt_id != request.note.attempt_id;
    if is_mismatched || (response.status().is_success() && !note.signed) {
        // A response to an earlier request, or one that no target gave. Whatever comes on this
        // connection next can't be told from it, so the connection is closed.
        return guard.lost("the response is another request's");
    }
    guard.receive_response(note, response, connection, in_flight).await
}

/// An idle connection, or a new one.
async fn acquire_connection(
    state: &TrafficState,
    target: &KnownTarget,
) -> super::upstream::Result<TargetConnection> {
    let idle = state.pool.borrow_mut().take(target, state.clock.now());
    match idle {
        Some(connection) => Ok(connection),
        None => connect(target.entry.addr).await,
    }
}

/// The request as the target gets it.
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
    let left = request.deadline.saturating_sub(state.clock.now());
    let team = request.team.as_ref().map(|team| &team.name);
    state.protocol.add_target_headers(headers, &target.entry.id, team, left);
    req
}

/// Tells the state how the attempt ended, also when it is dropped half way.
struct AttemptGuard {
    forecast: Forecast,
    state: Rc<TrafficState>,
    /// Time to a new connection.
    connect_time: Option<Duration>,
    is_recorded: bool,
    /// Time to the head of the response.
    first_byte: Option<Duration>,
    request: Rc<OutboundRequest>,
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
                "nobody waits for it any more",
            );
        }
    }
}

impl AttemptGuard {
    /// The time without that for a new connection.
    fn answered_end(&self) -> HealthSignal {
        HealthSignal::Answered(self.elapsed().saturating_sub(self.connect_time.unwrap_or_default()))
    }

    fn elapsed(&self) -> Duration {
        self.state.clock.now().saturating_sub(self.started)
    }

    fn record_end(&mut self, ended: HealthSignal, end: AttemptEnd, detail: &str) {
        self.is_recorded = true;
        let left = self.request.deadline.saturating_sub(self.state.clock.now());
        let event = Event::AttemptEnded {
            connect_ms: self.connect_time.map(|took| took.as_millis() as u64),
            left_ms: left.as_millis() as u64,
            end,
            first_byte_ms: self.first_byte.map(|took| took.as_millis() as u64),
            detail: detail.into(),
            service: self.request.service.clone(),
            target: self.target.entry.id.clone(),
            took_ms: self.elapsed().as_millis() as u64,
        };
        self.state.record(&self.request.key, event);
        self.state.record_attempt_end(&self.target, &self.request.service, &self.forecast, ended);
    }

    fn not_sent(&mut self, error: &SendError) -> AttemptOutcome {
        let ended = match error {
            SendError::Unreachable(_) => HealthSignal::Unreachable,
            _ => HealthSignal::Failed,
        };
        self.record_end(ended, AttemptEnd::Unreachable, &error.to_string());
        AttemptOutcome::NotRun(ErrorKind::ConnectFailed)
    }

    fn lost(&mut self, reason: &str) -> AttemptOutcome {
        self.record_end(HealthSignal::Failed, AttemptEnd::Lost, reason);
        self.state.check_for_crash(&self.target, &self.request.service);
        AttemptOutcome::Lost(ErrorKind::DispatchLost)
    }

    async fn refused(
        &mut self,
        note: &ReplyMetadata,
        response: Response<Incoming>,
        connection: TargetConnection,
    ) -> AttemptOutcome {
        if note.wrong_target {
            // The address has a new owner: the entry is out of date.
            self.record_end(
                HealthSignal::Unreachable,
                AttemptEnd::WrongTarget,
                "another target is there",
            );
            return AttemptOutcome::NotRun(ErrorKind::NoTarget);
        }
        self.record_end(HealthSignal::Full, AttemptEnd::Shed, response.status().as_str());
        let keep_alive = keep_alive_timeout(response.headers());
        if response.into_body().collect().await.is_ok() {
            let now = self.state.clock.now();
            self.state.pool.borrow_mut().put(&self.target, connection, keep_alive, now);
        }
        AttemptOutcome::NotRun(ErrorKind::Shed)
    }

    async fn receive_response(
        &mut self,
        note: ReplyMetadata,
        response: Response<Incoming>,
        connection: TargetConnection,
        in_flight: InFlight,
    ) -> AttemptOutcome {
        let status = response.status();
        let (mut head, body) = response.into_parts();
        let keep_alive = keep_alive_timeout(&head.headers);
        remove_hop_by_hop_headers(&mut head.headers);
        let size = http_body::Body::size_hint(&body).exact();
        if size.is_none_or(|size| MAX_BUFFERED_BYTES < size) && status.is_success() {
            self.record_end(self.answered_end(), AttemptEnd::Answered, status.as_str());
            let end = StreamCompletion {
                state: self.state.clone(),
                keep_alive,
                connection,
                key: self.request.key.clone(),
                in_flight,
                service: self.request.service.clone(),
                target: self.target.clone(),
            };
            let body = StreamingBody { body, completion: Some(Box::new(end)) };
            return AttemptOutcome::Response(Response::from_parts(
                head,
                ResponseBody::Stream(body),
            ));
        }
        let whole = match body.collect().await {
            Ok(whole) => whole.to_bytes(),
            Err(error) => {
                return self.lost(&format!("the response broke off: {}", with_cause(&error)));
            }
        };
        let now = self.state.clock.now();
        self.state.pool.borrow_mut().put(&self.target, connection, keep_alive, now);
        let answered = self.answered_end();
        let response = Response::from_parts(head, ResponseBody::Whole(Full::new(whole)));
        if status.is_server_error() {
            self.record_end(HealthSignal::Failed, AttemptEnd::Failed, status.as_str());
            return if note.signed {
                AttemptOutcome::TargetError(response)
            } else {
                AttemptOutcome::Lost(ErrorKind::AnswerBroken)
            };
        }
        self.record_end(answered, AttemptEnd::Answered, status.as_str());
        self.state.clear_crash_suspect(self.request.fingerprint);
        AttemptOutcome::Response(response)
    }
}
