//! The control side of an entry host: one actor that owns what the host believes.

mod handlers;
mod messages;
mod peering;
mod store_updates;

use std::{
    collections::HashMap,
    sync::atomic::{AtomicBool, Ordering},
};

use arc_swap::ArcSwap;
use tokio::{net::UdpSocket, sync::mpsc};
use xtra::{Address, Mailbox, WeakAddress};

pub use self::messages::{
    Datagram, HostRecordWritten, HostRecordsRead, Leave, PeerQueryResult, Reload, StateQuery,
    StoreUpdate, Tick,
};

use self::peering::{FIRST_LIST_HOSTS_DELAY, FIRST_REGISTER_DELAY};
use super::{
    EntrySettings, KnownState, LiveHost, Protocol, StorePart, View, ViewCell,
    peer_queries::PeerQueries,
    stale_records::StaleRecordTracker,
    sync::{PeerClient, RawObjects, ResponseCache},
    watcher_election::WatcherElection,
};
use crate::{
    event_log::{Event, EventSink, WatchReason},
    fleet::{DeclarationCheck, Fleet, FleetConfig, Load},
    metrics::{ControlFigures, EntryMetrics},
    prelude::*,
    store::{FollowPace, Followed, Follower, Platform},
};

/// Messages that may wait for the actor; past it senders wait.
const MAILBOX_CAPACITY: usize = 256;

/// Time between heartbeats to hosts of the own zone, and between reports of a zone: hosts of a region
/// share targets, and what is in attempt there bounds the wait.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Updates of one part that may wait for the actor.
const MAX_QUEUED_UPDATES: usize = 16;

/// How often the store is asked. Hosts tell each other when one of them has seen more, so nothing
/// has to be compared. Each watch is a call; the wait bounds how long one is believed whose answer was
/// lost on a connection that lives, which the client's keep-alive probes do not show.
///
/// A new host lists at once, so that it can serve, but watches only when it has had time to hear of
/// others that do: heartbeats come every 100 ms, a new host's probes every 200 ms.
const FOLLOW_PACE: FollowPace = FollowPace {
    after_list: Duration::from_millis(600),
    compare_every: Duration::from_secs(86_400),
    first_may_lag: true,
    settle: Duration::from_millis(300),
    wait: Duration::from_secs(5),
};

/// Pause of a region's second watcher after a change. Targets come and go all the time in a large
/// fleet, and what the first one has told already need not be fetched at once again.
const STANDBY_SETTLE: Duration = Duration::from_secs(1);

/// What the control side is built from.
pub struct ControlParts {
    pub clock: Arc<dyn Clock>,
    pub events: Arc<dyn EventSink>,
    pub load: Arc<ArcSwap<Load>>,
    pub metrics: Arc<EntryMetrics>,
    pub protocol: Arc<dyn Protocol>,
    pub settings: Arc<EntrySettings>,
    pub socket: Arc<UdpSocket>,
    pub store: Arc<dyn Platform>,
    /// Whether the traffic side gets too little of the processor.
    pub strained: Arc<AtomicBool>,
    pub view: ViewCell,
}

/// The actor's state.
pub struct EntryControl {
    fleet: Fleet,
    peer_client: PeerClient,
    known_state: KnownState,
    /// When the store last confirmed to this host that its declaration is the latest.
    declaration_checked_at: Option<Moment>,
    response_cache: ResponseCache,
    register_at: Option<Moment>,
    /// The tasks that follow the store, while this host watches.
    followers: Vec<FollowTask>,
    leaving: bool,
    /// Parts of the store that do not answer, and since when.
    lost_parts: BTreeMap<StorePart, Moment>,
    parts: ControlParts,
    peer_queries: PeerQueries,
    raw_objects: RawObjects,
    stale_records: StaleRecordTracker,
    list_hosts_at: Moment,
    /// When the store's word last came, by itself or another host.
    state_received_at: Moment,
    election: WatcherElection,
}

/// A follower, and the task that passes on what it tells; both end when dropped.
struct FollowTask {
    follower: Follower,
    forwarder: tokio::task::AbortHandle,
}

impl Drop for FollowTask {
    fn drop(&mut self) {
        self.forwarder.abort();
    }
}

impl EntryControl {
    /// Starts the actor on the current runtime.
    pub fn spawn(parts: ControlParts, peer_client: PeerClient) -> Address<Self> {
        let now = parts.clock.now();
        let fleet = Fleet::new(fleet_config(&parts.settings));
        let control = Self {
            fleet,
            peer_client,
            known_state: KnownState::default(),
            declaration_checked_at: None,
            response_cache: ResponseCache::default(),
            register_at: Some(now + FIRST_REGISTER_DELAY),
            followers: Vec::new(),
            leaving: false,
            lost_parts: BTreeMap::new(),
            peer_queries: PeerQueries::new(parts.settings.listen.control),
            raw_objects: BTreeMap::new(),
            stale_records: StaleRecordTracker::default(),
            list_hosts_at: now + FIRST_LIST_HOSTS_DELAY,
            state_received_at: now,
            election: WatcherElection::new(now),
            parts,
        };
        xtra::spawn_tokio(control, Mailbox::bounded(MAILBOX_CAPACITY))
    }

    /// Records an event of the host itself.
    fn record_event(&self, event: Event) {
        self.parts.events.record(None, event);
    }

    fn now(&self) -> Moment {
        self.parts.clock.now()
    }

    /// Publishes what the traffic side decides with.
    fn publish_view(&mut self) {
        let now = self.now();
        let settings = &self.parts.settings;
        let declaration = self.known_state.declaration().cloned();
        let targets = self.known_state.usable_targets().clone();
        let declaration_checked_at = self.latest_declaration_check(now);
        let mut view = View {
            published_at: now,
            declaration,
            declaration_checked_at,
            targets,
            ..View::default()
        };
        if !self.leaving {
            view.hosts.push(LiveHost {
                callers: settings.listen.callers,
                host: settings.host.clone(),
                is_strained: self.parts.strained.load(Ordering::Relaxed),
                region: settings.region.clone(),
                zone: settings.zone.clone(),
            });
        }
        let mut demand: HashMap<(RegionId, u32), f64> = HashMap::new();
        for (region, load) in self.fleet.loads(now) {
            for (tag, count) in &load.in_flight {
                *view.in_flight_elsewhere.entry(*tag).or_default() += u32::from(*count);
            }
            view.recent_objects.extend(&load.recent_objects);
            for (tag, slowness) in &load.slow_targets {
                let sum = view.slow_targets.entry(*tag).or_default();
                *sum = sum.merge(*slowness);
            }
            if *region == settings.region {
                view.sent.add(&load.sent);
            }
            for (service, slots) in &load.demand {
                *demand.entry((region.clone(), *service)).or_default() += f64::from(*slots);
            }
            for (team, (arrived, admitted)) in &load.team_counts {
                let sum = view.team_counts.entry(*team).or_default();
                sum.0 = sum.0.saturating_add(*arrived);
                sum.1 = sum.1.saturating_add(*admitted);
            }
            for (fingerprint, crashes) in &load.crashes {
                let sum = view.crashes.entry(*fingerprint).or_default();
                *sum = sum.saturating_add(*crashes);
            }
        }
        for peer in self.fleet.live(now).filter(|peer| !peer.info.leaving) {
            view.hosts.push(LiveHost {
                callers: peer.info.callers,
                host: peer.info.host.clone(),
                is_strained: peer.info.strained,
                region: peer.region.clone(),
                zone: peer.zone.clone(),
            });
        }
        view.known_hosts = self.fleet.known_hosts(now);
        view.peers_started_earlier = self.fleet.peers_started_earlier(now);
        view.demand = demand;
        self.parts.metrics.control(self.control_figures(&view));
        self.parts.view.store(Some(Arc::new(view)));
    }

    /// When the store last confirmed the declaration as the latest, to this host or another one;
    /// `None` if it never did, or a later declaration is known.
    fn latest_declaration_check(&self, now: Moment) -> Option<Moment> {
        let version = self.known_state.declaration()?.version;
        let checks = self.fleet.declaration_checks(now);
        let mut latest = self.declaration_checked_at;
        for DeclarationCheck { at, version: known_version } in checks {
            if version < known_version {
                return None;
            }
            latest = latest.max(Some(at));
        }
        latest
    }

    fn control_figures(&self, view: &View) -> ControlFigures {
        let now = self.now();
        let targets = || view.targets.values().flat_map(|targets| targets.iter());
        let cold = targets().filter(|target| target.is_cold(now)).count();
        ControlFigures {
            declaration: view.declaration.as_ref().map_or(0, |declaration| declaration.version),
            hosts: view.hosts.len(),
            store_age: now.saturating_sub(self.state_received_at),
            targets_cold: cold,
            targets_warm: targets().count() - cold,
        }
    }

    /// Starts or ends following the store.
    fn update_followers(&mut self, own: &WeakAddress<Self>) {
        let now = self.now();
        let settings = &self.parts.settings;
        let peers = self.fleet.live(now);
        let is_unanswered = self.peer_queries.is_unanswered(now);
        let should_watch =
            self.election.decide(&settings.host, &settings.region, peers, now) || is_unanswered;
        let settle = match self.election.is_standby() && !is_unanswered {
            true => STANDBY_SETTLE,
            false => FOLLOW_PACE.settle,
        };
        self.followers.iter().for_each(|task| task.follower.set_settle(settle));
        if should_watch != self.followers.is_empty() {
            return;
        }
        self.followers.clear();
        if !should_watch {
            self.lost_parts.clear();
            return self.record_event(Event::WatchEnded);
        }
        let reason = if is_unanswered { WatchReason::Unanswered } else { WatchReason::Elected };
        self.record_event(Event::WatchBegun { reason });
        let prefixes = self.parts.protocol.store_prefixes();
        for (part, prefix) in [
            (StorePart::Declared, prefixes.declared),
            (StorePart::Targets, prefixes.targets),
            (StorePart::Evacuations, prefixes.evacuations),
        ] {
            let (store, clock) = (self.parts.store.clone(), self.parts.clock.clone());
            // What is known already must not be replaced by what was so some seconds ago.
            let first_may_lag = self.known_state.revisions().of(part) == 0;
            let pace = FollowPace { first_may_lag, settle, ..FOLLOW_PACE };
            let (tx, rx) = mpsc::channel(MAX_QUEUED_UPDATES);
            let follower = Follower::spawn(store, clock, prefix, pace, tx);
            let forwarder = tokio::spawn(forward_updates(part, rx, own.clone())).abort_handle();
            self.followers.push(FollowTask { follower, forwarder });
        }
    }
}

/// Milliseconds of the time of day.
fn unix_time_ms() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

fn fleet_config(settings: &EntrySettings) -> FleetConfig {
    FleetConfig {
        callers: settings.listen.callers,
        control: settings.listen.control,
        gossip: settings.listen.gossip,
        host: settings.host.clone(),
        region: settings.region.clone(),
        seeds: gossip_seeds(settings),
        start_ms: unix_time_ms(),
        zone: settings.zone.clone(),
        zones: settings.zones.clone(),
    }
}

/// Seeds name control listeners; datagrams go to the same port at all hosts.
fn gossip_seeds(settings: &EntrySettings) -> Vec<SocketAddr> {
    let port = settings.listen.gossip.port();
    settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}

/// Passes on what the store tells of one part.
async fn forward_updates(
    part: StorePart,
    mut rx: mpsc::Receiver<Followed>,
    control: WeakAddress<EntryControl>,
) {
    while let Some(update) = rx.recv().await {
        if control.send(StoreUpdate(part, update)).await.is_err() {
            return;
        }
    }
}
