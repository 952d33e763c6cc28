//! Responses to callers: the host's own, and those passed on from targets.

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

use super::{
    CallerMetadata, KnownTarget, TrafficState, guards::InFlight, relay::RelayedResponse,
    target_statements::TargetAnswer, upstream::TargetConnection,
};
use crate::{
    base::Ran,
    event_log::{Event, RequestKey},
    placement::HealthSignal,
    prelude::*,
};

/// A response to a caller.
pub type CallerResponse = Response<ResponseBody>;

/// The body of a response to a caller.
pub enum ResponseBody {
    /// Buffered completely.
    Whole(Full<Bytes>),
    /// Passed on while it arrives from the target.
    Stream(StreamingBody),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            ResponseBody::Whole(body) => {
                Pin::new(body).poll_frame(cx).map_err(|never| match never {})
            }
            ResponseBody::Stream(stream) => stream.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Whole(body) => body.is_end_stream(),
            ResponseBody::Stream(stream) => stream.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(body) => body.size_hint(),
            ResponseBody::Stream(stream) => stream.body.size_hint(),
        }
    }
}

/// A target's response body that is passed on while it arrives. It is dropped before its end if the
/// caller leaves; that closes the connection, so that the target stops working on the request.
pub struct StreamingBody {
    pub body: Incoming,
    pub completion: Option<Box<dyn StreamEnd>>,
}

/// What is to be done once a streamed body ends.
pub trait StreamEnd {
    /// The body was received completely.
    fn complete(self: Box<Self>);

    /// The body broke off.
    fn broken(self: Box<Self>, reason: &str);
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

impl StreamingBody {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            Some(Ok(_)) if !self.body.is_end_stream() => {}
            Some(Err(error)) => {
                if let Some(completion) = self.completion.take() {
                    completion.broken(&error.to_string());
                }
            }
            _ => {
                if let Some(completion) = self.completion.take() {
                    completion.complete();
                }
            }
        }
        Poll::Ready(frame)
    }
}

impl StreamEnd for StreamCompletion {
    fn complete(self: Box<Self>) {
        if let Some(answer) = &self.answer {
            self.state.record_answer(&self.target, answer);
        }
        let now = self.state.clock.now();
        let mut pool = self.state.pool.borrow_mut();
        pool.put(self.target.tag, self.connection, self.keep_alive, now);
    }

    fn broken(self: Box<Self>, reason: &str) {
        let event = Event::StreamBroken {
            reason: reason.into(),
            service: self.service.clone(),
            target: self.target.entry.id.clone(),
        };
        self.state.record(&self.key, event);
        self.state.record_attempt_end(
            &self.target,
            &self.service,
            &self.in_flight.forecast,
            HealthSignal::Failed,
        );
    }
}

/// The host's own response, for a request that no target answered. Its status says whether the
/// request has run: 503 promises that it has not and never will; 502 and 504 promise nothing.
pub fn host_response(
    state: &TrafficState,
    metadata: &CallerMetadata,
    kind: ErrorKind,
    retry_after: Option<Duration>,
) -> CallerResponse {
    let row = kind.response();
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
    let mut response = Response::new(ResponseBody::Whole(Full::new(body)));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    response.extensions_mut().insert(RelayedResponse { error: Some(kind), target: None });
    let headers = response.headers_mut();
    state.protocol.add_own_response_headers(headers, metadata);
    if let Some(span) = retry_after
        && matches!(status, 429 | 503)
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", span.as_secs_f64()))
    {
        headers.insert(header::RETRY_AFTER, value);
    }
    response
}

/// Removes the headers that apply to a single connection only.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|token| token.trim().parse().ok())
        .collect();
    for name in listed {
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
