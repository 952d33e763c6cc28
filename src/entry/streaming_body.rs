//! Response bodies that are passed on to the caller while they arrive.

use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep};

use super::{
    KnownTarget, TrafficState, guards::InFlight, target_statements::TargetAnswer,
    upstream::TargetConnection,
};
use crate::{event_log::RequestKey, prelude::*};

/// Time for which a body is passed on after the time for which its caller waits.
const LATE_PERIOD: Duration = Duration::from_millis(500);

/// Largest body whose length the server does not state.
const MAX_UNSTATED_BYTES: usize = 16 * 1024 * 1024;

/// Why a body ends before it is complete.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The server broke off.
    #[error(transparent)]
    Broken(#[from] hyper::Error),
    /// The body has no stated length and does not end.
    #[error("the body states no length and exceeds {MAX_UNSTATED_BYTES} bytes")]
    TooLarge,
    /// The body did not end in time.
    #[error("the body did not end within the caller's time")]
    Late,
}

/// A body that is passed on while it arrives. It is dropped before its end if the caller leaves; that
/// closes the connection, so that the target stops working on the request.
pub struct StreamingBody {
    /// Bytes passed on.
    bytes: usize,
    completion: Option<Box<dyn StreamEnd>>,
    /// The server stated the length of the body.
    has_length: bool,
    /// When the caller stops waiting.
    expected_by: Instant,
    limit: Pin<Box<Sleep>>,
    rest: Incoming,
    /// What was read before the body was passed on.
    start: Bytes,
    /// The server, not the caller, holds up the body.
    waits_for_server: bool,
}

/// What is to be done once a streamed body ends.
pub trait StreamEnd {
    /// The body was received completely.
    fn complete(self: Box<Self>);

    /// The body broke off, or the server did not end it in time.
    fn broken(self: Box<Self>, reason: &str);
}

impl StreamingBody {
    /// Passes on `start` and then `rest` to a caller that waits for `time_left`.
    pub fn new(
        (start, rest): (Bytes, Incoming),
        time_left: Duration,
        completion: Box<dyn StreamEnd>,
    ) -> Self {
        Self {
            bytes: start.len(),
            completion: Some(completion),
            has_length: rest.size_hint().exact().is_some(),
            expected_by: Instant::now() + time_left,
            limit: Box::pin(tokio::time::sleep(time_left + LATE_PERIOD)),
            rest,
            start,
            waits_for_server: false,
        }
    }

    fn end(&mut self, end: impl FnOnce(Box<dyn StreamEnd>)) {
        if let Some(completion) = self.completion.take() {
            end(completion);
        }
    }

    /// Ends a body that its server does not end.
    fn give_up(&mut self, error: BodyError) -> BodyError {
        self.end(|completion| completion.broken(&error.to_string()));
        error
    }
}

impl Body for StreamingBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        if !this.start.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut this.start)))));
        }
        if this.limit.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(this.give_up(BodyError::Late))));
        }
        this.waits_for_server = true;
        let frame = ready!(Pin::new(&mut this.rest).poll_frame(cx));
        this.waits_for_server = false;
        if let Some(Ok(frame)) = &frame {
            this.bytes += frame.data_ref().map_or(0, Bytes::len);
        }
        if !this.has_length && MAX_UNSTATED_BYTES < this.bytes {
            return Poll::Ready(Some(Err(this.give_up(BodyError::TooLarge))));
        }
        match &frame {
            Some(Ok(_)) if !this.rest.is_end_stream() => {}
            Some(Err(error)) => this.end(|completion| completion.broken(&error.to_string())),
            _ => this.end(|completion| completion.complete()),
        }
        Poll::Ready(frame.map(|frame| Ok(frame?)))
    }

    fn is_end_stream(&self) -> bool {
        self.start.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let (start, mut hint) = (self.start.len() as u64, self.rest.size_hint());
        if let Some(upper) = hint.upper() {
            hint.set_upper(upper + start);
        }
        hint.set_lower(hint.lower() + start);
        hint
    }
}

impl Drop for StreamingBody {
    /// A caller that waited to the end of its time has left because of the server, unless it reads a
    /// body of known length more slowly than it arrives.
    fn drop(&mut self) {
        let is_servers = self.waits_for_server || !self.has_length;
        if is_servers && self.expected_by <= Instant::now() {
            self.give_up(BodyError::Late);
        }
    }
}

/// A streamed response of a target.
pub struct StreamCompletion {
    pub state: Rc<TrafficState>,
    /// `None` if the response does not speak for the target.
    pub answer: Option<TargetAnswer>,
    pub keep_alive: Option<Duration>,
    pub key: RequestKey,
    pub connection: TargetConnection,
    pub in_flight: InFlight,
    pub service: ServiceId,
    pub target: Arc<KnownTarget>,
}

impl StreamEnd for StreamCompletion {
    fn complete(self: Box<Self>) {
        if let Some(answer) = &self.answer {
            self.state.record_answer(&self.target, answer);
            self.state.record_body_end(&self.target);
        }
        let now = self.state.clock.now();
        let mut pool = self.state.pool.borrow_mut();
        pool.put(self.target.tag, self.connection, self.keep_alive, now);
    }

    fn broken(self: Box<Self>, reason: &str) {
        let forecast = &self.in_flight.forecast;
        self.state.record_broken_body(&self.key, &self.service, &self.target, forecast, reason);
    }
}
