//! HTTP client whose connections are checked.

use std::{
    pin::Pin,
    sync::atomic::AtomicBool,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{Method, Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{
        self, Client,
        connect::{Connect, HttpConnector},
    },
    rt::{TokioExecutor, TokioIo, TokioTimer},
};
use tokio::net::TcpStream;
use tower::{BoxError, Service};

use super::CheckedStream;
use crate::prelude::*;

/// How connections are opened and kept.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionOptions {
    pub connect_timeout: Duration,
    /// Idle connections that are kept for each address.
    pub idle_connections: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    pub keepalive: Keepalive,
}

/// When connections that have fallen silent are closed.
#[derive(Clone, Copy, Debug)]
pub struct Keepalive {
    /// Idle time before the first probe.
    pub idle: Duration,
    /// Time between probes.
    pub interval: Duration,
    /// Unanswered probes after which a connection is closed.
    pub retries: u32,
    /// Time after which unacknowledged bytes or probes close a connection.
    pub user_timeout: Duration,
}

impl Default for Keepalive {
    fn default() -> Self {
        Self {
            idle: Duration::from_secs(15),
            interval: Duration::from_secs(15),
            retries: 3,
            user_timeout: Duration::from_secs(30),
        }
    }
}

/// Parses a URL, and escapes the characters in it that requests may not contain.
pub fn parse_url(url: &str) -> Option<Uri> {
    reqwest::Url::parse(url).ok()?.as_str().parse().ok()
}

/// Client that follows no redirects, uses no proxies, and repeats a request only if its connection was
/// closed before a byte was written.
#[derive(Clone, Debug)]
pub struct CheckedClient<C = CheckedConnector> {
    /// Sends `HEAD` requests: their responses have no body, whatever their heads say.
    heads: Client<C, Full<Bytes>>,
    others: Client<C, Full<Bytes>>,
}

impl CheckedClient {
    /// Creates a client. Connections are opened on first use.
    pub fn new(options: ConnectionOptions) -> Self {
        Self::with_layer(options, |connector| connector)
    }
}

impl<C: Connect + Clone + Send + Sync + 'static> CheckedClient<C> {
    /// Creates a client whose connectors `layer` wraps.
    pub fn with_layer(options: ConnectionOptions, layer: impl Fn(CheckedConnector) -> C) -> Self {
        let client = |answers_head| {
            Client::builder(TokioExecutor::new())
                .pool_idle_timeout(options.idle_timeout)
                .pool_max_idle_per_host(options.idle_connections)
                .pool_timer(TokioTimer::new())
                .build(layer(CheckedConnector::new(options, answers_head)))
        };
        Self { heads: client(true), others: client(false) }
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, legacy::Error> {
        match *req.method() {
            Method::HEAD => self.heads.request(req).await,
            _ => self.others.request(req).await,
        }
    }
}

/// Opens TCP connections that are checked.
#[derive(Clone, Debug)]
pub struct CheckedConnector {
    answers_head: bool,
    tcp: HttpConnector,
}

impl CheckedConnector {
    fn new(options: ConnectionOptions, answers_head: bool) -> Self {
        let mut tcp = HttpConnector::new();
        tcp.set_connect_timeout(Some(options.connect_timeout));
        tcp.set_keepalive(Some(options.keepalive.idle));
        tcp.set_keepalive_interval(Some(options.keepalive.interval));
        tcp.set_keepalive_retries(Some(options.keepalive.retries));
        tcp.set_nodelay(true);
        tcp.set_tcp_user_timeout(Some(options.keepalive.user_timeout));
        Self { answers_head, tcp }
    }
}

impl Service<Uri> for CheckedConnector {
    type Error = BoxError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, BoxError>> + Send>>;
    type Response = TokioIo<CheckedStream<TcpStream>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BoxError>> {
        self.tcp.poll_ready(cx).map_err(Into::into)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let answers_head = Arc::new(AtomicBool::new(self.answers_head));
        let connecting = self.tcp.call(uri);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(CheckedStream::new(stream, answers_head)))
        })
    }
}
