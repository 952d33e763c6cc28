//! Starts and stops a host.

use std::sync::atomic::{AtomicBool, Ordering};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::runtime::Runtime;
use xtra::Address;

use super::{
    PeerLink,
    control::{ControlActor, ControlHandler, GetSuccessors, Leave, follow_platform},
    http::routes,
    start,
    traffic::TrafficHandler,
};
use crate::{
    forward::Upstream,
    ingress::{self, BodyMemory},
    ledger::SealedLedger,
    metrics::{self, MeteredTimelineSink},
    peer::{HandoverChunk, PeerCredentials, PeerServer},
    prelude::*,
    routing::{Event, RouterLimits},
    settings::{Secret, Settings},
    store::Platform,
    timeline::{EventKind, EventSink, Recorder},
    timer::Subscription,
    trace::SteerRecorder,
    view::HostView,
};

/// Longest time that a planned stop waits for requests in flight.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// How often a planned stop checks whether requests are still in flight.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for peers and callers to learn that this host is leaving, before it closes its sockets.
const LEAVE_NOTICE_TIME: Duration = Duration::from_millis(1500);

/// Time for the last responses to be written: a request counts as ended once its response is handed
/// to the HTTP server, and an immediate exit would truncate that response.
const RESPONSE_FLUSH_TIME: Duration = Duration::from_millis(250);

/// Largest part of a sealed ledger that is sent at once.
const HANDOVER_PART_BYTES: usize = 512 * 1024;

/// Result of a start.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a host did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("cannot listen on {address}: {source}; free the address or change the settings")]
    Bind { address: SocketAddr, source: std::io::Error },
    #[error("{0}")]
    Metrics(#[from] metrics::MetricsError),
    #[error("cannot start the runtime: {0}")]
    Runtime(std::io::Error),
    #[error("{0}")]
    Settings(#[from] crate::settings::Problem),
    #[error("the start was interrupted")]
    Interrupted,
}

/// What a host is built from.
pub struct DaemonConfig {
    pub clock: Arc<dyn Clock>,
    pub limits: RouterLimits,
    /// Calls other hosts' RPC servers.
    pub link: Arc<dyn PeerLink>,
    pub operator_token: Secret,
    pub peer_key: Secret,
    /// Sends requests to other hosts' HTTP servers.
    pub peers: Arc<dyn Upstream>,
    pub platform: Arc<dyn Platform>,
    /// Seeds this incarnation's number and the random choices of the router and the control actor.
    pub seed: u64,
    pub settings: Settings,
    /// Records the router's decisions for replay, if set.
    pub trace_recorder: Option<SteerRecorder>,
    pub targets: Arc<dyn Upstream>,
    /// Number of events that the time line keeps.
    pub timeline_capacity: usize,
    /// Number of threads that handle requests.
    pub traffic_threads: usize,
}

/// What a planned stop left unfinished.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopReport {
    /// Requests that were still in flight after `STOP_TIMEOUT`.
    pub interrupted: usize,
    /// Ledger entries that no other host adopted.
    pub entries_lost: usize,
}

/// A running host. Dropping the handle ends it immediately, like a crash.
pub struct Daemon {
    control: Address<ControlActor>,
    http: SocketAddr,
    leaving: Arc<AtomicBool>,
    link: Arc<dyn PeerLink>,
    own: HostView,
    recorder: Arc<Recorder>,
    /// Held because dropping it ends every task of the host.
    _runtimes: Runtimes,
    server: Option<PeerServer>,
    subscriptions: Vec<Subscription>,
    traffic: Arc<TrafficHandler>,
}

/// One thread for the control actor, the others for requests.
struct Runtimes {
    control: Option<Runtime>,
    traffic: Option<Runtime>,
}

impl Drop for Runtimes {
    fn drop(&mut self) {
        for runtime in [self.control.take(), self.traffic.take()].into_iter().flatten() {
            runtime.shutdown_background();
        }
    }
}

impl Daemon {
    /// Starts a host: binds its sockets, fetches the manifest from the platform or from peers, and
    /// serves.
    pub async fn spawn(config: DaemonConfig) -> Result<Self> {
        let runtimes = Runtimes {
            control: Some(start::build_runtime("control", 1)?),
            traffic: Some(start::build_runtime("traffic", config.traffic_threads)?),
        };
        let (Some(control_rt), Some(traffic_rt)) = (&runtimes.control, &runtimes.traffic) else {
            return Err(Error::Interrupted);
        };
        let listener = traffic_rt.spawn(start::bind(config.settings.http));
        let listener = listener.await.map_err(|_| Error::Interrupted)??;
        let http = listener.local_addr().map_err(Error::Runtime)?;
        let handler = Arc::new(ControlHandler::default());
        let keys = PeerCredentials {
            member: config.settings.member.clone(),
            operator: config.operator_token.clone(),
            peer: config.peer_key.clone(),
        };
        let rpc = config.settings.rpc;
        let bound = control_rt.spawn(PeerServer::bind(rpc, handler.clone(), keys));
        let server = bound.await.map_err(|_| Error::Interrupted)?;
        let server = server.map_err(|source| Error::Bind { address: rpc, source })?;

        let mut rng = ChaCha8Rng::seed_from_u64(config.seed);
        let own = start::own_view(&config.settings, http, server.local_addr(), rng.random());
        let recorder = Arc::new(Recorder::new(
            config.settings.member.clone(),
            own.id.clone(),
            own.incarnation,
            config.timeline_capacity,
        ));
        let metrics = start::open_metrics(&config.settings, &own)?;
        let sink: Arc<dyn EventSink> =
            Arc::new(MeteredTimelineSink::new(recorder.clone(), metrics.clone()));
        sink.record(None, EventKind::Started);
        let traffic = {
            let _context = traffic_rt.enter();
            start::build_traffic(&config, &own, sink, rng.random())
        };
        // The boot clock may already show days, so this tick makes the ledger open the generation
        // of the current time before any is published. Bookings bound to the generation of time
        // zero would all be dropped.
        traffic.handle_event(Event::Tick);
        let generation = traffic.with_router(|router, _| router.binding().generation);
        let own = HostView { generation, ..own };
        let control = {
            let _context = control_rt.enter();
            start::spawn_control(&config, &own, &recorder, &traffic, rng)?
        };
        handler.connect(control.clone(), recorder.clone());
        let leaving = Arc::new(AtomicBool::new(false));
        let member = config.settings.member.clone();
        let follow = follow_platform(control.clone(), config.platform, member, leaving.clone());
        control_rt.spawn(follow);
        let limits = config.settings.ingress;
        let memory = BodyMemory::new(limits);
        let app = warp::service(routes(traffic.clone(), config.settings.member.clone(), memory));
        traffic_rt.spawn(ingress::serve(listener, app, limits, metrics.clone()));
        let mut subscriptions =
            start::start_timers(control_rt, traffic_rt, &control, &traffic, config.targets);
        subscriptions.push(start::start_gauges(control_rt, &traffic, metrics));
        Ok(Self {
            control,
            http,
            leaving,
            link: config.link,
            own,
            recorder,
            _runtimes: runtimes,
            server: Some(server),
            subscriptions,
            traffic,
        })
    }

    /// The address of the HTTP server for callers.
    pub fn http_addr(&self) -> SocketAddr {
        self.http
    }

    /// The address of the RPC server for peers and operators.
    pub fn rpc_addr(&self) -> SocketAddr {
        self.own.rpc
    }

    /// The host as its peers see it after its start.
    pub fn view(&self) -> &HostView {
        &self.own
    }

    /// The time line of this host.
    pub fn recorder(&self) -> &Arc<Recorder> {
        &self.recorder
    }

    /// The request handler, for observers in the same process.
    pub(crate) fn traffic(&self) -> &Arc<TrafficHandler> {
        &self.traffic
    }

    /// The number of requests in flight.
    pub fn pending_requests(&self) -> usize {
        self.traffic.with_router(|router, _| router.pending_calls())
    }

    /// Sequence of the manifest in force; `None` until one is.
    pub fn sequence(&self) -> Option<Sequence> {
        self.traffic.view().map(|view| view.manifest.sequence)
    }

    /// Stops the host gracefully: refuses new requests, waits for those in flight, and hands the
    /// ledger over to a successor.
    pub async fn stop(mut self) -> StopReport {
        self.leaving.store(true, Ordering::Relaxed);
        // Failed sends here and below mean that the control actor is gone; the stop continues.
        let _ = self.control.send(Leave).await;
        let notice = tokio::time::sleep(LEAVE_NOTICE_TIME);
        let interrupted = self.wait_for_requests().await;
        let sealed = self.traffic.seal();
        let entries = sealed.entry_count();
        // An empty ledger is handed over too, since it proves that nothing ran here. Otherwise all
        // other hosts would report a booking that was in transit to this host as `unknown`.
        let handed_over = self.hand_over(&sealed).await || entries == 0;
        notice.await;
        tokio::time::sleep(RESPONSE_FLUSH_TIME).await;
        let entries_lost = if handed_over { 0 } else { entries };
        if !handed_over {
            let entries = entries as u64;
            self.recorder.record(None, EventKind::HandoverLost { entries });
            log::error!(
                "{entries} ledger entries lost: no host of the member accepted the handover"
            );
        }
        self.recorder.record(None, EventKind::Stopped);
        self.subscriptions.clear();
        if let Some(server) = self.server.take() {
            server.stop().await;
        }
        StopReport { interrupted, entries_lost }
    }

    async fn wait_for_requests(&self) -> usize {
        let waited = tokio::time::timeout(STOP_TIMEOUT, async {
            while 0 < self.pending_requests() {
                tokio::time::sleep(STOP_POLL_INTERVAL).await;
            }
        });
        if waited.await.is_ok() { 0 } else { self.pending_requests() }
    }

    /// Sends the sealed ledger to one host after the other until one has received all of it.
    async fn hand_over(&self, sealed: &SealedLedger) -> bool {
        let successors = self.control.send(GetSuccessors).await.unwrap_or_default();
        let parts = sealed.split(HANDOVER_PART_BYTES);
        for host in successors {
            if !self.send_ledger(&host, &parts).await {
                continue;
            }
            let entries = sealed.entry_count() as u64;
            self.recorder.record(None, EventKind::HandoverDone { entries, to: host.id });
            return true;
        }
        false
    }

    async fn send_ledger(&self, host: &HostView, parts: &[crate::ledger::SealedPart]) -> bool {
        let mut complete = false;
        for part in parts {
            let chunk = HandoverChunk {
                from: self.own.id.clone(),
                incarnation: self.own.incarnation,
                part: part.clone(),
            };
            match self.link.handover(host.rpc, &chunk).await {
                Ok(ack) => complete = ack.complete,
                Err(error) => {
                    log::warn!("ledger handover to host {} failed: {error}", host.id);
                    return false;
                }
            }
        }
        complete
    }
}
