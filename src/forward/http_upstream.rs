//! Sends requests over HTTP/1.1.

use std::time::Instant;

use async_trait::async_trait;
use futures::StreamExt;
use reqwest::{Client, ClientBuilder, redirect};

use super::{
    Attempt, ForwardError, ForwardLimits, Result, TargetBody, TargetResponse, Upstream,
    body_stream::BodyStream,
    connect_tracking::{ConnectTrackingLayer, track_connect},
    connection_limits::{ConnectionLimits, Permit},
    head,
};
use crate::base::read_bounded;

/// Client for all targets and other hosts. It does not retry, follow redirects or use a proxy.
///
/// Each request that is not idempotent is sent over a new connection. The target may close a pooled
/// connection at the moment of writing, and then it is unknown whether the request was read. A new
/// connection costs about 1 ms and avoids this ambiguity.
#[derive(Debug)]
pub struct HttpUpstream {
    unpooled: Client,
    connection_limits: ConnectionLimits,
    limits: ForwardLimits,
    pooled: Client,
}

impl HttpUpstream {
    /// Creates the client. Connections are opened on first use.
    pub fn new(limits: ForwardLimits) -> reqwest::Result<Self> {
        let unpooled =
            builder(&limits).pool_max_idle_per_host(0).connector_layer(ConnectTrackingLayer);
        let pooled = builder(&limits)
            .pool_idle_timeout(limits.idle_timeout)
            .pool_max_idle_per_host(limits.idle_connections.max(1));
        Ok(Self {
            unpooled: unpooled.build()?,
            connection_limits: ConnectionLimits::default(),
            limits,
            pooled: pooled.build()?,
        })
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

    async fn send_with(
        &self,
        client: &Client,
        attempt: &Attempt,
        permit: Permit,
    ) -> Result<TargetResponse> {
        let started = Instant::now();
        let url = format!("http://{}{}", attempt.address, attempt.path);
        let req = client
            .request(attempt.method.clone(), url)
            .headers(head::request_headers(attempt))
            .body(attempt.body.clone());
        let response = req.send().await.map_err(|error| send_error(&error))?;
        let status = response.status().as_u16();
        head::check(attempt, status, response.headers())?;
        let headers = head::response_headers(attempt, response.headers());
        let body = if attempt.buffer_response {
            let body = read_bounded(response, self.limits.whole_bytes).await;
            TargetBody::Whole(body.map_err(|_| ForwardError::InvalidResponse)?)
        } else {
            let time_left = attempt.timeout.saturating_sub(started.elapsed());
            let body = BodyStream::new(response, time_left, self.limits.stream_silence, permit);
            TargetBody::Stream(body.into_chunks().boxed())
        };
        Ok(TargetResponse { body, headers, status })
    }
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

fn builder(limits: &ForwardLimits) -> ClientBuilder {
    Client::builder()
        .connect_timeout(limits.connect_timeout)
        .http1_only()
        .no_proxy()
        .redirect(redirect::Policy::none())
        .referer(false)
        .retry(reqwest::retry::never())
        .tcp_nodelay(true)
}

/// Maps an error of the client. Only an error of the connector proves that no byte was written.
fn send_error(error: &reqwest::Error) -> ForwardError {
    if error.is_connect() || error.is_builder() {
        return ForwardError::ConnectFailed;
    }
    ForwardError::ConnectionLost
}
