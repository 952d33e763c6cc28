//! Responses to callers: the host's own, and those passed on from targets.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Response, StatusCode, Version, header, response::Parts,
};
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;

use super::{
    CallerMetadata, TrafficState,
    relay::RelayedResponse,
    streaming_body::{BodyError, StreamingBody},
};
use crate::{base::Ran, prelude::*};

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
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            ResponseBody::Whole(body) => {
                Pin::new(body).poll_frame(cx).map_err(|never| match never {})
            }
            ResponseBody::Stream(stream) => Pin::new(stream).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Whole(body) => body.is_end_stream(),
            ResponseBody::Stream(stream) => stream.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(body) => body.size_hint(),
            ResponseBody::Stream(stream) => stream.size_hint(),
        }
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

/// Removes from the head of a response what applies to the connection that it came over.
pub fn prepare_response_head(head: &mut Parts) {
    head.version = Version::HTTP_11;
    remove_hop_by_hop_headers(&mut head.headers);
}

/// Whether a response says that the caller's copy is current although the request has no condition.
pub fn is_unconditional_304(request: &HeaderMap, status: StatusCode) -> bool {
    let has_condition = request.contains_key(header::IF_NONE_MATCH)
        || request.contains_key(header::IF_MODIFIED_SINCE);
    status == StatusCode::NOT_MODIFIED && !has_condition
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
