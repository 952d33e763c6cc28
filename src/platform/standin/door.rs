//! Addresses of the store's stand-in at which it can turn callers away while it serves others.

use std::{
    io,
    sync::atomic::{AtomicUsize, Ordering},
};

use http::Request;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::{
    net::TcpListener,
    sync::watch,
    task::{JoinHandle, JoinSet},
    time::sleep,
};

use super::store::{Reply, Shared, reply};
use crate::prelude::*;

/// How a door treats calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum DoorMode {
    #[default]
    Open,
    /// Sends each response this much later.
    Late(Duration),
    /// Answers new calls, and those that wait, with this status.
    Refuse(u16),
    /// Closes the connections of new calls, and of those that wait, without a response.
    Reset,
    /// Answers neither new calls nor those that wait, also when the door is open again.
    Silent,
    /// Answers new calls with this status. The responses to those that wait are sent once the door is
    /// open.
    Withhold(u16),
}

/// Another address of a store, at which it can turn callers away; stops when dropped.
pub struct StoreDoor {
    addr: SocketAddr,
    /// Number of calls that are being handled.
    calls: Arc<AtomicUsize>,
    control: watch::Sender<DoorMode>,
    task: JoinHandle<()>,
}

/// What the connections of a door share.
#[derive(Clone)]
pub(super) struct DoorState {
    calls: Arc<AtomicUsize>,
    mode: watch::Receiver<DoorMode>,
}

/// Counts a call until its response is ready or its caller has left.
struct PendingCall(Arc<AtomicUsize>);

/// A call whose connection is closed without a response.
#[derive(Debug, thiserror::Error)]
#[error("the store turned the caller away")]
struct TurnedAway;

impl DoorMode {
    /// Whether the store handles calls.
    fn is_open(self) -> bool {
        matches!(self, Self::Open | Self::Late(_))
    }
}

impl DoorState {
    /// A door, and what sets its mode.
    pub(super) fn open() -> (Self, watch::Sender<DoorMode>) {
        let (control, mode) = watch::channel(DoorMode::Open);
        (Self { calls: Arc::default(), mode }, control)
    }

    fn mode(&self) -> DoorMode {
        *self.mode.borrow()
    }

    /// Waits until the door is open, or closed. Never returns if its owner is gone.
    async fn wait_until(&mut self, is_open: bool) -> DoorMode {
        let found = self.mode.wait_for(|mode| mode.is_open() == is_open).await.map(|mode| *mode);
        match found {
            Ok(mode) => mode,
            Err(_) => std::future::pending().await,
        }
    }
}

impl PendingCall {
    fn new(calls: Arc<AtomicUsize>) -> Self {
        calls.fetch_add(1, Ordering::Relaxed);
        Self(calls)
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl StoreDoor {
    pub(super) async fn open(shared: Arc<Shared>) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let addr = listener.local_addr()?;
        let (state, control) = DoorState::open();
        let calls = state.calls.clone();
        let task = tokio::spawn(serve(listener, shared, state));
        Ok(Self { addr, calls, control, task })
    }

    /// Returns the address of this door.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether calls, such as watches, wait for their responses.
    pub fn has_pending_calls(&self) -> bool {
        0 < self.calls.load(Ordering::Relaxed)
    }

    /// Sets how calls through this door are treated from now on.
    pub fn set_mode(&self, mode: DoorMode) {
        self.control.send_replace(mode);
    }
}

impl Drop for StoreDoor {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves calls to the store through one of its addresses.
pub(super) async fn serve(listener: TcpListener, shared: Arc<Shared>, door: DoorState) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let (shared, door) = (shared.clone(), door.clone());
        connections.spawn(async move {
            let service = service_fn(|req| call(req, shared.clone(), door.clone()));
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!("store: {error}");
            }
        });
    }
}

async fn call(
    req: Request<Incoming>,
    shared: Arc<Shared>,
    mut door: DoorState,
) -> Result<Reply, TurnedAway> {
    let present = door.mode();
    if !present.is_open() {
        return turn_away(present).await;
    }
    let _pending = PendingCall::new(door.calls.clone());
    let mut answer = std::pin::pin!(shared.handle(req));
    // A change that comes after the door was closed must not be sent.
    let closing = tokio::select! {
        biased;
        closing = door.wait_until(false) => closing,
        answer = &mut answer => {
            if let DoorMode::Late(delay) = door.mode() {
                sleep(delay).await;
            }
            return Ok(answer);
        }
    };
    if let DoorMode::Withhold(_) = closing {
        let (answer, _) = tokio::join!(answer, door.wait_until(true));
        return Ok(answer);
    }
    turn_away(closing).await
}

async fn turn_away(mode: DoorMode) -> Result<Reply, TurnedAway> {
    match mode {
        DoorMode::Refuse(status) | DoorMode::Withhold(status) => Ok(reply(status, &Value::Null)),
        DoorMode::Reset => Err(TurnedAway),
        DoorMode::Late(_) | DoorMode::Open | DoorMode::Silent => std::future::pending().await,
    }
}
