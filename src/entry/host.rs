//! A running entry host: starts and stops its control side and its traffic thread.

use std::{
    cell::Cell,
    rc::Rc,
    sync::atomic::{AtomicBool, Ordering},
    thread::JoinHandle,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch},
    task::LocalSet,
};
use xtra::Address;

use super::{
    Connector, EntryControl, EntrySettings, Listen, MeasuredCell, Protocol, TrafficParts,
    TrafficState, ViewCell,
    capacity_gauges::report_capacity,
    control::{ControlParts, Datagram, HEARTBEAT_INTERVAL, Leave, Reload, StateQuery, Tick},
    listeners::{
        accept, lookup_response, readiness_response, serve_platform_connection, serve_requests,
        status_response,
    },
    reach_probe::probe_reach,
    served_relay::Sender,
    strain::StrainDetector,
    sync::{
        FULL_QUERY_TIMEOUT, MAX_CONCURRENT_RESPONSES, MAX_QUERY_BYTES, PeerClient, Query,
        STATE_PATH, max_full_responses,
    },
    traffic_state::BoundsCell,
};
use crate::{
    event_log::{Event, EventSink},
    fleet::Load,
    metrics::{EntryMetrics, MeteredEventSink},
    prelude::*,
    store::Platform,
};

/// Interval at which the traffic side updates its statistics.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between the stop signal and the end of the process. Callers learn from look-ups in
/// the meantime that the host is leaving.
const MIN_STOP_TIME: Duration = Duration::from_millis(2_500);

/// Margin between a planned end of the process and the end of the grace period, at which it would
/// be killed.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// Path and media type of the metrics.
const METRICS_PATH: &str = "/metrics";
const METRICS_MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Size of the largest datagram in bytes. A zone's report on hundreds of targets fits in one.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Result of opening a host.
pub type Result<T> = std::result::Result<T, OpenError>;

/// Why a host could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    #[error("cannot bind {listener} {addr}: {error}; free the address or change the settings")]
    Bind { addr: SocketAddr, error: std::io::Error, listener: &'static str },
    #[error("cannot create the HTTP client for other hosts: {0}")]
    Client(#[from] reqwest::Error),
    #[error("cannot start the host: {0}")]
    Start(#[from] std::io::Error),
}

/// Settings and dependencies of a host.
pub struct EntryParts {
    pub clock: Arc<dyn Clock>,
    /// Opens the connections to targets.
    pub connector: Arc<dyn Connector>,
    pub events: Arc<dyn EventSink>,
    /// Whether the host begins from what hosts learned earlier, and writes what it learns.
    pub learned_state: bool,
    pub protocol: Arc<dyn Protocol>,
    pub settings: EntrySettings,
    pub store: Arc<dyn Platform>,
}

/// Handle of a running host.
pub struct EntryHost {
    bounds: BoundsCell,
    control: Address<EntryControl>,
    shutdown_tx: watch::Sender<bool>,
    listen: Listen,
    traffic: JoinHandle<()>,
    stopped: oneshot::Receiver<()>,
}

impl EntryHost {
    /// Starts the host. The control side runs on the current runtime, the traffic side on a
    /// separate thread. `listen` returns the ports that were bound in place of port 0.
    pub async fn spawn(parts: EntryParts) -> Result<Self> {
        let mut settings = parts.settings;
        let listen = &mut settings.listen;
        let gossip = UdpSocket::bind(listen.gossip);
        let socket = gossip.await.map_err(|error| bind_error("gossip", listen.gossip, error))?;
        listen.gossip = socket.local_addr()?;
        let socket = Arc::new(socket);
        let state_listener = bind_listener("control", &mut listen.control).await?;
        let mut listeners = Listeners {
            callers: bind_listener("callers", &mut listen.callers).await?.into_std()?,
            lookups: bind_listener("look-ups", &mut listen.lookup).await?.into_std()?,
            ready: bind_listener("readiness", &mut listen.ready).await?.into_std()?,
            relay: match &mut listen.relay {
                Some(addr) => Some(bind_listener("relay", addr).await?.into_std()?),
                None => None,
            },
            reservations: None,
        };
        if let Some(addr) = listen.relay {
            listeners.reservations = bind_reservations(addr).await?;
        }
        let metrics_listener = match &mut settings.listen.metrics {
            Some(addr) => Some(bind_listener("metrics", addr).await?),
            None => None,
        };
        let metrics = Arc::new(EntryMetrics::default());
        let events: Arc<dyn EventSink> =
            Arc::new(MeteredEventSink::new(parts.events, metrics.clone()));
        let bounds: BoundsCell = Arc::new(ArcSwap::from_pointee(settings.bounds.clone()));
        let settings = Arc::new(settings);
        let view: ViewCell = Arc::new(ArcSwapOption::empty());
        let load = Arc::new(ArcSwap::from_pointee(Load::default()));
        let measured = parts.learned_state.then(MeasuredCell::default);
        let strained = Arc::new(AtomicBool::new(false));
        let reaches_targets = Arc::new(AtomicBool::new(true));
        let control = ControlParts {
            clock: parts.clock.clone(),
            events: events.clone(),
            measured: measured.clone(),
            metrics: metrics.clone(),
            protocol: parts.protocol.clone(),
            load: load.clone(),
            reaches_targets: reaches_targets.clone(),
            settings: settings.clone(),
            socket: socket.clone(),
            store: parts.store,
            strained: strained.clone(),
            view: view.clone(),
        };
        let control = EntryControl::spawn(control, PeerClient::open()?);
        tokio::task::spawn_local(receive_datagrams(socket, control.clone()));
        tokio::task::spawn_local(tick_control(parts.clock.clone(), control.clone()));
        let full_responses = Arc::new(Semaphore::new(max_full_responses(settings.capacity())));
        tokio::task::spawn_local(serve_state(state_listener, full_responses, control.clone()));
        if let Some(listener) = metrics_listener {
            tokio::task::spawn_local(serve_metrics(listener, metrics.clone(), events.clone()));
        }
        let (shutdown_tx, shutdown_rx) = watch::channel(false);
        let (tx, stopped) = oneshot::channel();
        let traffic = TrafficThread {
            bounds: bounds.clone(),
            clock: parts.clock,
            connector: parts.connector,
            events: events.clone(),
            metrics: metrics.clone(),
            protocol: parts.protocol,
            shutdown_rx,
            listeners,
            load,
            measured,
            reaches_targets,
            settings: settings.clone(),
            strained,
            view,
        };
        let builder = std::thread::Builder::new().name("traffic".into());
        let traffic = builder.spawn(move || {
            if let Err(error) = traffic.run() {
                log::error!("the traffic thread failed: {error}");
            }
            let _ = tx.send(());
        })?;
        let listen = settings.listen.clone();
        Ok(Self { bounds, control, shutdown_tx, listen, stopped, traffic })
    }

    /// Addresses of the listeners.
    pub fn listen(&self) -> &Listen {
        &self.listen
    }

    /// Applies new bounds, seeds and zones. Changes of other fields take effect at the next start.
    pub async fn reload(&self, settings: EntrySettings) {
        self.bounds.store(Arc::new(settings.bounds.clone()));
        if self.control.send(Reload(settings)).await.is_err() {
            log::error!("the control actor has stopped; new seeds and zones are not applied");
        }
    }

    /// Shuts down gracefully: announces the stop, finishes requests that are being served, and
    /// waits for the traffic thread to end.
    pub async fn stop(self) {
        if self.control.send(Leave).await.is_err() {
            log::error!(
                "the control actor has stopped; other hosts are not notified of the shutdown"
            );
        }
        let _ = self.shutdown_tx.send(true);
        let _ = self.stopped.await;
        if self.traffic.join().is_err() {
            log::error!("the traffic thread panicked");
        }
    }
}

fn bind_error(listener: &'static str, addr: SocketAddr, error: std::io::Error) -> OpenError {
    OpenError::Bind { addr, error, listener }
}

async fn bind_listener(listener: &'static str, addr: &mut SocketAddr) -> Result<TcpListener> {
    let bound =
        TcpListener::bind(*addr).await.map_err(|error| bind_error(listener, *addr, error))?;
    *addr = bound.local_addr()?;
    Ok(bound)
}

/// Binds the port of the relay listener for datagrams about reservations. Without it, the host
/// selects all targets itself.
async fn bind_reservations(addr: SocketAddr) -> Result<Option<std::net::UdpSocket>> {
    match UdpSocket::bind(addr).await {
        Ok(socket) => Ok(Some(socket.into_std()?)),
        Err(error) => {
            log::warn!("no reservations: cannot bind the UDP port {addr}: {error}");
            Ok(None)
        }
    }
}

/// Passes received datagrams to the control actor.
async fn receive_datagrams(socket: Arc<UdpSocket>, control: Address<EntryControl>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((size, _)) => {
                if control.send(Datagram(buf[..size].to_vec())).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                log::debug!("receiving a datagram failed: {error}");
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            }
        }
    }
}

/// Sends a tick to the control actor at each heartbeat.
async fn tick_control(clock: Arc<dyn Clock>, control: Address<EntryControl>) {
    let mut interval = tokio::time::interval(HEARTBEAT_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        let late = interval.tick().await.elapsed();
        let due = clock.now().saturating_sub(late);
        if control.send(Tick { due }).await.is_err() {
            return;
        }
    }
}

/// Answers other hosts' queries for the state of the store. Rejects queries beyond the concurrency
/// limit, and gives up on a query when its sender's timeout has passed.
async fn serve_state(
    listener: TcpListener,
    full_responses: Arc<Semaphore>,
    control: Address<EntryControl>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_RESPONSES));
    accept(listener, |stream| {
        let control = control.clone();
        let permit = permits.clone().try_acquire_owned().ok();
        let full_responses = full_responses.clone();
        async move {
            // Held until the response is sent.
            let full_permit = Cell::new(None);
            let response = async |req| match &permit {
                Some(_) => answer_state_query(&control, req, &full_responses, &full_permit).await,
                None => status_response(StatusCode::SERVICE_UNAVAILABLE),
            };
            if tokio::time::timeout(FULL_QUERY_TIMEOUT, serve_platform_connection(stream, response))
                .await
                .is_err()
            {
                log::debug!("a state query of another host timed out");
            }
        }
    })
    .await;
}

async fn answer_state_query(
    control: &Address<EntryControl>,
    req: Request<Incoming>,
    full_responses: &Arc<Semaphore>,
    full_permit: &Cell<Option<OwnedSemaphorePermit>>,
) -> Response<Full<Bytes>> {
    if req.uri().path() != STATE_PATH {
        return status_response(StatusCode::NOT_FOUND);
    }
    let body = Limited::new(req.into_body(), MAX_QUERY_BYTES).collect().await;
    let query = match body.map(|body| Query::decode(&body.to_bytes())) {
        Ok(Ok(query)) => query,
        _ => return status_response(StatusCode::BAD_REQUEST),
    };
    if query.is_full() {
        match full_responses.clone().try_acquire_owned() {
            Ok(permit) => full_permit.set(Some(permit)),
            Err(_) => return status_response(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
    let response = control.send(StateQuery(query)).await;
    let response = response.map_err(|error| error.to_string());
    match response.and_then(|response| response.map_err(|error| error.to_string())) {
        Ok(body) => Response::new(Full::new(body)),
        Err(error) => {
            log::error!("answering a state query failed: {error}");
            status_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Serves the metrics as text.
async fn serve_metrics(
    listener: TcpListener,
    metrics: Arc<EntryMetrics>,
    events: Arc<dyn EventSink>,
) {
    accept(listener, |stream| {
        let (metrics, events) = (metrics.clone(), events.clone());
        async move {
            serve_platform_connection(stream, async |req| scrape(&req, &metrics, &*events)).await
        }
    })
    .await;
}

fn scrape(
    req: &Request<Incoming>,
    metrics: &EntryMetrics,
    events: &dyn EventSink,
) -> Response<Full<Bytes>> {
    if req.uri().path() != METRICS_PATH {
        return status_response(StatusCode::NOT_FOUND);
    }
    match metrics.encode_text(events.dropped()) {
        Ok(text) => {
            let mut response = Response::new(Full::new(text.into()));
            let media_type = HeaderValue::from_static(METRICS_MEDIA_TYPE);
            response.headers_mut().insert(header::CONTENT_TYPE, media_type);
            response
        }
        Err(error) => {
            log::error!("encoding the metrics failed: {error}");
            status_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Bound sockets for the traffic thread.
struct Listeners {
    callers: std::net::TcpListener,
    lookups: std::net::TcpListener,
    ready: std::net::TcpListener,
    relay: Option<std::net::TcpListener>,
    /// Datagrams about reservations.
    reservations: Option<std::net::UdpSocket>,
}

/// State and dependencies of the traffic thread.
struct TrafficThread {
    bounds: BoundsCell,
    clock: Arc<dyn Clock>,
    connector: Arc<dyn Connector>,
    events: Arc<dyn EventSink>,
    metrics: Arc<EntryMetrics>,
    protocol: Arc<dyn Protocol>,
    shutdown_rx: watch::Receiver<bool>,
    listeners: Listeners,
    load: Arc<ArcSwap<Load>>,
    measured: Option<MeasuredCell>,
    reaches_targets: Arc<AtomicBool>,
    settings: Arc<EntrySettings>,
    strained: Arc<AtomicBool>,
    view: ViewCell,
}

impl TrafficThread {
    fn run(self) -> std::io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(LocalSet::new().run_until(self.serve()))
    }

    async fn serve(mut self) -> std::io::Result<()> {
        let callers_listener = TcpListener::from_std(self.listeners.callers)?;
        let ready_listener = TcpListener::from_std(self.listeners.ready)?;
        let lookup_listener = TcpListener::from_std(self.listeners.lookups)?;
        let state = TrafficState::new(TrafficParts {
            bounds: self.bounds,
            clock: self.clock,
            connector: self.connector,
            events: self.events,
            protocol: self.protocol,
            settings: self.settings.clone(),
            view: self.view,
        });
        let shutdown_rx = self.shutdown_rx.clone();
        let shared = state.clone();
        tokio::task::spawn_local(accept(callers_listener, move |stream| {
            serve_requests(shared.clone(), stream, Sender::Caller, shutdown_rx.clone())
        }));
        if let Some(listener) = self.listeners.relay {
            let (shared, shutdown_rx) = (state.clone(), self.shutdown_rx.clone());
            let listener = TcpListener::from_std(listener)?;
            tokio::task::spawn_local(accept(listener, move |stream| {
                serve_requests(shared.clone(), stream, Sender::Host, shutdown_rx.clone())
            }));
        }
        if let Some(socket) = self.listeners.reservations {
            let socket = UdpSocket::from_std(socket)?;
            tokio::task::spawn_local(state.clone().serve_reservations(socket));
        }
        let shared = state.clone();
        tokio::task::spawn_local(accept(ready_listener, move |stream| {
            let state = shared.clone();
            async move {
                serve_platform_connection(stream, async |req| readiness_response(&state, &req))
                    .await
            }
        }));
        let shared = state.clone();
        tokio::task::spawn_local(accept(lookup_listener, move |stream| {
            let state = shared.clone();
            async move {
                serve_platform_connection(stream, async |req| lookup_response(&state, &req)).await
            }
        }));
        tokio::task::spawn_local(report_capacity(state.clone(), self.metrics.clone()));
        let ticks = tick_traffic(state.clone(), self.load, self.measured, self.metrics);
        tokio::task::spawn_local(ticks);
        tokio::task::spawn_local(monitor_strain(state.clone(), self.strained));
        tokio::task::spawn_local(probe_reach(state.clone(), self.reaches_targets));
        let _ = self.shutdown_rx.wait_for(|is_stopping| *is_stopping).await;
        wait_until_idle(&state).await;
        Ok(())
    }
}

/// Updates the traffic side's state, its load report to other hosts and its metrics.
async fn tick_traffic(
    state: Rc<TrafficState>,
    load: Arc<ArcSwap<Load>>,
    measured: Option<MeasuredCell>,
    metrics: Arc<EntryMetrics>,
) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        state.tick();
        if let Some(measured) = &measured {
            state.exchange_learned_state(measured);
        }
        load.store(Arc::new(state.load()));
        metrics.set_traffic_gauges(state.figures());
    }
}

/// Detects by the delay of its own ticks that the traffic thread gets too little CPU time.
async fn monitor_strain(state: Rc<TrafficState>, strained: Arc<AtomicBool>) {
    let mut strain = StrainDetector::default();
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        if strain.record_tick(TICK_INTERVAL, state.clock.now()) {
            let delay_ms = strain.mean_delay().as_millis() as u64;
            let is_strained = strain.is_strained();
            strained.store(is_strained, Ordering::Relaxed);
            state.is_strained.set(is_strained);
            state.events.record(None, Event::StrainChanged { delay_ms, is_strained });
        }
    }
}

/// Waits until no connection is open, or until the grace period is about to end.
async fn wait_until_idle(state: &TrafficState) {
    let started = state.clock.now();
    state.shutdown_started_at.set(Some(started));
    let grace_ms = state.bounds().grace.as_millis() as u64;
    state.events.record(None, Event::Stopping { grace_ms, open: state.open_connections.get() });
    let deadline = started + state.bounds().grace.saturating_sub(KILL_MARGIN);
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        let now = state.clock.now();
        let is_idle =
            state.open_connections.get() == 0 && MIN_STOP_TIME <= now.saturating_sub(started);
        if is_idle || deadline <= now {
            let took_ms = now.saturating_sub(started).as_millis() as u64;
            let open = state.open_connections.get();
            return state.events.record(None, Event::Stopped { open, took_ms });
        }
    }
}
