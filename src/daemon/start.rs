//! The steps of a host's start.

use rand_chacha::ChaCha8Rng;
use tokio::{net::TcpListener, runtime::Runtime};
use xtra::Address;

use super::{
    DaemonParts, Error, NoTape, Result, Tape,
    control::{Control, ControlParts, Tick},
    probe::probe_all,
    traffic::{Traffic, TrafficParts},
};
use crate::{
    forward::Upstream,
    manifest::ManifestStore,
    membership::{Membership, MembershipLimits},
    metrics::{Metric, Metrics, Tags},
    prelude::*,
    routing::{Event, Router},
    settings::Settings,
    timeline::{EventSink, Recorder},
    timer::{Subscription, Timer, TokioTimer},
    trace::Setup,
    view::HostView,
};

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Time between two rounds over waiting requests.
const TRAFFIC_TICK: Duration = Duration::from_millis(20);

/// Time between two load reports of one target.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Time between two rounds of gauges.
const GAUGE_PERIOD: Duration = Duration::from_secs(1);

/// Opens the metrics of a host.
pub(super) fn metrics(settings: &Settings, own: &HostView) -> Result<Arc<dyn Metrics>> {
    let tags =
        Tags { host: own.id.clone(), member: settings.member.clone(), zone: own.zone.clone() };
    Ok(crate::metrics::open(settings.metrics, &tags)?)
}

/// Builds the traffic side; `seed` is that of its random choices alone, so that they replay.
pub(super) fn traffic(
    parts: &DaemonParts,
    own: &HostView,
    sink: Arc<dyn EventSink>,
    seed: u64,
) -> Arc<Traffic> {
    Traffic::new(TrafficParts {
        clock: parts.clock.clone(),
        member: parts.settings.member.clone(),
        peer_key: parts.peer_key.clone(),
        peers: parts.peers.clone(),
        seed,
        silence: parts.settings.ingress.idle_timeout(),
        sink,
        steer: Router::new(own.id.clone(), own.incarnation, parts.limits.clone()),
        tape: tape(parts, own, seed),
        targets: parts.targets.clone(),
    })
}

fn tape(parts: &DaemonParts, own: &HostView, seed: u64) -> Arc<dyn Tape> {
    let Some(record) = &parts.record else { return Arc::new(NoTape) };
    let (host, limits) = (own.id.clone(), parts.limits.clone());
    let setup = Setup { host, incarnation: own.incarnation, limits };
    Arc::new(record.track(seed, &setup))
}

/// Starts the control actor on the current runtime.
pub(super) fn control(
    parts: &DaemonParts,
    own: &HostView,
    recorder: &Arc<Recorder>,
    traffic: &Arc<Traffic>,
    rng: ChaCha8Rng,
) -> Result<Address<Control>> {
    let key = parts.settings.verifying_key()?;
    Ok(Control::spawn(ControlParts {
        clock: parts.clock.clone(),
        link: parts.link.clone(),
        member: parts.settings.member.clone(),
        membership: membership(own),
        platform: parts.platform.clone(),
        recorder: recorder.clone(),
        rng,
        seeds: parts.settings.peers.clone(),
        store: ManifestStore::new(parts.settings.member.clone(), key),
        traffic: traffic.clone(),
    }))
}

pub(super) fn runtime(name: &str, threads: usize) -> Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name(name)
        .worker_threads(threads.max(1))
        .build()
        .map_err(Error::Runtime)
}

pub(super) async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|source| Error::Bind { address, source })
}

pub(super) fn own_view(
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
    Membership::new(own.clone(), MembershipLimits::default()).with_start_time(millis)
}

pub(super) fn subscribe(
    control_rt: &Runtime,
    traffic_rt: &Runtime,
    control: &Address<Control>,
    traffic: &Arc<Traffic>,
    targets: Arc<dyn Upstream>,
) -> Vec<Subscription> {
    let control_timer = TokioTimer::new(control_rt.handle().clone());
    let traffic_timer = TokioTimer::new(traffic_rt.handle().clone());
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

/// Sends the host's gauges once a second.
pub(super) fn gauge(
    control_rt: &Runtime,
    traffic: &Arc<Traffic>,
    metrics: Arc<dyn Metrics>,
) -> Subscription {
    let traffic = traffic.clone();
    let timer = TokioTimer::new(control_rt.handle().clone());
    let send = move || {
        let (busy, usage) =
            traffic.with_steer(|steer, _| (steer.pending_calls(), steer.slot_usage()));
        metrics.gauge(Metric::InFlight, busy as f64, None);
        for row in usage {
            let free = row.slots.saturating_sub(row.busy);
            metrics.gauge(Metric::SlotsFree, f64::from(free), Some(&row.service));
        }
        if let Some(view) = traffic.view() {
            metrics.gauge(Metric::ManifestSequence, view.manifest.sequence as f64, None);
        }
        metrics.flush();
    };
    timer.every(GAUGE_PERIOD, Box::new(send))
}
