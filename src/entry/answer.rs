//! Answers to callers: the host's own, and a target's as it came.

use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;

use super::{CallerMetadata, KnownTarget, TrafficState, traffic_state::InFlight, upstream::Line};
use crate::{
    base::Ran,
    event_log::{Event, RequestKey},
    placement::Ended,
    prelude::*,
};

/// An answer with either kind of body.
pub type Answer = Response<AnswerBody>;

/// Whole bodies, and those that go on as they arrive.
pub enum AnswerBody {
    Whole(Full<Bytes>),
    Stream(Relay),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            AnswerBody::Whole(body) => {
                Pin::new(body).poll_frame(cx).map_err(|never| match never {})
            }
            AnswerBody::Stream(relay) => relay.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(body) => body.is_end_stream(),
            AnswerBody::Stream(relay) => relay.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(body) => body.size_hint(),
            AnswerBody::Stream(relay) => relay.body.size_hint(),
        }
    }
}

/// A target's body on its way to the caller. Dropped early, the caller has left: the target's
/// connection closes and it stops working.
pub struct Relay {
    pub body: Incoming,
    pub ended: Option<Box<RelayEnd>>,
}

/// What is done when a body ends.
pub struct RelayEnd {
    pub state: Rc<TrafficState>,
    pub keep: Option<Duration>,
    pub key: RequestKey,
    pub line: Line,
    pub running: InFlight,
    pub service: ServiceId,
    pub target: Arc<KnownTarget>,
}

impl Relay {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            Some(Ok(_)) if !self.body.is_end_stream() => {}
            Some(Err(error)) => {
                if let Some(end) = self.ended.take() {
                    let event = Event::StreamBroken {
                        reason: error.to_string().into(),
                        service: end.service.clone(),
                        target: end.target.entry.id.clone(),
                    };
                    end.state.record(&end.key, event);
                    end.state.ended(
                        &end.target,
                        &end.service,
                        &end.running.forecast,
                        Ended::Failed,
                    );
                }
            }
            _ => {
                if let Some(end) = self.ended.take() {
                    end.finish();
                }
            }
        }
        Poll::Ready(frame)
    }
}

impl RelayEnd {
    /// The answer was whole: its connection serves again.
    pub fn finish(self) {
        let now = self.state.clock.now();
        self.state.pool.borrow_mut().put(&self.target, self.line, self.keep, now);
        drop(self.running);
    }
}

/// The host's own answer. Its status says whether the request has run: 503 promises that it has not
/// and never will; 502 and 504 promise nothing.
pub fn own(
    state: &TrafficState,
    note: &CallerMetadata,
    kind: ErrorKind,
    come_back: Option<Duration>,
) -> Answer {
    let row = kind.row();
    let status = match kind {
        ErrorKind::ApiKeyUnknown
        | ErrorKind::BadRequest
        | ErrorKind::BodyTooLarge
        | ErrorKind::QuotaExceeded
        | ErrorKind::ServiceUnknown => row.status,
        _ if row.ran == Ran::No => StatusCode::SERVICE_UNAVAILABLE.as_u16(),
        _ => row.status,
    };
    let body = Bytes::from(format!("{kind}\n"));
    let mut answer = Response::new(AnswerBody::Whole(Full::new(body)));
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = answer.headers_mut();
    state.protocol.add_own_response_headers(headers, note);
    if let Some(span) = come_back
        && matches!(status, 429 | 503)
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", span.as_secs_f64()))
    {
        headers.insert(header::RETRY_AFTER, value);
    }
    answer
}

/// Removes the headers that concern one connection only.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|word| word.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        header::CONNECTION,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
    ] {
        headers.remove(name);
    }
}
