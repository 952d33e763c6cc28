//! Targets over HTTP/1.1.

use std::time::Instant;

use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt, stream};
use reqwest::{Client, ClientBuilder, Response, redirect};

use super::{
    Attempt, Failure, ForwardLimits, Reply, ReplyBody, Result, Upstream,
    connect_note::{ConnectNoteLayer, noting},
    gates::{Gates, Permit},
    head,
};
use crate::prelude::*;

/// Client to all targets and to other hosts. Nothing is repeated or redirected, no proxy is used.
///
/// Requests that may not be repeated go over a connection of their own: a kept one may be closed
/// by the target at the moment of writing, and whether the request was read is then unknown. It
/// costs one connection each, about 1 ms, and spares the caller the doubt.
#[derive(Debug)]
pub struct HttpUpstream {
    fresh: Client,
    gates: Gates,
    limits: ForwardLimits,
    pooled: Client,
}

impl HttpUpstream {
    /// Opens the client. It connects on first use.
    pub fn open(limits: ForwardLimits) -> reqwest::Result<Self> {
        let fresh = builder(&limits).pool_max_idle_per_host(0).connector_layer(ConnectNoteLayer);
        let pooled = builder(&limits)
            .pool_idle_timeout(limits.idle_timeout)
            .pool_max_idle_per_host(limits.idle_connections.max(1));
        Ok(Self { fresh: fresh.build()?, gates: Gates::default(), limits, pooled: pooled.build()? })
    }

    async fn exchange(&self, attempt: Attempt, permit: Permit) -> Result<Reply> {
        let deadline = attempt.deadline;
        if attempt.repeatable {
            let exchanged = self.run(&self.pooled, &attempt, permit);
            let timed = tokio::time::timeout(deadline, exchanged).await;
            return timed.unwrap_or(Err(Failure::Timeout { sent: true }));
        }
        let exchanged = self.run(&self.fresh, &attempt, permit);
        let (timed, connected) = noting(tokio::time::timeout(deadline, exchanged)).await;
        match timed {
            Ok(Err(_)) if !connected => Err(Failure::Connect),
            Ok(result) => result,
            Err(_) => Err(Failure::Timeout { sent: connected }),
        }
    }

    async fn run(&self, client: &Client, attempt: &Attempt, permit: Permit) -> Result<Reply> {
        let url = format!("http://{}{}", attempt.address, attempt.path);
        let req = client
            .request(attempt.method.clone(), url)
            .headers(head::request_head(attempt))
            .body(attempt.body.clone());
        let response = req.send().await.map_err(|error| failure_of(&error))?;
        let status = response.status().as_u16();
        head::check(attempt, status, response.headers())?;
        let headers = head::reply_lines(attempt, response.headers());
        let body = if attempt.whole {
            ReplyBody::Whole(read_whole(response, self.limits.whole_bytes).await?)
        } else {
            let chunks = read_stream(response, self.limits.stream_silence, permit);
            ReplyBody::Stream(chunks.boxed())
        };
        Ok(Reply { body, headers, status })
    }
}

#[async_trait]
impl Upstream for HttpUpstream {
    async fn send(&self, mut attempt: Attempt) -> Result<Reply> {
        let started = Instant::now();
        let entering = self.gates.enter(attempt.address, attempt.connections);
        let permit = tokio::time::timeout(attempt.deadline, entering)
            .await
            .map_err(|_| Failure::Timeout { sent: false })?;
        attempt.deadline = attempt.deadline.saturating_sub(started.elapsed());
        if attempt.deadline.is_zero() {
            return Err(Failure::Timeout { sent: false });
        }
        self.exchange(attempt, permit).await
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

/// Only an error of the connector proves that no byte was written.
fn failure_of(error: &reqwest::Error) -> Failure {
    if error.is_connect() || error.is_builder() {
        return Failure::Connect;
    }
    Failure::Lost
}

async fn read_whole(mut response: Response, limit: usize) -> Result<Bytes> {
    let mut body = BytesMut::new();
    while let Some(chunk) = response.chunk().await.map_err(|_| Failure::Broken)? {
        if limit < body.len() + chunk.len() {
            return Err(Failure::Broken);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// The chunks of a body; holds the connection's permit until the last. After an error it ends.
fn read_stream(
    response: Response,
    silence: Duration,
    permit: Permit,
) -> impl Stream<Item = Result<Bytes>> + Send + 'static {
    stream::unfold(Some((response, permit)), move |state| async move {
        let (mut response, permit) = state?;
        match tokio::time::timeout(silence, response.chunk()).await {
            Ok(Ok(Some(chunk))) => Some((Ok(chunk), Some((response, permit)))),
            Ok(Ok(None)) => None,
            Ok(Err(_)) => Some((Err(Failure::Broken), None)),
            Err(_) => Some((Err(Failure::Timeout { sent: true }), None)),
        }
    })
}
