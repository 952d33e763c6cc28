//! One host's picture of all others, and what it sends to whom.

use std::collections::BTreeSet;

use super::{
    Contacts, DeclaredCheckAge, Heartbeat, HostNote, Informed, Load, Message, Peer, Peers, Reports,
    Rotation, ZoneReport,
};
use crate::{
    entry::{DeclarationVersion, Stamp, StorePart},
    prelude::*,
};

/// Slots of reports between two to zones of other regions, which need to know little more than who
/// lives and what their callers ask for.
const FAR_SLOTS: u64 = 5;

/// Receivers of a report in a zone of another region: such reports are few, and one that is lost
/// leaves the whole zone without word.
const FAR_RECEIVERS: usize = 2;

/// Receivers of a report that can't wait.
const ANNOUNCE_RECEIVERS: usize = 2;

/// Contacts in one heartbeat: enough to find all within a second or two.
const TOLD_CONTACTS: usize = 3;

/// Contacts of each zone but the prober's own in the answer to a probe.
const ANSWERED_CONTACTS: usize = 2;

/// Ticks between two probes of those that are not heard.
const PROBE_TICKS: u64 = 10;

/// Ticks in which a new host probes more often, and the number between two probes then.
const NEW_TICKS: u64 = 20;
const NEW_PROBE_TICKS: u64 = 2;

/// Least difference of start times for a host to count as started earlier. Covers clock skew between
/// hosts that are started together.
const START_MARGIN: Duration = Duration::from_secs(2);

/// What a host is built from.
#[derive(Clone, Debug)]
pub struct FleetParts {
    pub callers: SocketAddr,
    pub control: SocketAddr,
    pub gossip: SocketAddr,
    pub host: HostId,
    pub region: RegionId,
    /// Gossip addresses to start from; may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Wall clock at the start, in milliseconds.
    pub start: u64,
    pub zone: ZoneId,
    /// Region of each availability zone.
    pub zones: BTreeMap<ZoneId, RegionId>,
}

/// What a host tells of itself, as it is now.
#[derive(Clone, Debug, Default)]
pub struct OwnState {
    /// When the store last confirmed to this host that its declaration is the latest.
    pub declared_checked_at: Option<Moment>,
    pub leaving: bool,
    pub load: Load,
    pub reaches_store: bool,
    pub stamp: Stamp,
    pub strained: bool,
}

/// When the store confirmed that `version` was the latest declaration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeclaredCheck {
    pub at: Moment,
    pub version: DeclarationVersion,
}

impl DeclaredCheck {
    /// Converts the age in a message received at `now`. Transit time is unknown and not included.
    pub fn from_age(check: DeclaredCheckAge, now: Moment) -> Self {
        let age = Duration::from_millis(u64::from(check.age_ms));
        Self { at: now.saturating_sub(age), version: check.version }
    }

    /// Converts the time to an age, for a message sent at `now`.
    fn to_age(self, now: Moment) -> DeclaredCheckAge {
        let age = now.saturating_sub(self.at).as_millis();
        DeclaredCheckAge { age_ms: age.try_into().unwrap_or(u32::MAX), version: self.version }
    }
}

/// One message, and where it goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    pub message: Message,
    pub to: Vec<SocketAddr>,
}

/// What a message from outside led to.
#[derive(Debug, Default)]
pub struct Heard {
    /// Hosts that did not count as living before.
    pub new: Vec<(HostId, ZoneId)>,
    pub send: Vec<Outgoing>,
}

/// The picture.
#[derive(Debug)]
pub struct Fleet {
    contacts: Contacts,
    far: Rotation,
    near: Rotation,
    own: OwnState,
    parts: FleetParts,
    peers: Peers,
    reports: Reports,
    ticks: u64,
    /// Rises with each message that tells of this host.
    turn: u64,
}

impl Fleet {
    /// A host that has heard nobody.
    pub fn new(parts: FleetParts) -> Self {
        Self {
            contacts: Contacts::default(),
            far: Rotation::default(),
            near: Rotation::default(),
            own: OwnState { reaches_store: true, ..OwnState::default() },
            parts,
            peers: Peers::default(),
            reports: Reports::default(),
            ticks: 0,
            turn: 0,
        }
    }

    /// Settings were read again.
    pub fn reload(&mut self, seeds: Vec<SocketAddr>, zones: BTreeMap<ZoneId, RegionId>) {
        self.parts.seeds = seeds;
        self.parts.zones = zones;
    }

    /// Whether the host is too new to know who lives.
    pub fn is_new(&self) -> bool {
        self.ticks <= NEW_TICKS
    }

    /// The host's place among the living ones of its zone, in the order of their names.
    pub fn place(&self, now: Moment) -> usize {
        self.zone_peers(now).filter(|peer| peer.note.host < self.parts.host).count()
    }

    /// Hosts that live, in the order of their names.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = &Peer> + Clone {
        self.peers.live(now)
    }

    /// Whether most of the other live hosts were running when this one started.
    pub fn peers_started_earlier(&self, now: Moment) -> bool {
        let started_earlier =
            |peer: &&Peer| peer.note.start + START_MARGIN.as_millis() as u64 <= self.parts.start;
        let live = self.peers.live(now);
        live.clone().count() < live.filter(started_earlier).count() * 2
    }

    /// Number of hosts that are live, or silent without having left and possibly partitioned, including
    /// this one.
    pub fn known_hosts(&self, now: Moment) -> usize {
        let silent = self.peers.silent(now).filter(|peer| !peer.note.leaving);
        self.peers.live(now).count() + silent.count() + 1
    }

    /// Hosts that fell silent since the last call.
    pub fn lost(&mut self, now: Moment) -> Vec<Peer> {
        self.contacts.tick(now);
        self.peers.tick(now)
    }

    /// The store's records of hosts were read.
    pub fn listed(&mut self, gossip: impl Iterator<Item = SocketAddr>, now: Moment) {
        self.contacts.listed(gossip, now);
    }

    /// What other hosts have in attempt and are asked for, with their regions: hosts of the own zone
    /// one by one, other zones together.
    pub fn loads(&self, now: Moment) -> impl Iterator<Item = (&RegionId, &Load)> {
        let own = self.zone_peers(now).map(|peer| (&peer.region, &peer.load));
        let other = self.reports.loads(now);
        own.chain(other.map(|(zone, load)| (self.region_of(zone), load)))
    }

    /// Confirmations of the declaration that other hosts have sent.
    pub fn declared_checks(&self, now: Moment) -> impl Iterator<Item = DeclaredCheck> {
        let heard = self.peers.live(now).filter_map(|peer| peer.declared_check);
        heard.chain(self.reports.declared_checks(now))
    }

    fn own_declared_check(&self) -> Option<DeclaredCheck> {
        let at = self.own.declared_checked_at?;
        Some(DeclaredCheck { at, version: self.own.stamp.declared })
    }

    /// Hosts that are known to know something of the store, with their regions.
    pub fn informed(&self, now: Moment) -> impl Iterator<Item = (&RegionId, Informed)> {
        let heard = self.peers.live(now).filter_map(|peer| {
            let stamp = peer.stamp?;
            Some((&peer.region, Informed { control: peer.note.control, stamp }))
        });
        let told = self.reports.informed(now);
        heard.chain(told.map(|(zone, informed)| (self.region_of(zone), informed.clone())))
    }

    /// What is due now: heartbeats to the own zone, its report if this host has a turn, probes.
    /// `slot` counts tenths of a second by the time of day.
    pub fn tick(&mut self, own: OwnState, slot: u64, now: Moment) -> Vec<Outgoing> {
        self.own = own;
        self.ticks += 1;
        let mut send = vec![self.heartbeat_to_zone(now)];
        let place = self.place(now);
        let hosts = self.zone_peers(now).count() + 1;
        let far_slot = slot / FAR_SLOTS;
        let is_near = self.near.is_due(slot, place, hosts);
        let is_far = self.far.is_due(far_slot, place, hosts);
        let mut to = Vec::new();
        if is_near {
            to.extend(self.receivers(true, slot, 1, now));
        }
        if is_far {
            to.extend(self.receivers(false, far_slot, FAR_RECEIVERS, now));
        }
        send.extend(self.report_to(to, now));
        send.extend(self.probes(now));
        send.retain(|outgoing| !outgoing.to.is_empty());
        send
    }

    /// What others of the region must know now: this host has learnt something of the store, or is
    /// leaving.
    pub fn announce(&mut self, own: OwnState, slot: u64, now: Moment) -> Vec<Outgoing> {
        self.own = own;
        let mut send = vec![self.heartbeat_to_zone(now)];
        let mut to = self.receivers(true, slot, ANNOUNCE_RECEIVERS, now);
        if self.own.leaving {
            to.extend(self.receivers(false, slot, ANNOUNCE_RECEIVERS, now));
        }
        send.extend(self.report_to(to, now));
        send.retain(|outgoing| !outgoing.to.is_empty());
        send
    }

    /// Takes a message in.
    pub fn heard(&mut self, message: Message, now: Moment) -> Heard {
        match message {
            Message::Heartbeat(heartbeat) => self.heard_heartbeat(heartbeat, now),
            Message::Zone(report) => self.heard_report(report, now),
        }
    }

    fn heard_heartbeat(&mut self, heartbeat: Heartbeat, now: Moment) -> Heard {
        let mut heard = Heard::default();
        if heartbeat.note.host == self.parts.host {
            return heard;
        }
        self.take_contacts(&heartbeat.contacts, now);
        let from = heartbeat.note.gossip;
        let (host, zone) = (heartbeat.note.host.clone(), heartbeat.zone.clone());
        let region = self.region_of(&zone).clone();
        let is_new = self.peers.heard(heartbeat, region, now);
        if is_new || zone != self.parts.zone {
            let report = ZoneReport { contacts: self.contacts_for(&zone, now), ..self.report(now) };
            heard.send.push(Outgoing { message: Message::Zone(report), to: vec![from] });
        }
        if is_new {
            heard.new.push((host, zone));
        }
        heard
    }

    fn heard_report(&mut self, mut report: ZoneReport, now: Moment) -> Heard {
        let mut heard = Heard::default();
        self.take_contacts(&report.contacts, now);
        report.contacts.clear();
        if report.zone == self.parts.zone {
            // The answer of a host of the own zone: each of them is heard directly soon.
            for (note, _) in report.hosts {
                self.contacts.add(note.gossip, report.zone.clone(), now);
            }
            return heard;
        }
        if !self.reports.take(&report, now) {
            return heard;
        }
        let region = self.region_of(&report.zone).clone();
        for (note, silent_ms) in &report.hosts {
            let at = now.saturating_sub(Duration::from_millis(u64::from(*silent_ms)));
            if self.peers.learn_of(note.clone(), &report.zone, &region, at, now) {
                heard.new.push((note.host.clone(), report.zone.clone()));
            }
        }
        if !report.is_passed_on {
            report.is_passed_on = true;
            let to: Vec<SocketAddr> = self.zone_peers(now).map(|peer| peer.note.gossip).collect();
            heard.send.push(Outgoing { message: Message::Zone(report), to });
        }
        heard
    }

    fn take_contacts(&mut self, contacts: &[(SocketAddr, ZoneId)], now: Moment) {
        for (addr, zone) in contacts {
            if *addr != self.parts.gossip {
                self.contacts.add(*addr, zone.clone(), now);
            }
        }
    }

    fn region_of<'a>(&'a self, zone: &'a ZoneId) -> &'a RegionId {
        self.parts.zones.get(zone).unwrap_or(zone)
    }

    /// Other living hosts of the own zone.
    fn zone_peers(&self, now: Moment) -> impl Iterator<Item = &Peer> + Clone {
        self.peers.live(now).filter(|peer| peer.zone == self.parts.zone)
    }

    fn note(&self) -> HostNote {
        HostNote {
            callers: self.parts.callers,
            control: self.parts.control,
            gossip: self.parts.gossip,
            host: self.parts.host.clone(),
            leaving: self.own.leaving,
            reaches_store: self.own.reaches_store,
            start: self.parts.start,
            strained: self.own.strained,
            turn: self.turn,
        }
    }

    fn heartbeat(&mut self, now: Moment) -> Message {
        self.turn += 1;
        let live = self.peers.live(now);
        let first = self.turn as usize * TOLD_CONTACTS % live.clone().count().max(1);
        let told = live.clone().chain(live).skip(first).take(TOLD_CONTACTS);
        Message::Heartbeat(Heartbeat {
            contacts: told.map(|peer| (peer.note.gossip, peer.zone.clone())).collect(),
            declared_check: self.own_declared_check().map(|check| check.to_age(now)),
            load: self.own.load.clone(),
            note: self.note(),
            stamp: self.own.stamp,
            zone: self.parts.zone.clone(),
        })
    }

    fn heartbeat_to_zone(&mut self, now: Moment) -> Outgoing {
        let to = self.zone_peers(now).map(|peer| peer.note.gossip).collect();
        Outgoing { message: self.heartbeat(now), to }
    }

    /// The own zone's report, as this host sees it.
    fn report(&self, now: Moment) -> ZoneReport {
        let others = self.zone_peers(now);
        let silent_ms = |peer: &Peer| now.saturating_sub(peer.heard).as_millis() as u16;
        let hosts = others.clone().map(|peer| (peer.note.clone(), silent_ms(peer)));
        let checks =
            others.clone().filter_map(|peer| peer.declared_check).chain(self.own_declared_check());
        let latest = checks.max_by_key(|check| (check.version, check.at));
        let loads = others.map(|peer| &peer.load).chain([&self.own.load]);
        ZoneReport {
            by: self.parts.host.clone(),
            contacts: Vec::new(),
            declared_check: latest.map(|check| check.to_age(now)),
            hosts: hosts.chain([(self.note(), 0)]).collect(),
            informed: self.best_informed(now),
            load: Load::sum(loads),
            is_passed_on: false,
            order: self.note().order(),
            zone: self.parts.zone.clone(),
        }
    }

    /// For each part of the store's state, the host of the zone that knows most of it.
    fn best_informed(&self, now: Moment) -> Vec<Informed> {
        let own = Informed { control: self.parts.control, stamp: self.own.stamp };
        let mut best: Vec<Informed> = Vec::new();
        for part in StorePart::ALL {
            let others = self.zone_peers(now).filter_map(|peer| {
                Some(Informed { control: peer.note.control, stamp: peer.stamp? })
            });
            let most = others.fold(own.clone(), |most, other| {
                if other.stamp.is_ahead_of(&most.stamp, part) { other } else { most }
            });
            if !best.contains(&most) {
                best.push(most);
            }
        }
        best
    }

    fn report_to(&mut self, mut to: Vec<SocketAddr>, now: Moment) -> Option<Outgoing> {
        to.sort_unstable();
        to.dedup();
        if to.is_empty() {
            return None;
        }
        // Each report of a host is a later word than its last one.
        self.turn += 1;
        Some(Outgoing { message: Message::Zone(self.report(now)), to })
    }

    /// Receivers of the own zone's report in each other zone of the region, or of the other regions.
    /// A zone of which no host lives is tried where hosts last lived: it may only have been cut off.
    fn receivers(&self, near: bool, slot: u64, count: usize, now: Moment) -> Vec<SocketAddr> {
        let mut zones: BTreeMap<&ZoneId, Vec<SocketAddr>> = BTreeMap::new();
        let wanted = |peer: &&Peer| {
            peer.zone != self.parts.zone && (peer.region == self.parts.region) == near
        };
        for peer in self.peers.live(now).filter(wanted) {
            zones.entry(&peer.zone).or_default().push(peer.note.gossip);
        }
        let live: BTreeSet<&ZoneId> = zones.keys().copied().collect();
        for peer in self.peers.silent(now).filter(wanted) {
            if !live.contains(&peer.zone) {
                zones.entry(&peer.zone).or_default().push(peer.note.gossip);
            }
        }
        let receivers = zones.values().map(|hosts| Rotation::receivers(slot, hosts, count));
        receivers.flatten().collect()
    }

    /// Probes those that may live and are not heard.
    fn probes(&mut self, now: Moment) -> Option<Outgoing> {
        let every = if self.is_new() { NEW_PROBE_TICKS } else { PROBE_TICKS };
        if self.ticks % every != 1 {
            return None;
        }
        let mut live: BTreeSet<SocketAddr> =
            self.peers.live(now).map(|peer| peer.note.gossip).collect();
        live.insert(self.parts.gossip);
        let zones: BTreeSet<&ZoneId> = self.peers.live(now).map(|peer| &peer.zone).collect();
        let turn = (self.ticks / every) as usize;
        let mut to = self.contacts.to_probe(&self.parts.zone, &live, &zones, turn);
        to.extend(self.parts.seeds.iter().filter(|seed| !live.contains(*seed)));
        let silent = self.peers.silent(now).filter(|peer| peer.zone == self.parts.zone);
        to.extend(silent.map(|peer| peer.note.gossip));
        let to: Vec<SocketAddr> = to.into_iter().collect();
        Some(Outgoing { message: self.heartbeat(now), to })
    }

    /// Whom a host of `zone` may probe beyond the hosts of this zone: all of its own zone, and some
    /// of each other one.
    fn contacts_for(&self, zone: &ZoneId, now: Moment) -> Vec<(SocketAddr, ZoneId)> {
        let mut told: BTreeMap<&ZoneId, usize> = BTreeMap::new();
        let mut contacts = Vec::new();
        for peer in self.peers.live(now).filter(|peer| peer.zone != self.parts.zone) {
            let count = told.entry(&peer.zone).or_default();
            *count += 1;
            if peer.zone == *zone || *count <= ANSWERED_CONTACTS {
                contacts.push((peer.note.gossip, peer.zone.clone()));
            }
        }
        contacts
    }
}
