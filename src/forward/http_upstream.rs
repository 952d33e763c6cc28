//! Sends requests over HTTP/1.1.

use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use futures::StreamExt;
use http::Request;
use http_body_util::Full;
use hyper_util::client::legacy::{self, connect::Connect};
use tower::Layer;

use super::{
    Attempt, ForwardError, ForwardLimits, Result, TargetBody, TargetResponse, Upstream,
    body_stream::BodyStream,
    connect_tracking::{ConnectTracker, ConnectTrackingLayer, track_connect},
    connection_limits::{ConnectionLimits, Permit},
    head,
};
use crate::{
    base::read_bounded_body,
    response_framing::{
        BrokenResponse, CheckedClient, CheckedConnector, ConnectionOptions, Keepalive, parse_url,
    },
};

/// Client for all targets and other hosts. It does not retry, follow redirects or use a proxy.
///
/// Each request that is not idempotent is sent over a new connection. The target may close a pooled
/// connection at the moment of writing, and then it is unknown whether the request was read. A new
/// connection costs about 1 ms and avoids this ambiguity.
#[derive(Debug)]
pub struct HttpUpstream {
    unpooled: CheckedClient<ConnectTracker<CheckedConnector>>,
    connection_limits: ConnectionLimits,
    limits: ForwardLimits,
    pooled: CheckedClient,
}

impl HttpUpstream {
    /// Creates the client. Connections are opened on first use.
    pub fn new(limits: ForwardLimits) -> Self {
        let pooled = ConnectionOptions {
            connect_timeout: limits.connect_timeout,
            idle_connections: limits.idle_connections.max(1),
            idle_timeout: limits.idle_timeout,
            keepalive: Keepalive::default(),
        };
        let unpooled = ConnectionOptions { idle_connections: 0, ..pooled };
        Self {
            unpooled: CheckedClient::with_layer(unpooled, |it| ConnectTrackingLayer.layer(it)),
            connection_limits: ConnectionLimits::default(),
            limits,
            pooled: CheckedClient::new(pooled),
        }
    }

    async fn send_permitted(&self, attempt: Attempt, permit: Permit) -> Result<TargetResponse> {
        let timeout = attempt.timeout;
        if attempt.is_idempotent {
            let response = self.send_with(&self.pooled, &attempt, permit);
            let result = tokio::time::timeout(timeout, response).await;
            return result.unwrap_or(Err(ForwardError::Timeout { sent: true }));
        }
        let response = self.send_with(&self.unpooled, &attempt, permit);
        let (result, connected) = track_connect(tokio::time::timeout(timeout, response)).await;
        match result {
            Ok(Err(_)) if !connected => Err(ForwardError::ConnectFailed),
            Ok(result) => result,
            Err(_) => Err(ForwardError::Timeout { sent: connected }),
        }
    }

    async fn send_with<C: Connect + Clone + Send + Sync + 'static>(
        &self,
        client: &CheckedClient<C>,
        attempt: &Attempt,
        permit: Permit,
    ) -> Result<TargetResponse> {
        let started = Instant::now();
        let response = client.send(build_request(attempt)?).await;
        let response = response.map_err(|error| send_error(&error))?;
        let status = response.status().as_u16();
        head::check(attempt, status, response.headers())?;
        let headers = head::response_headers(attempt, response.headers());
        let body = if attempt.buffer_response {
            let body = read_bounded_body(response.into_body(), self.limits.whole_bytes).await;
            TargetBody::Whole(body.map_err(|_| ForwardError::InvalidResponse)?)
        } else {
            let time_left = attempt.timeout.saturating_sub(started.elapsed());
            let silence = self.limits.stream_silence;
            let body = BodyStream::new(response.into_body(), time_left, silence, permit);
            TargetBody::Stream(body.into_chunks().boxed())
        };
        Ok(TargetResponse { body, headers, status })
    }
}

/// Builds the request; one that can't be sent fails as if its connection had.
fn build_request(attempt: &Attempt) -> Result<Request<Full<Bytes>>> {
    let uri = format!("http://{}{}", attempt.address, attempt.path);
    let uri = parse_url(&uri).ok_or(ForwardError::ConnectFailed)?;
    let mut req = Request::new(Full::new(attempt.body.clone()));
    *req.method_mut() = attempt.method.clone();
    *req.uri_mut() = uri;
    *req.headers_mut() = head::request_headers(attempt);
    Ok(req)
}

#[async_trait]
impl Upstream for HttpUpstream {
    async fn send(&self, mut attempt: Attempt) -> Result<TargetResponse> {
        let started = Instant::now();
        let acquire = self.connection_limits.acquire(attempt.address, attempt.max_connections);
        let permit = tokio::time::timeout(attempt.timeout, acquire)
            .await
            .map_err(|_| ForwardError::Timeout { sent: false })?;
        attempt.timeout = attempt.timeout.saturating_sub(started.elapsed());
        if attempt.timeout.is_zero() {
            return Err(ForwardError::Timeout { sent: false });
        }
        self.send_permitted(attempt, permit).await
    }
}

/// Maps an error of the client. Only an error of the connector proves that no byte was written.
fn send_error(error: &legacy::Error) -> ForwardError {
    if error.is_connect() {
        return ForwardError::ConnectFailed;
    }
    match BrokenResponse::find_in(error) {
        None | Some(BrokenResponse::Head(_)) => ForwardError::ConnectionLost,
        Some(_) => ForwardError::InvalidResponse,
    }
}
