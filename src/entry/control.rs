//! The control side of an entry host: an actor that owns the host's copy of the store's objects and
//! its list of live hosts, exchanges both with other hosts, and publishes them to the traffic side.

mod handlers;
mod learned;
mod listings;
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
    Datagram, HostRecordWritten, HostRecordsRead, LearnedStateRead, LearnedStateWritten, Leave,
    ListedHosts, PeerQueryResult, Reload, StateQuery, StoreUpdate, Tick,
};

use self::{
    learned::LearnedRecord,
    peering::{FIRST_READ_RECORDS_DELAY, FIRST_WRITE_RECORD_DELAY},
};
use super::{
    DeclarationVersion, EntrySettings, KnownState, LiveHost, MeasuredCell, Protocol, StorePart,
    View, ViewCell,
    missing_targets::MissingTargets,
    peer_queries::PeerQueries,
    stale_records::StaleRecordTracker,
    store_objects::StoreObjects,
    sync::{PeerClient, ResponseCache},
    watcher_election::{Candidate, WatcherElection},
};
use crate::{
    event_log::{Event, EventSink, WatchReason},
    fleet::{DeclarationCheck, Fleet, FleetConfig, Load, MESH_HOSTS},
    metrics::{ControlGauges, EntryMetrics},
    placement::ServiceRegion,
    prelude::*,
    store::{FollowEvent, FollowOptions, Follower, Platform, Probes, Scope, StoreContact, Version},
};

/// Number of messages that may be queued for the actor; further senders wait.
const MAILBOX_CAPACITY: usize = 256;

/// Interval of heartbeats to hosts of the own zone, and of the reports of a zone. Hosts of a region
/// share targets, so each has to know with little delay what the others have in flight there.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the gauges are set. Counting the targets by state goes through all of them.
const GAUGES_INTERVAL: Duration = Duration::from_millis(900);

/// Number of updates of one part that may be queued before they are sent to the actor.
const MAX_QUEUED_UPDATES: usize = 16;

/// How often watchers call the store. Versions are compared only once a day, since heartbeats show
/// when another host has newer data. Each watch counts as a call to the store. `wait` bounds how
/// long a watch whose response was lost stays unnoticed: if its connection stays open, the client's
/// keep-alive probes do not detect the loss.
///
/// A new host that lists the store starts to watch only after `list_pause`, when it has received
/// messages of other hosts and knows whether it has to watch: heartbeats are sent every 100 ms, and
/// the probes of a new host every 200 ms.
const FOLLOW_OPTIONS: FollowOptions = FollowOptions {
    list_pause: Duration::from_millis(600),
    compare_interval: Duration::from_secs(86_400),
    first_allows_stale: true,
    change_pause: Duration::from_millis(300),
    max_wait: Duration::from_secs(5),
    end_phase: None,
};

/// Pause of a standby watcher after a change. In a large fleet targets change all the time, and the
/// standby need not fetch at once what the region's first watcher has already distributed.
const STANDBY_SETTLE: Duration = Duration::from_secs(1);

/// Dependencies and shared state of the control side.
pub struct ControlParts {
    pub clock: Arc<dyn Clock>,
    pub events: Arc<dyn EventSink>,
    pub load: Arc<ArcSwap<Load>>,
    /// What the traffic side has measured of services; `None` if learned values are not used.
    pub measured: Option<MeasuredCell>,
    pub metrics: Arc<EntryMetrics>,
    pub protocol: Arc<dyn Protocol>,
    /// Whether at least one target accepts connections of this host.
    pub reaches_targets: Arc<AtomicBool>,
    pub settings: Arc<EntrySettings>,
    pub socket: Arc<UdpSocket>,
    pub store: Arc<dyn Platform>,
    /// Whether the traffic side gets too little CPU time.
    pub strained: Arc<AtomicBool>,
    pub view: ViewCell,
}

/// The control actor.
pub struct EntryControl {
    fleet: Fleet,
    peer_client: PeerClient,
    known_state: KnownState,
    missing_targets: MissingTargets,
    /// When the store last confirmed to this host that its declaration is the latest.
    declaration_checked_at: Option<Moment>,
    response_cache: ResponseCache,
    /// The version of the declaration that was read last.
    read_declaration: DeclarationVersion,
    /// Number of restores of the store for which this host's record was written again.
    record_restores: u64,
    /// The store was restored and holds an older declaration than the one in force.
    store_is_behind: bool,
    /// When this host's record is to be written; `None` once it is.
    write_record_at: Option<Moment>,
    /// Whether the store answers this host while it watches it.
    contact: Arc<StoreContact>,
    /// The tasks that follow the store; empty while this host does not watch it.
    followers: Vec<FollowTask>,
    /// When the gauges were last set.
    gauges_set_at: Moment,
    /// The region's learned values in the store; `None` if they are not used.
    learned: Option<LearnedRecord>,
    /// Whether this host is shutting down.
    leaving: bool,
    live_hosts: Option<LiveHosts>,
    /// Parts of the store that cannot be read, and since when.
    lost_parts: BTreeMap<StorePart, Moment>,
    parts: ControlParts,
    peer_queries: PeerQueries,
    /// Asks the store whether it answers; none while this host does not watch it.
    probes: Option<Probes>,
    objects: StoreObjects,
    stale_records: StaleRecordTracker,
    /// When the records of all hosts are to be read next.
    read_records_at: Moment,
    /// When the store or another host last responded with the store's state.
    state_received_at: Moment,
    /// Parts of which a listing ended early, and when a watch must have shown the rest.
    unlisted_expiry: BTreeMap<StorePart, Moment>,
    /// Entries that can't be read, with the revision that was logged.
    unreadable_entries: BTreeMap<(StorePart, Arc<str>), Version>,
    election: WatcherElection,
}

/// The last list of live hosts, and what it was built from.
struct LiveHosts {
    /// Digest of the others, and whether this host leaves, is strained and reaches targets.
    digest: (u64, bool, bool, bool),
    hosts: Arc<[LiveHost]>,
}

/// A follower, and the task that forwards its updates to the actor; both end when dropped.
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
        let contact = StoreContact::new(parts.clock.clone());
        let fleet = Fleet::new(fleet_config(&parts.settings));
        let control = Self {
            fleet,
            peer_client,
            known_state: KnownState::default(),
            missing_targets: MissingTargets::default(),
            declaration_checked_at: None,
            response_cache: ResponseCache::default(),
            read_declaration: 0,
            record_restores: 0,
            store_is_behind: false,
            write_record_at: Some(now + FIRST_WRITE_RECORD_DELAY),
            contact,
            followers: Vec::new(),
            gauges_set_at: Moment::ZERO,
            learned: parts.measured.clone().map(|measured| LearnedRecord::new(measured, now)),
            leaving: false,
            live_hosts: None,
            lost_parts: BTreeMap::new(),
            peer_queries: PeerQueries::new(parts.settings.listen.control),
            probes: None,
            objects: StoreObjects::default(),
            stale_records: StaleRecordTracker::default(),
            read_records_at: now + FIRST_READ_RECORDS_DELAY,
            state_received_at: now,
            unlisted_expiry: BTreeMap::new(),
            unreadable_entries: BTreeMap::new(),
            election: WatcherElection::new(now),
            parts,
        };
        xtra::spawn_tokio(control, Mailbox::bounded(MAILBOX_CAPACITY))
    }

    /// Records an event that belongs to no single request.
    fn record_event(&self, event: Event) {
        self.parts.events.record(None, event);
    }

    fn now(&self) -> Moment {
        self.parts.clock.now()
    }

    /// Publishes the current state to the traffic side and to the metrics.
    fn publish_view(&mut self) {
        let now = self.now();
        self.check_learned_state();
        let declaration = self.known_state.declaration().cloned();
        let targets = self.known_state.usable_targets().clone();
        let declaration_checked_at = self.latest_declaration_check(now);
        let mut view = View {
            published_at: now,
            declaration,
            declaration_checked_at,
            is_declaration_behind: self.is_declaration_behind(now),
            hosts: self.live_hosts(now),
            learned: self.learned.as_ref().and_then(LearnedRecord::initial),
            targets,
            ..View::default()
        };
        let settings = &self.parts.settings;
        let mut demand: HashMap<ServiceRegion, f64> = HashMap::new();
        for (region, load) in self.fleet.loads(now) {
            for (tag, count) in &load.in_flight {
                *view.in_flight_elsewhere.entry(*tag).or_default() += u32::from(*count);
            }
            for (tag, report) in &load.limits {
                let latest = view.limits.entry(*tag).or_insert(*report);
                *latest = latest.latest(*report);
            }
            view.recent_objects.extend(&load.recent_objects);
            for (tag, slowness) in &load.slow_targets {
                let sum = view.slow_targets.entry(*tag).or_default();
                *sum = sum.merge(*slowness);
            }
            if *region == settings.region {
                view.sent.add(&load.sent);
            }
            for (key, slots) in &load.demand {
                *demand.entry(*key).or_default() += f64::from(*slots);
            }
            for (team, (arrived, admitted)) in &load.team_counts {
                let sum = view.team_counts.entry(*team).or_default();
                sum.0 = sum.0.saturating_add(*arrived);
                sum.1 = sum.1.saturating_add(*admitted);
            }
            view.crashes.extend(&load.crashes);
        }
        view.known_hosts = self.fleet.known_hosts(now);
        view.peers_started_earlier = self.fleet.peers_started_earlier(now);
        view.demand = demand;
        if GAUGES_INTERVAL <= now.saturating_sub(self.gauges_set_at) {
            self.gauges_set_at = now;
            self.parts.metrics.set_control_gauges(self.control_figures(&view));
        }
        self.parts.view.store(Some(Arc::new(view)));
    }

    /// This host and the other live ones that accept callers. The list is built anew only after a
    /// change: with a thousand hosts, building it ten times a second would take most of the
    /// processor time of an idle host.
    fn live_hosts(&mut self, now: Moment) -> Arc<[LiveHost]> {
        let settings = &self.parts.settings;
        let is_strained = self.parts.strained.load(Ordering::Relaxed);
        let reaches_targets = self.parts.reaches_targets.load(Ordering::Relaxed);
        let digest = (self.fleet.live_digest(now), self.leaving, is_strained, reaches_targets);
        if let Some(last) = self.live_hosts.as_ref().filter(|last| last.digest == digest) {
            return last.hosts.clone();
        }
        let own = (!self.leaving).then(|| LiveHost {
            callers: settings.listen.callers,
            capacity: settings.capacity(),
            host: settings.host.clone(),
            is_strained,
            reaches_targets,
            region: settings.region.clone(),
            relay: settings.listen.relay,
            zone: settings.zone.clone(),
        });
        let peers = self.fleet.live(now).filter(|peer| !peer.info.leaving);
        let peers = peers.map(|peer| LiveHost {
            callers: peer.info.callers,
            capacity: peer.info.capacity,
            host: peer.info.host.clone(),
            is_strained: peer.info.strained,
            reaches_targets: peer.info.reaches_targets,
            region: peer.region.clone(),
            relay: peer.info.relay(),
            zone: peer.zone.clone(),
        });
        let hosts: Arc<[LiveHost]> = own.into_iter().chain(peers).collect();
        self.live_hosts = Some(LiveHosts { digest, hosts: hosts.clone() });
        hosts
    }

    /// When the store last confirmed to this host or another one that the declaration is the
    /// latest; `None` if it never did, or another host knows a later one.
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

    /// Whether another host knows a later declaration, or the store has lost the one in force.
    fn is_declaration_behind(&self, now: Moment) -> bool {
        let own = self.known_state.stamp(self.objects.revisions());
        let mut sources = self.fleet.state_sources(now);
        self.store_is_behind
            || sources.any(|(_, source)| source.stamp.is_ahead_of(&own, StorePart::Declared))
    }

    fn control_figures(&self, view: &View) -> ControlGauges {
        let now = self.now();
        let targets = || view.targets.values().flat_map(|targets| targets.iter());
        let cold = targets().filter(|target| target.is_cold(now)).count();
        ControlGauges {
            declaration: view.declaration.as_ref().map_or(0, |declaration| declaration.version),
            hosts: view.hosts.len(),
            store_age: now.saturating_sub(self.state_received_at),
            targets_cold: cold,
            targets_warm: targets().count() - cold,
        }
    }

    /// Whether this host has received the declaration and the targets.
    fn has_state(&self) -> bool {
        let revisions = self.objects.revisions();
        revisions.declared != 0 && revisions.targets != 0
    }

    /// The objects of a part, with their keys where the settings tell them.
    fn scope(&self, part: StorePart) -> Scope {
        let prefixes = self.parts.protocol.store_prefixes();
        let prefix = prefixes.of(part);
        let zones = self.parts.settings.zones.keys();
        let keys = match part {
            StorePart::Declared => vec![prefixes.declaration.into()],
            StorePart::Evacuations => zones.map(|zone| format!("{prefix}{zone}").into()).collect(),
            StorePart::Targets => Vec::new(),
        };
        Scope { keys, prefix: prefix.into() }
    }

    /// Starts or stops following the store: a host follows it while it is elected as a watcher, or
    /// while hosts with newer data do not answer its queries.
    fn update_followers(&mut self, own: &WeakAddress<Self>) {
        let now = self.now();
        let settings = &self.parts.settings;
        let peers = self.fleet.live(now);
        // A host without any state waits for the few hosts that have it to answer all others.
        let may_watch_unanswered = self.has_state() || self.election.has_waited(now);
        let is_unanswered = may_watch_unanswered && self.peer_queries.is_unanswered(now);
        let candidate = Candidate {
            capacity: settings.capacity(),
            host: &settings.host,
            has_state: self.has_state(),
            region: &settings.region,
        };
        let should_watch = self.election.decide(candidate, peers, now) || is_unanswered;
        let change_pause = match self.election.is_standby() && !is_unanswered {
            true => STANDBY_SETTLE,
            false => FOLLOW_OPTIONS.change_pause,
        };
        self.followers.iter().for_each(|task| task.follower.set_change_pause(change_pause));
        if should_watch != self.followers.is_empty() {
            return;
        }
        self.followers.clear();
        self.probes = None;
        if !should_watch {
            self.lost_parts.clear();
            return self.record_event(Event::WatchEnded);
        }
        let reason = if is_unanswered { WatchReason::Unanswered } else { WatchReason::Elected };
        self.record_event(Event::WatchBegun { reason });
        self.contact.restart();
        self.probes = Some(self.contact.spawn_probes(self.parts.store.clone()));
        for part in [StorePart::Declared, StorePart::Targets, StorePart::Evacuations] {
            let (store, clock) = (self.parts.store.clone(), self.parts.clock.clone());
            // A first listing that may be some seconds old must not replace newer objects.
            let first_allows_stale = self.objects.revisions().of(part) == 0;
            let end_phase = match part {
                StorePart::Declared => Some(now),
                StorePart::Evacuations => Some(now + FOLLOW_OPTIONS.max_wait / 2),
                // They change often, so that phases would cost calls.
                StorePart::Targets => None,
            };
            let pace =
                FollowOptions { first_allows_stale, change_pause, end_phase, ..FOLLOW_OPTIONS };
            let (tx, rx) = mpsc::channel(MAX_QUEUED_UPDATES);
            let (contact, scope) = (self.contact.clone(), self.scope(part));
            let follower = Follower::spawn_with_contact(store, clock, contact, scope, pace, tx);
            let forwarder = tokio::spawn(forward_updates(part, rx, own.clone())).abort_handle();
            self.followers.push(FollowTask { follower, forwarder });
        }
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
fn unix_time_ms() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

fn fleet_config(settings: &EntrySettings) -> FleetConfig {
    FleetConfig {
        capacity: settings.capacity(),
        callers: settings.listen.callers,
        control: settings.listen.control,
        gossip: settings.listen.gossip,
        host: settings.host.clone(),
        mesh_hosts: MESH_HOSTS,
        region: settings.region.clone(),
        relay_port: settings.listen.relay.map(|addr| addr.port()),
        seeds: gossip_seeds(settings),
        start_ms: unix_time_ms(),
        zone: settings.zone.clone(),
        zones: settings.zones.clone(),
    }
}

/// Gossip addresses of the seeds. The settings list their control listeners; all hosts receive
/// datagrams on the same port.
fn gossip_seeds(settings: &EntrySettings) -> Vec<SocketAddr> {
    let port = settings.listen.gossip.port();
    settings.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
}

/// Forwards the updates of one part to the actor.
async fn forward_updates(
    part: StorePart,
    mut rx: mpsc::Receiver<FollowEvent>,
    control: WeakAddress<EntryControl>,
) {
    while let Some(update) = rx.recv().await {
        if control.send(StoreUpdate(part, update)).await.is_err() {
            return;
        }
    }
}
