//! Connections to targets.
//!
//! `reqwest` hides whether a request's bytes were written, which connection it took and what came
//! after an answer; the connection-level client of `hyper` is its nearest kin that tells.

use std::{collections::HashMap, io, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::KnownTarget;
use crate::{base::with_cause, prelude::*};

/// Longest time for a new connection: a round trip between regions is 110 ms, and a lost packet is
/// sent again after 200 ms or more.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);

/// Time before a target's own idle limit at which a connection is no longer used: a request that
/// crosses the target's close would be lost.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);

/// Idle time that is assumed where a target names none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Most idle connections kept to one target; more than its slots are of no use.
const MAX_IDLE_PER_TARGET: usize = 4;

/// Result of an exchange with a target.
pub type Result<T> = std::result::Result<T, SendError>;

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was written.
    #[error("not sent: {0}")]
    NotSent(Arc<str>),
    /// The address refuses connections or does not answer.
    #[error("no connection: {0}")]
    Unreachable(Arc<str>),
    /// The request may have run.
    #[error("lost after sending: {0}")]
    Lost(Arc<str>),
}

/// A connection that is in use.
pub struct TargetConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// It served a request before.
    pub reused: bool,
}

/// Idle connections by target.
#[derive(Default)]
pub struct ConnectionPool {
    idle: HashMap<u32, Vec<IdleConnection>>,
}

struct IdleConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    usable_until: Moment,
}

impl ConnectionPool {
    /// The connection that was used last, if it still is open.
    pub fn take(&mut self, target: &KnownTarget, now: Moment) -> Option<TargetConnection> {
        let idle = self.idle.get_mut(&target.tag)?;
        while let Some(IdleConnection { sender, usable_until }) = idle.pop() {
            if now < usable_until && sender.is_ready() {
                return Some(TargetConnection { sender, reused: true });
            }
        }
        None
    }

    /// Keeps a connection whose exchange ended cleanly.
    pub fn put(
        &mut self,
        target: &KnownTarget,
        connection: TargetConnection,
        keep_alive: Option<Duration>,
        now: Moment,
    ) {
        let usable_until =
            now + keep_alive.unwrap_or(DEFAULT_IDLE_TIMEOUT).saturating_sub(IDLE_MARGIN);
        let idle = self.idle.entry(target.tag).or_default();
        if idle.len() < MAX_IDLE_PER_TARGET && now < usable_until && !connection.sender.is_closed()
        {
            idle.push(IdleConnection { sender: connection.sender, usable_until });
        }
    }

    /// Closes what is too old, and all that leads to targets that `is_known` does not name.
    pub fn evict(&mut self, now: Moment, is_known: impl Fn(u32) -> bool) {
        self.idle.retain(|tag, idle| {
            idle.retain(|idle| now < idle.usable_until && !idle.sender.is_closed());
            !idle.is_empty() && is_known(*tag)
        });
    }

    /// Closes the idle connections to one target.
    pub fn close_idle(&mut self, tag: u32) {
        self.idle.remove(&tag);
    }
}

/// Opens a connection.
pub async fn connect(addr: SocketAddr) -> Result<TargetConnection> {
    let unreachable = |error: io::Error| SendError::Unreachable(error.to_string().into());
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let stream = opened
        .map_err(|_| SendError::Unreachable("no answer in time".into()))?
        .map_err(unreachable)?;
    stream.set_nodelay(true).map_err(unreachable)?;
    let handshake = http1::Builder::new().max_buf_size(64 * 1024).handshake(TokioIo::new(stream));
    let (sender, connection) =
        handshake.await.map_err(|error| SendError::NotSent(error.to_string().into()))?;
    tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {addr}: {error}");
        }
    });
    Ok(TargetConnection { sender, reused: false })
}

impl TargetConnection {
    /// Sends a request and waits for the head of its answer.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        if let Err(error) = self.sender.ready().await {
            return Err(SendError::NotSent(error.to_string().into()));
        }
        match self.sender.try_send_request(req).await {
            Ok(response) => Ok(response),
            Err(mut failed) => match failed.take_message() {
                Some(_) => Err(SendError::NotSent(with_cause(failed.error()))),
                None => Err(SendError::Lost(with_cause(failed.error()))),
            },
        }
    }
}

/// Idle time that an answer allows its connection; zero where it is to be closed.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = |name: http::HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let closes = text(http::header::CONNECTION).is_some_and(|value| {
        value.split(',').any(|token| token.trim().eq_ignore_ascii_case("close"))
    });
    if closes {
        return Some(Duration::ZERO);
    }
    let keep_alive = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = keep_alive.split(',').find_map(|token| token.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
