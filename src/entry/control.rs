//! The control side of an entry host: one actor that owns what the host believes.

use std::collections::{BTreeSet, HashMap};

use arc_swap::ArcSwap;
use tokio::{net::UdpSocket, sync::mpsc};
use xtra::{Actor, Address, Handler, Mailbox, WeakAddress};

use super::{
    Beat, Beliefs, Dialect, EntrySettings, LiveHost, Part, Peers, Report, Revisions, View,
    ViewCell,
    sync::{Asker, Difference, RawObjects},
    watchers::Watching,
};
use crate::{
    prelude::*,
    store::{
        Change, Entry, Expect, FollowPace, Followed, Follower, Listing, Platform, PlatformError,
        new_operation,
    },
};

/// Messages that may wait for the actor; past it senders wait.
const MAILBOX: usize = 256;

/// Time between beats to hosts of the own region: they share targets, and what is in flight there
/// bounds the wait.
pub const BEAT: Duration = Duration::from_millis(100);

/// Beats between two to a host of another region, which needs to know little more than that this
/// one lives.
const FAR_BEATS: u64 = 5;

/// Beats between two greetings of addresses that nobody was heard from.
const GREET_BEATS: u64 = 10;

/// Addresses of other hosts in one beat: enough to find all within a second or two.
const TOLD_PEERS: usize = 3;

/// A watcher that knows less than another host for longer asks it: the store's own word takes less
/// time where it comes at all. Hosts that do not watch ask at once.
const LAG: Duration = Duration::from_millis(400);

/// Pause between two questions to other hosts while they are not answered.
const ASK_PAUSE: Duration = Duration::from_millis(500);

/// How often the store is asked. Hosts tell each other when one of them has seen more, so nothing
/// has to be compared; the wait bounds how long a watch on a silent connection is believed.
///
/// A new host lists at once, so that it can serve, but watches only when it has had time to hear of
/// others that do: beats come every 100 ms, a new host's greetings every 200 ms.
const PACE: FollowPace = FollowPace {
    after_list: Duration::from_millis(600),
    compare_every: Duration::from_secs(86_400),
    settle: Duration::from_millis(150),
    wait: Duration::from_secs(3),
};

/// Pause before the own record is written again after a failure.
const ENROL_PAUSE: Duration = Duration::from_secs(2);

/// Pause between two readings of the hosts' records, and the time from the start to the first:
/// beats tell the rest, and a host that was heard by then tells of the others.
const ROLL_PAUSE: Duration = Duration::from_secs(60);
const ROLL_FIRST: Duration = Duration::from_millis(1_000);

/// Beats in which a new host greets all the time, and the number between two greetings then.
const NEW_BEATS: u64 = 20;
const NEW_GREET_BEATS: u64 = 2;

/// News from the store.
pub struct Told(pub Part, pub Followed);

/// A datagram from another host.
pub struct Datagram(pub Vec<u8>);

/// Time for a beat.
pub struct Pulse;

/// A planned stop begins.
pub struct Leave;

/// Another host asks for what is newer than it knows.
pub struct Share(pub Revisions);

/// What another host knows, or that it did not answer.
pub struct Shared(pub Option<Difference>);

/// The hosts' records were read, or could not be.
pub struct Roll(pub Option<Vec<SocketAddr>>);

/// The own record was written, or could not be.
pub struct Enrolled(pub bool);

/// What the control side is built from.
pub struct ControlParts {
    pub clock: Arc<dyn Clock>,
    pub dialect: Arc<dyn Dialect>,
    pub report: Arc<ArcSwap<Report>>,
    pub settings: Arc<EntrySettings>,
    pub socket: Arc<UdpSocket>,
    pub store: Arc<dyn Platform>,
    pub view: ViewCell,
}

/// The actor's state.
pub struct EntryControl {
    asker: Asker,
    /// When a question to another host may be asked again.
    ask_at: Moment,
    beliefs: Beliefs,
    enrol_at: Option<Moment>,
    /// The tasks that follow the store, while this host watches.
    followers: Vec<FollowTask>,
    /// Since when another host has known more.
    lags_since: Option<Moment>,
    leaving: bool,
    parts: ControlParts,
    peers: Peers,
    raw: RawObjects,
    roll_at: Moment,
    rolled: Vec<SocketAddr>,
    start: u64,
    turn: u64,
    watching: Watching,
}

/// Ends its task when dropped.
struct FollowTask(tokio::task::AbortHandle);

impl Drop for FollowTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl EntryControl {
    /// Starts the actor on the current runtime.
    pub fn spawn(parts: ControlParts, asker: Asker) -> Address<Self> {
        let start = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let now = parts.clock.now();
        let control = Self {
            asker,
            ask_at: Moment::ZERO,
            beliefs: Beliefs::default(),
            enrol_at: Some(Moment::ZERO),
            followers: Vec::new(),
            lags_since: None,
            leaving: false,
            peers: Peers::default(),
            raw: BTreeMap::new(),
            roll_at: now + ROLL_FIRST,
            rolled: Vec::new(),
            start: start.map_or(0, |since| since.as_millis() as u64),
            turn: 0,
            watching: Watching::new(now),
            parts,
        };
        xtra::spawn_tokio(control, Mailbox::bounded(MAILBOX))
    }

    fn now(&self) -> Moment {
        self.parts.clock.now()
    }

    /// Decodes and keeps one object; true when something that matters changed.
    fn written(&mut self, part: Part, key: &Arc<str>, version: u64, object: bytes::Bytes) -> bool {
        let now = self.now();
        let dialect = self.parts.dialect.clone();
        self.raw.insert((part, key.clone()), (version, object.clone()));
        match part {
            Part::Declared => match dialect.declared(&object) {
                Ok(declared) => {
                    let version = declared.version;
                    let newer = self.beliefs.declare(declared);
                    if newer {
                        log::info!("declaration {version:08x} in force");
                    }
                    newer
                }
                Err(error) => {
                    log::warn!("declaration is left out: {error}");
                    false
                }
            },
            Part::Evacuations => {
                log::info!("zone {key} is evacuated");
                self.beliefs.evacuate(key.clone(), true)
            }
            Part::Targets => match dialect.target(key, &object) {
                Ok(entry) => {
                    let region = self.parts.settings.region_of(&entry.zone);
                    log::info!("target {key}: {entry:?}");
                    self.beliefs.write(entry, region, now)
                }
                Err(error) => {
                    log::warn!("target {key} is left out: {error}");
                    self.beliefs.remove(key)
                }
            },
        }
    }

    fn removed(&mut self, part: Part, key: &Arc<str>) -> bool {
        self.raw.remove(&(part, key.clone()));
        log::info!("{part:?} {key} removed");
        match part {
            Part::Declared => false,
            Part::Evacuations => self.beliefs.evacuate(key.clone(), false),
            Part::Targets => self.beliefs.remove(key),
        }
    }

    fn listed(&mut self, part: Part, objects: Vec<(Arc<str>, u64, bytes::Bytes)>) -> bool {
        let now = self.now();
        self.raw.retain(|(kept, _), _| *kept != part);
        match part {
            Part::Declared => objects.into_iter().fold(false, |sum, (key, version, object)| {
                self.written(part, &key, version, object) || sum
            }),
            Part::Evacuations => {
                let names: Vec<Arc<str>> = objects.iter().map(|(key, _, _)| key.clone()).collect();
                for (key, version, object) in objects {
                    self.raw.insert((part, key), (version, object));
                }
                let zones: BTreeSet<ZoneId> = self.parts.dialect.zones(&names);
                self.beliefs.evacuations(zones)
            }
            Part::Targets => {
                let mut entries = Vec::new();
                for (key, version, object) in objects {
                    match self.parts.dialect.target(&key, &object) {
                        Ok(entry) => {
                            let region = self.parts.settings.region_of(&entry.zone);
                            entries.push((entry, region));
                        }
                        Err(error) => log::warn!("target {key} is left out: {error}"),
                    }
                    self.raw.insert((part, key), (version, object));
                }
                log::info!("{} targets listed", entries.len());
                self.beliefs.list(entries, now)
            }
        }
    }

    fn changed(&mut self, part: Part, changes: Vec<Change>) -> bool {
        let mut changed = false;
        for change in changes {
            self.beliefs.saw(part, change.version);
            let key = name(&change.key);
            changed |= match change.object {
                Some(object) => self.written(part, &key, object.version, object.value),
                None => self.removed(part, &key),
            };
        }
        changed
    }

    fn told(&mut self, part: Part, told: Followed) -> bool {
        match told {
            Followed::Changed(changes) => {
                self.watching.reached();
                self.changed(part, changes)
            }
            Followed::Listed(Listing { entries, version }) => {
                self.watching.reached();
                self.beliefs.saw(part, version);
                let object =
                    |entry: Entry| (name(&entry.key), entry.object.version, entry.object.value);
                self.listed(part, entries.into_iter().map(object).collect())
            }
            Followed::Lost(error) => {
                log::info!("store, {part:?}: {error}");
                if matches!(error, PlatformError::TooOld { .. }) {
                    return false;
                }
                let now = self.now();
                self.watching.lost(now);
                if part == Part::Targets {
                    self.beliefs.lost(now);
                }
                false
            }
        }
    }

    /// Publishes what the traffic side decides with.
    fn publish(&mut self) {
        let now = self.now();
        let settings = &self.parts.settings;
        let mut view = View { declared: self.beliefs.declared().cloned(), ..View::default() };
        for known in self.beliefs.usable() {
            let service = known.entry.service.clone();
            view.targets.entry(service).or_default().push(Arc::new(known.clone()));
        }
        if !self.leaving {
            view.hosts.push(LiveHost {
                callers: settings.listen.callers,
                host: settings.host.clone(),
                region: settings.region.clone(),
                zone: settings.zone.clone(),
            });
        }
        let mut demand: HashMap<(RegionId, u32), f64> = HashMap::new();
        for peer in self.peers.live(now) {
            for (tag, count) in &peer.beat.running {
                *view.elsewhere.entry(*tag).or_default() += u32::from(*count);
            }
            for (service, slots) in &peer.beat.demand {
                *demand.entry((peer.region.clone(), *service)).or_default() += f64::from(*slots);
            }
            for (print, crashes) in &peer.beat.crashes {
                let sum = view.crashes.entry(*print).or_default();
                *sum = sum.saturating_add(*crashes);
            }
            if !peer.beat.leaving {
                view.hosts.push(LiveHost {
                    callers: peer.beat.callers,
                    host: peer.beat.host.clone(),
                    region: peer.region.clone(),
                    zone: peer.beat.zone.clone(),
                });
            }
        }
        view.demand = demand;
        self.parts.view.store(Some(Arc::new(view)));
    }

    fn beat(&mut self) -> Beat {
        self.turn += 1;
        let settings = &self.parts.settings;
        let report = self.parts.report.load();
        let all: Vec<SocketAddr> = self.peers.addresses().collect();
        let first = self.turn as usize * TOLD_PEERS;
        let told =
            all.iter().cycle().skip(first % all.len().max(1)).take(TOLD_PEERS.min(all.len()));
        Beat {
            callers: settings.listen.callers,
            control: settings.listen.control,
            crashes: report.crashes.clone(),
            demand: report.demand.clone(),
            gossip: settings.listen.gossip,
            host: settings.host.clone(),
            leaving: self.leaving,
            peers: told.copied().collect(),
            reaches_store: self.watching.reaches_store(self.now()),
            running: report.running.clone(),
            stamp: self.beliefs.stamp(),
            start: self.start,
            turn: self.turn,
            zone: settings.zone.clone(),
        }
    }

    /// Sends a beat to all whose turn it is.
    fn send_beats(&mut self) {
        let now = self.now();
        let beat = self.beat();
        let bytes = match postcard::to_allocvec(&beat) {
            Ok(bytes) => bytes,
            Err(error) => return log::error!("a beat can't be encoded: {error}"),
        };
        let far = self.turn.is_multiple_of(FAR_BEATS);
        let region = &self.parts.settings.region;
        let mut to: BTreeSet<SocketAddr> = self
            .peers
            .live(now)
            .filter(|peer| far || peer.region == *region)
            .map(|peer| peer.beat.gossip)
            .collect();
        let greet = if self.turn < NEW_BEATS { NEW_GREET_BEATS } else { GREET_BEATS };
        if self.turn % greet == 1 {
            let port = self.parts.settings.listen.gossip.port();
            let seeds = self.parts.settings.seeds.iter();
            to.extend(seeds.map(|seed| SocketAddr::new(seed.ip(), port)));
            to.extend(self.rolled.iter().copied());
            to.extend(self.peers.addresses());
        }
        to.remove(&self.parts.settings.listen.gossip);
        for addr in to {
            if let Err(error) = self.parts.socket.try_send_to(&bytes, addr) {
                log::debug!("beat to {addr}: {error}");
            }
        }
    }

    /// Asks another host that knows more.
    fn ask(&mut self, own: &WeakAddress<Self>) {
        let now = self.now();
        let mine = self.beliefs.stamp();
        let region = &self.parts.settings.region;
        let ahead = self.peers.live(now).filter(|peer| {
            Part::ALL.into_iter().any(|part| peer.beat.stamp.is_ahead_of(&mine, part))
        });
        // The nearest one answers soonest.
        let Some(peer) = ahead.max_by_key(|peer| peer.region == *region) else {
            self.lags_since = None;
            return;
        };
        let since = *self.lags_since.get_or_insert(now);
        let patient = !self.followers.is_empty() && mine.declared != 0;
        if (patient && now.saturating_sub(since) < LAG) || now < self.ask_at {
            return;
        }
        self.ask_at = now + ASK_PAUSE;
        let (asker, addr, own) = (self.asker.clone(), peer.beat.control, own.clone());
        tokio::spawn(async move {
            let answer = asker.ask(addr, mine.revisions).await;
            if let Err(error) = &answer {
                log::info!("host {addr} does not tell what it knows: {error}");
            }
            let _ = own.send(Shared(answer.ok())).await;
        });
    }

    /// Starts or ends following the store.
    fn watch(&mut self, own: &WeakAddress<Self>) {
        let now = self.now();
        let settings = &self.parts.settings;
        let peers = self.peers.live(now);
        let wanted = self.watching.decide(&settings.host, &settings.region, peers, now);
        if wanted != self.followers.is_empty() {
            return;
        }
        log::info!("{} the store", if wanted { "watching" } else { "no longer watching" });
        self.followers.clear();
        if !wanted {
            return;
        }
        let keys = self.parts.dialect.keys();
        for (part, prefix) in [
            (Part::Declared, keys.declared),
            (Part::Targets, keys.targets),
            (Part::Evacuations, keys.evacuations),
        ] {
            let (store, clock) = (self.parts.store.clone(), self.parts.clock.clone());
            let task = tokio::spawn(follow(store, clock, part, prefix, own.clone()));
            self.followers.push(FollowTask(task.abort_handle()));
        }
    }

    /// Writes this host's record, or reads all.
    fn enrol(&mut self, own: &WeakAddress<Self>) {
        let now = self.now();
        let keys = self.parts.dialect.keys();
        let store = self.parts.store.clone();
        if self.enrol_at.is_some_and(|at| at <= now) {
            self.enrol_at = Some(now + ENROL_PAUSE * 4);
            let key = format!("{}{}", keys.hosts, self.parts.settings.host);
            let value = self.parts.dialect.host_object(self.parts.settings.listen.gossip);
            let own = own.clone();
            let store = store.clone();
            tokio::spawn(async move {
                let done = put_record(&*store, &key, value).await;
                if let Err(error) = &done {
                    log::info!("this host's record is not written: {error}");
                }
                let _ = own.send(Enrolled(done.is_ok())).await;
            });
        }
        if self.roll_at <= now {
            self.roll_at = now + ROLL_PAUSE;
            let is_first = self.turn <= NEW_BEATS;
            if is_first && self.peers.live(now).next().is_some() {
                return;
            }
            let dialect = self.parts.dialect.clone();
            let own = own.clone();
            tokio::spawn(async move {
                let roll = store.list(keys.hosts).await;
                if let Err(error) = &roll {
                    log::info!("the hosts' records are not read: {error}");
                }
                let read = |entry: &Entry| dialect.host(&entry.object.value).ok();
                let roll = roll.ok().map(|roll| roll.entries.iter().filter_map(read).collect());
                let _ = own.send(Roll(roll)).await;
            });
        }
    }
}

async fn put_record(
    store: &dyn Platform,
    key: &str,
    value: bytes::Bytes,
) -> crate::store::Result<()> {
    match store.put(key, Expect::Absent, value.clone(), new_operation()).await {
        Err(PlatformError::Conflict { current: Some(version) }) => {
            // The record of this host's last start.
            store.put(key, Expect::Version(version), value, new_operation()).await.map(|_| ())
        }
        other => other.map(|_| ()),
    }
}

/// Passes on what the store tells of one part.
async fn follow(
    store: Arc<dyn Platform>,
    clock: Arc<dyn Clock>,
    part: Part,
    prefix: &'static str,
    control: WeakAddress<EntryControl>,
) {
    let (tx, mut rx) = mpsc::channel::<Followed>(16);
    let _follower = Follower::spawn(store, clock, prefix, PACE, tx);
    while let Some(told) = rx.recv().await {
        if control.send(Told(part, told)).await.is_err() {
            return;
        }
    }
}

/// The name of an object, without its prefix.
fn name(key: &Arc<str>) -> Arc<str> {
    key.rsplit_once('/').map_or_else(|| key.clone(), |(_, name)| name.into())
}

impl Actor for EntryControl {
    type Stop = ();

    async fn stopped(self) -> Self::Stop {}
}

impl Handler<Told> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Told(part, told): Told, _: &mut xtra::Context<Self>) {
        if self.told(part, told) {
            self.publish();
            // Hosts that do not watch hear of it now, not with the next beat.
            self.send_beats();
        }
    }
}

impl Handler<Datagram> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Datagram(bytes): Datagram, cx: &mut xtra::Context<Self>) {
        let beat: Beat = match postcard::from_bytes(&bytes) {
            Ok(beat) => beat,
            Err(error) => return log::debug!("a datagram is no beat: {error}"),
        };
        if beat.host == self.parts.settings.host {
            return;
        }
        let now = self.now();
        let region = self.parts.settings.region_of(&beat.zone);
        let told: Vec<SocketAddr> = beat.peers.clone();
        let host = beat.host.clone();
        if self.peers.heard(beat, region, now) {
            log::info!("host {host} is heard");
        }
        if self.followers.is_empty() {
            self.ask(&cx.mailbox().address());
        }
        for addr in told {
            if !self.rolled.contains(&addr) && self.rolled.len() < 4096 {
                self.rolled.push(addr);
            }
        }
    }
}

impl Handler<Pulse> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Pulse: Pulse, cx: &mut xtra::Context<Self>) {
        let now = self.now();
        self.beliefs.tick(now);
        self.peers.tick(now);
        self.send_beats();
        let own = cx.mailbox().address();
        self.watch(&own);
        self.ask(&own);
        self.enrol(&own);
        self.publish();
    }
}

impl Handler<Leave> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Leave: Leave, _: &mut xtra::Context<Self>) {
        self.leaving = true;
        self.turn = self.turn.next_multiple_of(FAR_BEATS) - 1;
        self.send_beats();
        self.publish();
    }
}

impl Handler<Share> for EntryControl {
    type Return = Difference;

    async fn handle(&mut self, Share(since): Share, _: &mut xtra::Context<Self>) -> Difference {
        Difference::of(&self.raw, self.beliefs.stamp().revisions, since)
    }
}

impl Handler<Shared> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Shared(told): Shared, _: &mut xtra::Context<Self>) {
        let Some(told) = told else { return };
        self.ask_at = Moment::ZERO;
        let mine = self.beliefs.stamp().revisions;
        for part in Part::ALL {
            if mine.of(part) < told.revisions.of(part) {
                let objects = told.applied(part, &self.raw);
                self.listed(part, objects);
                self.beliefs.saw(part, told.revisions.of(part));
            }
        }
        self.publish();
    }
}

impl Handler<Roll> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Roll(roll): Roll, _: &mut xtra::Context<Self>) {
        match roll {
            Some(roll) => self.rolled = roll,
            None => self.roll_at = self.now() + ENROL_PAUSE,
        }
    }
}

impl Handler<Enrolled> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Enrolled(done): Enrolled, _: &mut xtra::Context<Self>) {
        self.enrol_at = if done { None } else { Some(self.now() + ENROL_PAUSE) };
    }
}
