//! Connections to targets, and to hosts that serve requests for this one.
//!
//! Uses the connection-level client of `hyper` rather than `reqwest`, which hides whether a
//! request's bytes were written, which connection carried it and what followed a response.

use std::{
    collections::HashMap,
    hash::Hash,
    io,
    rc::Rc,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;

use super::{
    Connector,
    carried_ids::CarriedIds,
    head_bound::{HeadBound, MAX_READ_BYTES, StreamState},
};
use crate::{
    base::with_root_cause,
    event_log::ConnectionUse,
    prelude::*,
    response_framing::{BrokenResponse, CheckedStream},
};

/// A round trip between regions takes 110 ms, and a lost packet is sent again after 200 ms or more.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);

/// How long before the target's own idle timeout a connection is no longer used: a request sent
/// while the target closes the connection would be lost.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);

/// Idle timeout assumed for a target that does not state one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Most idle connections kept per server; more than a target's slots would never be used.
const MAX_IDLE_PER_SERVER: usize = 4;

/// Number of connections that this process has opened.
static OPENED: AtomicU64 = AtomicU64::new(0);

/// Result of connecting to a target or sending it a request.
pub type Result<T> = std::result::Result<T, SendError>;

/// Why there is no response.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was written, so it has not run.
    #[error("not sent: {0}")]
    NotSent(Arc<str>),
    /// The address refuses connections or does not answer in time.
    #[error("cannot connect: {0}")]
    Unreachable(Arc<str>),
    /// The request may have run.
    #[error("no response after the request was sent: {0}")]
    Lost(Arc<str>),
    /// The server has responded, but not with a response to rely on. The request may have run.
    #[error("{0}")]
    Broken(BrokenResponse),
}

/// A connection to a target that is in use.
pub struct TargetConnection {
    /// Tells the stream whether the next response answers a `HEAD` request.
    answers_head: Arc<AtomicBool>,
    carried: CarriedIds,
    /// Number of the connection in this process, from 1.
    number: u64,
    sender: http1::SendRequest<Full<Bytes>>,
    stream: Rc<StreamState>,
    /// Whether the connection was used for an earlier request.
    pub reused: bool,
}

/// The use of a connection for one request, to be logged at its end.
pub struct RequestUse {
    connection: u64,
    request: u64,
    stream: Rc<StreamState>,
    written_before: u64,
}

impl RequestUse {
    /// Describes the use so far.
    pub fn describe(&self) -> ConnectionUse {
        ConnectionUse {
            number: self.connection,
            request: self.request,
            written: self.stream.written.get() - self.written_before,
        }
    }
}

/// Idle connections, by the tag of a target or the address of a host.
pub struct ConnectionPool<K> {
    idle: HashMap<K, Vec<IdleConnection>>,
}

impl<K> Default for ConnectionPool<K> {
    fn default() -> Self {
        Self { idle: HashMap::new() }
    }
}

struct IdleConnection {
    connection: TargetConnection,
    usable_until: Moment,
}

impl<K: Copy + Eq + Hash> ConnectionPool<K> {
    /// Takes the most recently used connection that is still open and may carry a request with this
    /// id.
    pub fn take(
        &mut self,
        server: K,
        id: Option<&RequestId>,
        now: Moment,
    ) -> Option<TargetConnection> {
        let idle = self.idle.get_mut(&server)?;
        for at in (0..idle.len()).rev() {
            let IdleConnection { connection, usable_until } = &idle[at];
            if *usable_until <= now || !connection.sender.is_ready() {
                idle.remove(at);
            } else if connection.carried.may_add(id) {
                return Some(TargetConnection { reused: true, ..idle.remove(at).connection });
            }
        }
        None
    }

    /// Returns a connection to the pool after its last response was read completely.
    pub fn put(
        &mut self,
        server: K,
        connection: TargetConnection,
        keep_alive: Option<Duration>,
        now: Moment,
    ) {
        let usable_until =
            now + keep_alive.unwrap_or(DEFAULT_IDLE_TIMEOUT).saturating_sub(IDLE_MARGIN);
        let idle = self.idle.entry(server).or_default();
        if idle.len() < MAX_IDLE_PER_SERVER && now < usable_until && !connection.sender.is_closed()
        {
            idle.push(IdleConnection { connection, usable_until });
        }
    }

    /// Closes expired connections, and all connections to servers that are no longer known.
    pub fn evict(&mut self, now: Moment, is_known: impl Fn(K) -> bool) {
        self.idle.retain(|server, idle| {
            idle.retain(|idle| now < idle.usable_until && !idle.connection.sender.is_closed());
            !idle.is_empty() && is_known(*server)
        });
    }

    /// Closes all idle connections.
    pub fn clear(&mut self) {
        self.idle.clear();
    }

    /// Closes all idle connections to one server.
    pub fn close_idle(&mut self, server: K) {
        self.idle.remove(&server);
    }
}

/// Opens a connection to a target.
pub async fn connect(connector: &dyn Connector, addr: SocketAddr) -> Result<TargetConnection> {
    let unreachable = |error: io::Error| SendError::Unreachable(error.to_string().into());
    let result = tokio::time::timeout(CONNECT_TIMEOUT, connector.connect(addr)).await;
    let stream = result
        .map_err(|_| SendError::Unreachable("connect timed out".into()))?
        .map_err(unreachable)?;
    let answers_head = Arc::<AtomicBool>::default();
    let stream = CheckedStream::new(stream, answers_head.clone());
    let (stream, state) = HeadBound::new(Box::new(stream));
    let handshake =
        http1::Builder::new().max_buf_size(MAX_READ_BYTES).handshake(TokioIo::new(stream));
    let (sender, connection) =
        handshake.await.map_err(|error| SendError::NotSent(error.to_string().into()))?;
    tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to target {addr} failed: {error}");
        }
    });
    let number = 1 + OPENED.fetch_add(1, Ordering::Relaxed);
    let carried = CarriedIds::default();
    Ok(TargetConnection { answers_head, carried, number, sender, stream: state, reused: false })
}

impl TargetConnection {
    /// The use of the connection for the next request.
    pub fn next_use(&self) -> RequestUse {
        RequestUse {
            connection: self.number,
            request: 1 + self.carried.len() as u64,
            stream: self.stream.clone(),
            written_before: self.stream.written.get(),
        }
    }

    /// Sends a request with this id and waits for the head of the response.
    pub async fn send(
        &mut self,
        id: Option<&RequestId>,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>> {
        self.carried.add(id);
        if let Err(error) = self.sender.ready().await {
            return Err(SendError::NotSent(error.to_string().into()));
        }
        self.answers_head.store(req.method() == Method::HEAD, Ordering::Relaxed);
        self.stream.head_awaited.set(Some(self.carried.len()));
        let sent = self.sender.try_send_request(req).await;
        self.stream.head_awaited.set(None);
        match sent {
            Ok(response) => Ok(response),
            Err(mut failed) => match failed.take_message() {
                Some(_) => Err(SendError::NotSent(with_root_cause(failed.error()))),
                None => Err(match BrokenResponse::find_in(failed.error()) {
                    Some(broken) => SendError::Broken(broken),
                    None => SendError::Lost(with_root_cause(failed.error())),
                }),
            },
        }
    }
}

/// Idle timeout that a response states for its connection: zero if the connection is to be closed,
/// `None` if the response does not say.
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
