//! One attempt at one target.

use std::rc::Rc;

use bytes::Bytes;
use http::{Request, Response, header, request::Parts};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use super::{
    CallerMetadata, KnownTarget, ReplyMetadata, Team, TrafficState,
    answer::{Answer, AnswerBody, Relay, RelayEnd, strip},
    bodies::HeldBody,
    traffic_state::InFlight,
    upstream::{Line, SendError, connect, keep_alive},
};
use crate::{
    base::with_cause,
    event_log::{AttemptEnd, Event, RequestKey},
    placement::{Ended, Forecast},
    prelude::*,
};

/// Largest answer that is held whole before its head goes out: it can then be asked for again
/// elsewhere if it breaks off. Larger ones are passed on as they arrive.
const WHOLE_BYTES: u64 = 64 * 1024;

/// How an attempt ended.
pub enum AttemptOutcome {
    /// The target's answer, whole or on its way.
    Answer(Answer),
    /// The target's own failure, whole; another target may do better.
    Poor(Answer),
    /// It has not run there and never will.
    NotRun(ErrorKind),
    /// It may have run.
    Lost(ErrorKind),
}

/// One request, as each attempt needs it.
pub struct OutboundRequest {
    pub body: Bytes,
    /// Its memory; free again when the last attempt has ended.
    pub _held: HeldBody,
    pub deadline: Moment,
    pub fingerprint: u64,
    pub head: Parts,
    /// Names it in the log.
    pub key: RequestKey,
    pub note: CallerMetadata,
    pub service: ServiceId,
    pub team: Option<Arc<Team>>,
}

/// Sends the request to a target and takes its answer in.
pub async fn send_attempt(
    state: Rc<TrafficState>,
    request: Rc<OutboundRequest>,
    target: Arc<KnownTarget>,
    running: InFlight,
) -> AttemptOutcome {
    let mut guard = AttemptGuard {
        state: state.clone(),
        request: request.clone(),
        target: target.clone(),
        forecast: running.forecast,
        started: running.started,
        connect: None,
        done: false,
        first_byte: None,
    };
    let mut line = match line(&state, &target).await {
        Ok(line) => line,
        Err(error) => return guard.unsent(&error),
    };
    guard.connect = (!line.reused).then(|| guard.took());
    if let Some(took) = guard.connect {
        state.connected(&target, took);
    }
    let mut sent = line.send(order(&state, &request, &target)).await;
    if let Err(SendError::NotSent(reason)) = &sent
        && line.reused
    {
        // The target closed an idle connection; no byte was written, so a new one may serve.
        log::debug!("{}: idle connection was closed: {reason}", target.entry.id);
        line = match connect(target.entry.addr).await {
            Ok(line) => line,
            Err(error) => return guard.unsent(&error),
        };
        sent = line.send(order(&state, &request, &target)).await;
    }
    let answer = match sent {
        Ok(answer) => answer,
        Err(SendError::Lost(reason)) => return guard.lost(&reason),
        Err(error) => return guard.unsent(&error),
    };
    guard.first_byte = Some(guard.took());
    let note = state.protocol.reply_metadata(answer.status(), answer.headers());
    if note.not_run || note.wrong_target {
        return guard.refused(&note, answer, line).await;
    }
    let strange = note.attempt_id != request.note.attempt_id;
    if strange || (answer.status().is_success() && !note.signed) {
        // An answer to an earlier request, or one that no target gave. Whatever comes on this
        // connection next can't be told from it, so the connection is closed.
        return guard.lost("the answer is another request's");
    }
    guard.take(note, answer, line, running).await
}

/// An idle connection, or a new one.
async fn line(state: &TrafficState, target: &KnownTarget) -> super::upstream::Result<Line> {
    let idle = state.pool.borrow_mut().take(target, state.clock.now());
    match idle {
        Some(line) => Ok(line),
        None => connect(target.entry.addr).await,
    }
}

/// The request as the target gets it.
fn order(
    state: &TrafficState,
    request: &OutboundRequest,
    target: &KnownTarget,
) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(request.body.clone()));
    *req.method_mut() = request.head.method.clone();
    *req.uri_mut() = request.head.uri.clone();
    let headers = req.headers_mut();
    *headers = request.head.headers.clone();
    strip(headers);
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
    connect: Option<Duration>,
    done: bool,
    /// Time to the head of the answer.
    first_byte: Option<Duration>,
    request: Rc<OutboundRequest>,
    started: Moment,
    target: Arc<KnownTarget>,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.done {
            let took = self.took();
            self.ended(
                Ended::Cancelled(took),
                AttemptEnd::Cancelled,
                "nobody waits for it any more",
            );
        }
    }
}

impl AttemptGuard {
    /// The time without that for a new connection.
    fn answered(&self) -> Ended {
        Ended::Answered(self.took().saturating_sub(self.connect.unwrap_or_default()))
    }

    fn took(&self) -> Duration {
        self.state.clock.now().saturating_sub(self.started)
    }

    fn ended(&mut self, ended: Ended, end: AttemptEnd, detail: &str) {
        self.done = true;
        let left = self.request.deadline.saturating_sub(self.state.clock.now());
        let event = Event::AttemptEnded {
            connect_ms: self.connect.map(|took| took.as_millis() as u64),
            left_ms: left.as_millis() as u64,
            end,
            first_byte_ms: self.first_byte.map(|took| took.as_millis() as u64),
            detail: detail.into(),
            service: self.request.service.clone(),
            target: self.target.entry.id.clone(),
            took_ms: self.took().as_millis() as u64,
        };
        self.state.record(&self.request.key, event);
        self.state.ended(&self.target, &self.request.service, &self.forecast, ended);
    }

    fn unsent(&mut self, error: &SendError) -> AttemptOutcome {
        let ended = match error {
            SendError::Unreachable(_) => Ended::Unreachable,
            _ => Ended::Failed,
        };
        self.ended(ended, AttemptEnd::Unreachable, &error.to_string());
        AttemptOutcome::NotRun(ErrorKind::ConnectFailed)
    }

    fn lost(&mut self, reason: &str) -> AttemptOutcome {
        self.ended(Ended::Failed, AttemptEnd::Lost, reason);
        self.state.check_for_crash(&self.target, &self.request.service);
        AttemptOutcome::Lost(ErrorKind::DispatchLost)
    }

    async fn refused(
        &mut self,
        note: &ReplyMetadata,
        answer: Response<Incoming>,
        line: Line,
    ) -> AttemptOutcome {
        if note.wrong_target {
            // The address has a new owner: the entry is out of date.
            self.ended(Ended::Unreachable, AttemptEnd::WrongTarget, "another target is there");
            return AttemptOutcome::NotRun(ErrorKind::NoTarget);
        }
        self.ended(Ended::Full, AttemptEnd::Shed, answer.status().as_str());
        let keep = keep_alive(answer.headers());
        if answer.into_body().collect().await.is_ok() {
            let now = self.state.clock.now();
            self.state.pool.borrow_mut().put(&self.target, line, keep, now);
        }
        AttemptOutcome::NotRun(ErrorKind::Shed)
    }

    async fn take(
        &mut self,
        note: ReplyMetadata,
        answer: Response<Incoming>,
        line: Line,
        running: InFlight,
    ) -> AttemptOutcome {
        let status = answer.status();
        let (mut head, body) = answer.into_parts();
        let keep = keep_alive(&head.headers);
        strip(&mut head.headers);
        let size = http_body::Body::size_hint(&body).exact();
        if size.is_none_or(|size| WHOLE_BYTES < size) && status.is_success() {
            self.ended(self.answered(), AttemptEnd::Answered, status.as_str());
            let end = RelayEnd {
                state: self.state.clone(),
                keep,
                line,
                key: self.request.key.clone(),
                running,
                service: self.request.service.clone(),
                target: self.target.clone(),
            };
            let relay = Relay { body, ended: Some(Box::new(end)) };
            return AttemptOutcome::Answer(Response::from_parts(head, AnswerBody::Stream(relay)));
        }
        let whole = match body.collect().await {
            Ok(whole) => whole.to_bytes(),
            Err(error) => {
                return self.lost(&format!("the answer broke off: {}", with_cause(&error)));
            }
        };
        let now = self.state.clock.now();
        self.state.pool.borrow_mut().put(&self.target, line, keep, now);
        let answered = self.answered();
        let answer = Response::from_parts(head, AnswerBody::Whole(Full::new(whole)));
        if status.is_server_error() {
            self.ended(Ended::Failed, AttemptEnd::Failed, status.as_str());
            return if note.signed {
                AttemptOutcome::Poor(answer)
            } else {
                AttemptOutcome::Lost(ErrorKind::AnswerBroken)
            };
        }
        self.ended(answered, AttemptEnd::Answered, status.as_str());
        self.state.cleared(self.request.fingerprint);
        AttemptOutcome::Answer(answer)
    }
}
