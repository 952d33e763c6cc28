//! Builds the parts of a host and starts its timers.

use rand_chacha::ChaCha8Rng;
use tokio::{net::TcpListener, runtime::Runtime};
use xtra::Address;

use super::{
    DaemonConfig, DecisionRecorder, Error, NoRecorder, Result,
    control::{ControlActor, ControlDependencies, Tick},
    probe::probe_all,
    traffic::{TrafficDependencies, TrafficHandler},
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

/// Time between two ticks of the control actor.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two ticks of the router.
const ROUTER_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two probes of one target.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two updates of the gauges.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Opens the metrics of a host.
pub(super) fn open_metrics(settings: &Settings, own: &HostView) -> Result<Arc<dyn Metrics>> {
    let tags =
        Tags { host: own.id.clone(), member: settings.member.clone(), zone: own.zone.clone() };
    Ok(crate::metrics::open(settings.metrics, &tags)?)
}

/// Builds the request handler. `seed` is for the router's random choices alone, so that a recording
/// can be replayed.
pub(super) fn build_traffic(
    config: &DaemonConfig,
    own: &HostView,
    sink: Arc<dyn EventSink>,
    seed: u64,
) -> Arc<TrafficHandler> {
    TrafficHandler::new(TrafficDependencies {
        clock: config.clock.clone(),
        member: config.settings.member.clone(),
        peer_key: config.peer_key.clone(),
        peers: config.peers.clone(),
        seed,
        idle_timeout: config.settings.ingress.idle_timeout(),
        sink,
        router: Router::new(own.id.clone(), own.incarnation, config.limits.clone()),
        decision_recorder: decision_recorder(config, own, seed),
        targets: config.targets.clone(),
    })
}

fn decision_recorder(
    config: &DaemonConfig,
    own: &HostView,
    seed: u64,
) -> Arc<dyn DecisionRecorder> {
    let Some(recorder) = &config.trace_recorder else { return Arc::new(NoRecorder) };
    let (host, limits) = (own.id.clone(), config.limits.clone());
    let setup = Setup { host, incarnation: own.incarnation, limits };
    Arc::new(recorder.track(seed, &setup))
}

/// Starts the control actor on the current runtime.
pub(super) fn spawn_control(
    config: &DaemonConfig,
    own: &HostView,
    recorder: &Arc<Recorder>,
    traffic: &Arc<TrafficHandler>,
    rng: ChaCha8Rng,
) -> Result<Address<ControlActor>> {
    let key = config.settings.verifying_key()?;
    Ok(ControlActor::spawn(ControlDependencies {
        clock: config.clock.clone(),
        link: config.link.clone(),
        member: config.settings.member.clone(),
        membership: new_membership(own),
        platform: config.platform.clone(),
        recorder: recorder.clone(),
        rng,
        seeds: config.settings.peers.clone(),
        store: ManifestStore::new(config.settings.member.clone(), key),
        traffic: traffic.clone(),
    }))
}

pub(super) fn build_runtime(name: &str, threads: usize) -> Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name(name)
        .worker_threads(threads.max(1))
        .build()
        .map_err(Error::Runtime)
}

pub(super) async fn bind(address: SocketAddr) -> Result<TcpListener> {
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

fn new_membership(own: &HostView) -> Membership {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let millis = u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or_default();
    Membership::new(own.clone(), MembershipLimits::default()).with_start_time(millis)
}

pub(super) fn start_timers(
    control_rt: &Runtime,
    traffic_rt: &Runtime,
    control: &Address<ControlActor>,
    traffic: &Arc<TrafficHandler>,
    targets: Arc<dyn Upstream>,
) -> Vec<Subscription> {
    let control_timer = TokioTimer::new(control_rt.handle().clone());
    let traffic_timer = TokioTimer::new(traffic_rt.handle().clone());
    let (control, ticked, probed) = (control.clone(), traffic.clone(), traffic.clone());
    vec![
        control_timer.every(
            HEARTBEAT_INTERVAL,
            Box::new(move || {
                let control = control.clone();
                // A failed send means that the host is stopping.
                tokio::spawn(async move { drop(control.send(Tick).await) });
            }),
        ),
        traffic_timer
            .every(ROUTER_TICK_INTERVAL, Box::new(move || ticked.handle_event(Event::Tick))),
        traffic_timer.every(PROBE_INTERVAL, Box::new(move || probe_all(&probed, &targets))),
    ]
}

/// Sends the host's gauges every `GAUGE_INTERVAL`.
pub(super) fn start_gauges(
    control_rt: &Runtime,
    traffic: &Arc<TrafficHandler>,
    metrics: Arc<dyn Metrics>,
) -> Subscription {
    let traffic = traffic.clone();
    let timer = TokioTimer::new(control_rt.handle().clone());
    let send = move || {
        let (in_flight, usage) =
            traffic.with_router(|router, _| (router.pending_calls(), router.slot_usage()));
        metrics.gauge(Metric::InFlight, in_flight as f64, None);
        for row in usage {
            let free = row.slots.saturating_sub(row.busy);
            metrics.gauge(Metric::SlotsFree, f64::from(free), Some(&row.service));
        }
        if let Some(view) = traffic.view() {
            metrics.gauge(Metric::ManifestSequence, view.manifest.sequence as f64, None);
        }
        metrics.flush();
    };
    timer.every(GAUGE_INTERVAL, Box::new(send))
}
