//! Start and stop of a host.

use std::sync::atomic::{AtomicBool, Ordering};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{net::TcpListener, runtime::Runtime};
use xtra::Address;

use super::{
    PeerLink, Tape,
    control::{AskSuccessors, Control, ControlHandler, ControlParts, Leave, Tick, follow_platform},
    http::routes,
    probe::probe_all,
    traffic::{Traffic, TrafficParts},
};
use crate::{
    forward::Upstream,
    ledger::SealedLedger,
    manifest::Store,
    membership::{Membership, MembershipLimits},
    peer::{HandoverChunk, PeerKeys, PeerServer},
    platform::Platform,
    prelude::*,
    settings::{Secret, Settings},
    steer::{Event, Steer, SteerLimits},
    timeline::{EventKind, EventSink, Recorder},
    timer::{Subscription, Timer, TokioTimer},
    view::HostView,
};

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Time between two rounds over waiting requests.
const TRAFFIC_TICK: Duration = Duration::from_millis(20);

/// Time between two load reports of one target.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Longest time that a planned stop waits for requests in flight.
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// How often a planned stop looks whether requests are still in flight.
const STOP_STEP: Duration = Duration::from_millis(20);

/// Time for peers and callers to learn that this host leaves, before it closes its sockets.
const LEAVE_NOTICE: Duration = Duration::from_millis(1500);

/// Bytes of one part of a sealed ledger.
const HANDOVER_PART: usize = 512 * 1024;

/// Result of a start.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a host did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("cannot listen on {address}: {source}; free the address or change the settings")]
    Bind { address: SocketAddr, source: std::io::Error },
    #[error("no threads could be started: {0}")]
    Runtime(std::io::Error),
    #[error("{0}")]
    Settings(#[from] crate::settings::Problem),
    #[error("the start was interrupted")]
    Stopped,
}

/// What a host is built from.
pub struct DaemonParts {
    pub clock: Arc<dyn Clock>,
    pub limits: SteerLimits,
    /// The way to other hosts' RPC servers.
    pub link: Arc<dyn PeerLink>,
    pub operator_token: Secret,
    pub peer_key: Secret,
    /// The way to other hosts' HTTP servers.
    pub peers: Arc<dyn Upstream>,
    pub platform: Arc<dyn Platform>,
    /// Makes this incarnation's number and the decisions' random choices.
    pub seed: u64,
    pub settings: Settings,
    pub tape: Arc<dyn Tape>,
    pub targets: Arc<dyn Upstream>,
    /// Events that the time line keeps.
    pub timeline: usize,
    /// Threads for traffic.
    pub traffic_threads: usize,
}

/// What a planned stop left.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopReport {
    /// Requests that were still running when the time was over.
    pub cut: usize,
    /// Ledger entries that no other host took over.
    pub entries_lost: usize,
}

/// A running host. Dropping the handle ends it at once, as a crash would.
pub struct Daemon {
    control: Address<Control>,
    http: SocketAddr,
    leaving: Arc<AtomicBool>,
    link: Arc<dyn PeerLink>,
    own: HostView,
    recorder: Arc<Recorder>,
    /// Held for its drop, which ends every task of the host.
    _runtimes: Runtimes,
    server: Option<PeerServer>,
    subscriptions: Vec<Subscription>,
    traffic: Arc<Traffic>,
}

/// One thread for control state, others for traffic.
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
    /// Starts a host: binds its sockets, asks platform and peers for the manifest, serves.
    pub async fn spawn(parts: DaemonParts) -> Result<Self> {
        let runtimes = Runtimes {
            control: Some(runtime("control", 1)?),
            traffic: Some(runtime("traffic", parts.traffic_threads)?),
        };
        let (Some(control_rt), Some(traffic_rt)) = (&runtimes.control, &runtimes.traffic) else {
            return Err(Error::Stopped);
        };
        let listener = traffic_rt.spawn(listen(parts.settings.http));
        let listener = listener.await.map_err(|_| Error::Stopped)??;
        let http = listener.local_addr().map_err(Error::Runtime)?;
        let handler = Arc::new(ControlHandler::default());
        let keys = PeerKeys {
            member: parts.settings.member.clone(),
            operator: parts.operator_token.clone(),
            peer: parts.peer_key.clone(),
        };
        let rpc = parts.settings.rpc;
        let bound = control_rt.spawn(PeerServer::bind(rpc, handler.clone(), keys));
        let server = bound.await.map_err(|_| Error::Stopped)?;
        let server = server.map_err(|source| Error::Bind { address: rpc, source })?;

        let mut rng = ChaCha8Rng::seed_from_u64(parts.seed);
        let own = own_view(&parts.settings, http, server.local_addr(), rng.random());
        let steer = Steer::new(own.id.clone(), own.incarnation, parts.limits.clone());
        let recorder = Arc::new(Recorder::new(
            parts.settings.member.clone(),
            own.id.clone(),
            own.incarnation,
            parts.timeline,
        ));
        recorder.record(None, EventKind::Started);
        let traffic = {
            let _context = traffic_rt.enter();
            Traffic::new(TrafficParts {
                clock: parts.clock.clone(),
                member: parts.settings.member.clone(),
                peer_key: parts.peer_key.clone(),
                peers: parts.peers.clone(),
                seed: rng.random(),
                sink: recorder.clone(),
                steer,
                tape: parts.tape.clone(),
                targets: parts.targets.clone(),
            })
        };
        let control = {
            let _context = control_rt.enter();
            let key = parts.settings.verifying_key()?;
            Control::spawn(ControlParts {
                clock: parts.clock.clone(),
                link: parts.link.clone(),
                member: parts.settings.member.clone(),
                membership: membership(&own),
                platform: parts.platform.clone(),
                recorder: recorder.clone(),
                rng,
                seeds: parts.settings.peers.clone(),
                store: Store::open(parts.settings.member.clone(), key),
                traffic: traffic.clone(),
            })
        };
        handler.connect(control.clone(), recorder.clone());
        let leaving = Arc::new(AtomicBool::new(false));
        let member = parts.settings.member.clone();
        let follow = follow_platform(control.clone(), parts.platform, member, leaving.clone());
        control_rt.spawn(follow);
        let app = routes(traffic.clone(), parts.settings.member.clone());
        traffic_rt.spawn(warp::serve(app).incoming(listener).run());
        let subscriptions = subscribe(control_rt, traffic_rt, &control, &traffic, parts.targets);
        Ok(Self {
            control,
            http,
            leaving,
            link: parts.link,
            own,
            recorder,
            _runtimes: runtimes,
            server: Some(server),
            subscriptions,
            traffic,
        })
    }

    /// Where callers are served.
    pub fn http_addr(&self) -> SocketAddr {
        self.http
    }

    /// Where peers and operators are served.
    pub fn rpc_addr(&self) -> SocketAddr {
        self.own.rpc
    }

    /// The host as its peers see it at the start.
    pub fn own(&self) -> &HostView {
        &self.own
    }

    /// The time line of this host.
    pub fn recorder(&self) -> &Arc<Recorder> {
        &self.recorder
    }

    /// The traffic side, for those that watch a host from within its process.
    pub(crate) fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Requests in flight.
    pub fn busy(&self) -> usize {
        self.traffic.with_steer(|steer, _| steer.busy())
    }

    /// Sequence of the manifest in force; `None` while the host does not serve.
    pub fn sequence(&self) -> Option<Sequence> {
        self.traffic.view().map(|view| view.manifest.sequence)
    }

    /// A planned stop: no new work, requests in flight end, a successor takes over the ledger.
    pub async fn stop(mut self) -> StopReport {
        self.leaving.store(true, Ordering::Relaxed);
        // Failed sends here and below mean that the control thread is gone; the rest goes on.
        let _ = self.control.send(Leave).await;
        let notice = tokio::time::sleep(LEAVE_NOTICE);
        let cut = self.wait_for_requests().await;
        let sealed = self.traffic.with_steer(Steer::seal);
        let entries = sealed.entries();
        let taken = entries == 0 || self.hand_over(&sealed).await;
        notice.await;
        let entries_lost = if taken { 0 } else { entries };
        if !taken {
            let entries = entries as u64;
            self.recorder.record(None, EventKind::HandoverLost { entries });
            log::error!("{entries} ledger entries are lost: no host of the member took them");
        }
        self.recorder.record(None, EventKind::Stopped);
        self.subscriptions.clear();
        if let Some(server) = self.server.take() {
            server.stop().await;
        }
        StopReport { cut, entries_lost }
    }

    async fn wait_for_requests(&self) -> usize {
        let waited = tokio::time::timeout(STOP_LIMIT, async {
            while 0 < self.busy() {
                tokio::time::sleep(STOP_STEP).await;
            }
        });
        if waited.await.is_ok() { 0 } else { self.busy() }
    }

    /// Offers the sealed ledger to one host after the other until one has it whole.
    async fn hand_over(&self, sealed: &SealedLedger) -> bool {
        let successors = self.control.send(AskSuccessors).await.unwrap_or_default();
        let parts = sealed.split(HANDOVER_PART);
        for host in successors {
            if !self.give(&host, &parts).await {
                continue;
            }
            let entries = sealed.entries() as u64;
            self.recorder.record(None, EventKind::HandoverDone { entries, to: host.id });
            return true;
        }
        false
    }

    async fn give(&self, host: &HostView, parts: &[crate::ledger::SealedPart]) -> bool {
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
                    log::warn!("{} did not take the ledger: {error}", host.id);
                    return false;
                }
            }
        }
        complete
    }
}

fn runtime(name: &str, threads: usize) -> Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name(name)
        .worker_threads(threads.max(1))
        .build()
        .map_err(Error::Runtime)
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|source| Error::Bind { address, source })
}

fn own_view(
    settings: &Settings,
    http: SocketAddr,
    rpc: SocketAddr,
    incarnation: Incarnation,
) -> HostView {
    HostView {
        address: settings.advertise_http.unwrap_or(http),
        adopted: Vec::new(),
        generation: 0,
        id: settings.host.clone(),
        incarnation,
        leaving: false,
        region: settings.region.clone(),
        rpc: settings.advertise_rpc.unwrap_or(rpc),
        zone: settings.zone.clone(),
    }
}

fn membership(own: &HostView) -> Membership {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let millis = u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or_default();
    Membership::new(own.clone(), MembershipLimits::default()).started_at(millis)
}

fn subscribe(
    control_rt: &Runtime,
    traffic_rt: &Runtime,
    control: &Address<Control>,
    traffic: &Arc<Traffic>,
    targets: Arc<dyn Upstream>,
) -> Vec<Subscription> {
    let control_timer = TokioTimer::open(control_rt.handle().clone());
    let traffic_timer = TokioTimer::open(traffic_rt.handle().clone());
    let (control, ticked, probed) = (control.clone(), traffic.clone(), traffic.clone());
    vec![
        control_timer.every(
            HEARTBEAT,
            Box::new(move || {
                let control = control.clone();
                // A tick that finds the actor gone has nothing left to do.
                tokio::spawn(async move { drop(control.send(Tick).await) });
            }),
        ),
        traffic_timer.every(TRAFFIC_TICK, Box::new(move || ticked.feed(Event::Tick))),
        traffic_timer.every(PROBE_PERIOD, Box::new(move || probe_all(&probed, &targets))),
    ]
}
