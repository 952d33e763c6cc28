//! State machine of the gossip protocol on one host.

use std::collections::BTreeSet;

use super::{
    Contacts, DeclarationCheckAge, Heartbeat, HostInfo, Load, Message, Peer, Peers, Reports,
    Rotation, StateSource, ZoneReport,
};
use crate::{
    entry::{DeclarationVersion, Stamp, StorePart},
    prelude::*,
};

/// Slots between two reports to zones of other regions. These zones need little more than the live
/// hosts and the demand of their callers.
const CROSS_REGION_INTERVAL_SLOTS: u64 = 5;

/// Receivers of a report in each zone of another region. These reports are infrequent, and the loss
/// of one with a single receiver would leave the whole zone without an update.
const CROSS_REGION_RECEIVERS: usize = 2;

/// Receivers of an immediate report in each zone.
const ANNOUNCE_RECEIVERS: usize = 2;

/// Contacts in one heartbeat: enough for a host to discover all others within one or two seconds.
const HEARTBEAT_CONTACTS: usize = 3;

/// Contacts in the answer to a probe, for each zone other than the prober's.
const PROBE_REPLY_CONTACTS: usize = 2;

/// Ticks between two rounds of probes.
const PROBE_INTERVAL_TICKS: u64 = 10;

/// Ticks after the start in which a host probes more often, and ticks between two rounds meanwhile.
const STARTUP_TICKS: u64 = 20;
const STARTUP_PROBE_INTERVAL_TICKS: u64 = 2;

/// Least difference of start times for a host to count as started earlier. Covers clock skew
/// between hosts that are started together.
const START_MARGIN: Duration = Duration::from_secs(2);

/// Identity, addresses and topology of a host.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the control listener.
    pub control: SocketAddr,
    /// Address that receives datagrams of other hosts.
    pub gossip: SocketAddr,
    pub host: HostId,
    pub region: RegionId,
    /// Gossip addresses that are probed first; may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Wall-clock time of the start, in milliseconds.
    pub start_ms: u64,
    pub zone: ZoneId,
    /// Region of each availability zone.
    pub zones: BTreeMap<ZoneId, RegionId>,
}

/// Current state of this host that it reports to other hosts; see also `HostInfo`.
#[derive(Clone, Debug, Default)]
pub struct OwnState {
    /// When the store last confirmed to this host that its declaration is the latest.
    pub declaration_checked_at: Option<Moment>,
    pub leaving: bool,
    pub load: Load,
    pub reaches_store: bool,
    /// Versions of the store's state that this host has.
    pub stamp: Stamp,
    pub strained: bool,
}

/// When the store confirmed that `version` was the latest declaration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeclarationCheck {
    pub at: Moment,
    pub version: DeclarationVersion,
}

impl DeclarationCheck {
    /// Converts the age in a message received at `now`. Transit time is unknown and not included.
    pub fn from_age(check: DeclarationCheckAge, now: Moment) -> Self {
        let age = Duration::from_millis(u64::from(check.age_ms));
        Self { at: now.saturating_sub(age), version: check.version }
    }

    /// Converts the time to an age, for a message sent at `now`.
    fn to_age(self, now: Moment) -> DeclarationCheckAge {
        let age = now.saturating_sub(self.at).as_millis();
        DeclarationCheckAge { age_ms: age.try_into().unwrap_or(u32::MAX), version: self.version }
    }
}

/// A message to send, and its receivers.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    pub message: Message,
    pub to: Vec<SocketAddr>,
}

/// Result of processing a message.
#[derive(Debug, Default)]
pub struct Received {
    /// Hosts that have become live.
    pub new_hosts: Vec<(HostId, ZoneId)>,
    /// Messages to send in response.
    pub send: Vec<Outgoing>,
}

/// What one host knows about all entry hosts.
#[derive(Debug)]
pub struct Fleet {
    contacts: Contacts,
    /// Schedule of the reports to zones of other regions.
    cross_region: Rotation,
    /// Schedule of the reports to other zones of the region.
    same_region: Rotation,
    own: OwnState,
    config: FleetConfig,
    peers: Peers,
    reports: Reports,
    ticks: u64,
    /// Increases with each heartbeat and report.
    sequence: u64,
}

impl Fleet {
    /// Creates the state of a host that has received no messages yet.
    pub fn new(config: FleetConfig) -> Self {
        Self {
            contacts: Contacts::default(),
            cross_region: Rotation::default(),
            same_region: Rotation::default(),
            own: OwnState { reaches_store: true, ..OwnState::default() },
            config,
            peers: Peers::default(),
            reports: Reports::default(),
            ticks: 0,
            sequence: 0,
        }
    }

    /// Applies reloaded settings.
    pub fn reload(&mut self, seeds: Vec<SocketAddr>, zones: BTreeMap<ZoneId, RegionId>) {
        self.config.seeds = seeds;
        self.config.zones = zones;
    }

    /// Whether the host started too recently to know all live hosts.
    pub fn is_new(&self) -> bool {
        self.ticks <= STARTUP_TICKS
    }

    /// Position of this host among the live hosts of its zone, ordered by name.
    pub fn rank_in_zone(&self, now: Moment) -> usize {
        self.zone_peers(now).filter(|peer| peer.info.host < self.config.host).count()
    }

    /// Other live hosts, ordered by name.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = &Peer> + Clone {
        self.peers.live(now)
    }

    /// Whether most of the other live hosts were running when this one started.
    pub fn peers_started_earlier(&self, now: Moment) -> bool {
        let started_earlier = |peer: &&Peer| {
            peer.info.start_ms + START_MARGIN.as_millis() as u64 <= self.config.start_ms
        };
        let live = self.peers.live(now);
        live.clone().count() < live.filter(started_earlier).count() * 2
    }

    /// Number of hosts that are live, or silent without having left and possibly partitioned,
    /// including this one.
    pub fn known_hosts(&self, now: Moment) -> usize {
        let silent = self.peers.silent(now).filter(|peer| !peer.info.leaving);
        self.peers.live(now).count() + silent.count() + 1
    }

    /// Returns the hosts that have become silent since the last call, and removes expired contacts.
    pub fn detect_lost(&mut self, now: Moment) -> Vec<Peer> {
        self.contacts.remove_expired(now);
        self.peers.detect_lost(now)
    }

    /// Replaces the contacts by the addresses in the store's host records.
    pub fn replace_contacts(&mut self, gossip: impl Iterator<Item = SocketAddr>, now: Moment) {
        self.contacts.replace(gossip, now);
    }

    /// Loads of other hosts, with their regions: one for each host of the own zone, and one sum for
    /// each other zone.
    pub fn loads(&self, now: Moment) -> impl Iterator<Item = (&RegionId, &Load)> {
        let own = self.zone_peers(now).map(|peer| (&peer.region, &peer.load));
        let other = self.reports.loads(now);
        own.chain(other.map(|(zone, load)| (self.region_of(zone), load)))
    }

    /// Confirmations of the declaration that other hosts have sent.
    pub fn declaration_checks(&self, now: Moment) -> impl Iterator<Item = DeclarationCheck> {
        let direct = self.peers.live(now).filter_map(|peer| peer.declaration_check);
        direct.chain(self.reports.declaration_checks(now))
    }

    fn own_declaration_check(&self) -> Option<DeclarationCheck> {
        let at = self.own.declaration_checked_at?;
        Some(DeclarationCheck { at, version: self.own.stamp.declared })
    }

    /// Hosts from which the state of the store can be fetched, with their regions.
    pub fn state_sources(&self, now: Moment) -> impl Iterator<Item = (&RegionId, StateSource)> {
        let direct = self.peers.live(now).filter_map(|peer| {
            let stamp = peer.stamp?;
            Some((&peer.region, StateSource { control: peer.info.control, stamp }))
        });
        let reported = self.reports.state_sources(now);
        direct.chain(reported.map(|(zone, source)| (self.region_of(zone), source.clone())))
    }

    /// Returns the messages that are due: heartbeats to the own zone, the zone's report if it is
    /// this host's turn, and probes. `slot` is the wall-clock time in tenths of a second.
    pub fn tick(&mut self, own: OwnState, slot: u64, now: Moment) -> Vec<Outgoing> {
        self.own = own;
        self.ticks += 1;
        let mut send = vec![self.heartbeat_to_zone(now)];
        let rank = self.rank_in_zone(now);
        let hosts = self.zone_peers(now).count() + 1;
        let cross_region_slot = slot / CROSS_REGION_INTERVAL_SLOTS;
        let is_same_region_due = self.same_region.is_due(slot, rank, hosts);
        let is_cross_region_due = self.cross_region.is_due(cross_region_slot, rank, hosts);
        let mut to = Vec::new();
        if is_same_region_due {
            to.extend(self.report_receivers(true, slot, 1, now));
        }
        if is_cross_region_due {
            to.extend(self.report_receivers(false, cross_region_slot, CROSS_REGION_RECEIVERS, now));
        }
        send.extend(self.report_to(to, now));
        send.extend(self.probe(now));
        send.retain(|outgoing| !outgoing.to.is_empty());
        send
    }

    /// Returns the messages that report a change immediately: to the region, and to other regions
    /// as well if this host is leaving.
    pub fn announce(&mut self, own: OwnState, slot: u64, now: Moment) -> Vec<Outgoing> {
        self.own = own;
        let mut send = vec![self.heartbeat_to_zone(now)];
        let mut to = self.report_receivers(true, slot, ANNOUNCE_RECEIVERS, now);
        if self.own.leaving {
            to.extend(self.report_receivers(false, slot, ANNOUNCE_RECEIVERS, now));
        }
        send.extend(self.report_to(to, now));
        send.retain(|outgoing| !outgoing.to.is_empty());
        send
    }

    /// Processes a message of another host.
    pub fn receive(&mut self, message: Message, now: Moment) -> Received {
        match message {
            Message::Heartbeat(heartbeat) => self.receive_heartbeat(heartbeat, now),
            Message::Zone(report) => self.receive_report(report, now),
        }
    }

    fn receive_heartbeat(&mut self, heartbeat: Heartbeat, now: Moment) -> Received {
        let mut received = Received::default();
        if heartbeat.info.host == self.config.host {
            return received;
        }
        self.add_contacts(&heartbeat.contacts, now);
        let from = heartbeat.info.gossip;
        let (host, zone) = (heartbeat.info.host.clone(), heartbeat.zone.clone());
        let region = self.region_of(&zone).clone();
        let is_new = self.peers.record_heartbeat(heartbeat, region, now);
        if is_new || zone != self.config.zone {
            let report = ZoneReport { contacts: self.contacts_for(&zone, now), ..self.report(now) };
            received.send.push(Outgoing { message: Message::Zone(report), to: vec![from] });
        }
        if is_new {
            received.new_hosts.push((host, zone));
        }
        received
    }

    fn receive_report(&mut self, mut report: ZoneReport, now: Moment) -> Received {
        let mut received = Received::default();
        self.add_contacts(&report.contacts, now);
        report.contacts.clear();
        if report.zone == self.config.zone {
            // The answer to a probe of the own zone. Its hosts are probed and then heard directly.
            for (info, _) in report.hosts {
                self.contacts.add(info.gossip, report.zone.clone(), now);
            }
            return received;
        }
        if !self.reports.record(&report, now) {
            return received;
        }
        let region = self.region_of(&report.zone).clone();
        for (info, silent_ms) in &report.hosts {
            let at = now.saturating_sub(Duration::from_millis(u64::from(*silent_ms)));
            if self.peers.record_indirect(info.clone(), &report.zone, &region, at, now) {
                received.new_hosts.push((info.host.clone(), report.zone.clone()));
            }
        }
        if !report.is_forwarded {
            report.is_forwarded = true;
            let to: Vec<SocketAddr> = self.zone_peers(now).map(|peer| peer.info.gossip).collect();
            received.send.push(Outgoing { message: Message::Zone(report), to });
        }
        received
    }

    fn add_contacts(&mut self, contacts: &[(SocketAddr, ZoneId)], now: Moment) {
        for (addr, zone) in contacts {
            if *addr != self.config.gossip {
                self.contacts.add(*addr, zone.clone(), now);
            }
        }
    }

    fn region_of<'a>(&'a self, zone: &'a ZoneId) -> &'a RegionId {
        self.config.zones.get(zone).unwrap_or(zone)
    }

    /// Other live hosts of the own zone.
    fn zone_peers(&self, now: Moment) -> impl Iterator<Item = &Peer> + Clone {
        self.peers.live(now).filter(|peer| peer.zone == self.config.zone)
    }

    fn info(&self) -> HostInfo {
        HostInfo {
            callers: self.config.callers,
            control: self.config.control,
            gossip: self.config.gossip,
            host: self.config.host.clone(),
            leaving: self.own.leaving,
            reaches_store: self.own.reaches_store,
            start_ms: self.config.start_ms,
            strained: self.own.strained,
            sequence: self.sequence,
        }
    }

    fn heartbeat(&mut self, now: Moment) -> Message {
        self.sequence += 1;
        let live = self.peers.live(now);
        let first = self.sequence as usize * HEARTBEAT_CONTACTS % live.clone().count().max(1);
        let selected = live.clone().chain(live).skip(first).take(HEARTBEAT_CONTACTS);
        Message::Heartbeat(Heartbeat {
            contacts: selected.map(|peer| (peer.info.gossip, peer.zone.clone())).collect(),
            declaration_check: self.own_declaration_check().map(|check| check.to_age(now)),
            load: self.own.load.clone(),
            info: self.info(),
            stamp: self.own.stamp,
            zone: self.config.zone.clone(),
        })
    }

    fn heartbeat_to_zone(&mut self, now: Moment) -> Outgoing {
        let to = self.zone_peers(now).map(|peer| peer.info.gossip).collect();
        Outgoing { message: self.heartbeat(now), to }
    }

    /// Creates the report of the own zone from what this host knows.
    fn report(&self, now: Moment) -> ZoneReport {
        let others = self.zone_peers(now);
        let silent_ms = |peer: &Peer| now.saturating_sub(peer.last_heard).as_millis() as u16;
        let hosts = others.clone().map(|peer| (peer.info.clone(), silent_ms(peer)));
        let checks = others
            .clone()
            .filter_map(|peer| peer.declaration_check)
            .chain(self.own_declaration_check());
        let latest = checks.max_by_key(|check| (check.version, check.at));
        let loads = others.map(|peer| &peer.load).chain([&self.own.load]);
        ZoneReport {
            sender: self.config.host.clone(),
            contacts: Vec::new(),
            declaration_check: latest.map(|check| check.to_age(now)),
            hosts: hosts.chain([(self.info(), 0)]).collect(),
            state_sources: self.best_state_sources(now),
            load: Load::sum(loads),
            is_forwarded: false,
            order: self.info().order(),
            zone: self.config.zone.clone(),
        }
    }

    /// For each part of the store's state, the host of the own zone with the latest version of it.
    fn best_state_sources(&self, now: Moment) -> Vec<StateSource> {
        let own = StateSource { control: self.config.control, stamp: self.own.stamp };
        let mut best: Vec<StateSource> = Vec::new();
        for part in StorePart::ALL {
            let others = self.zone_peers(now).filter_map(|peer| {
                Some(StateSource { control: peer.info.control, stamp: peer.stamp? })
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
        // Receivers ignore a report whose order is not greater than that of the previous one.
        self.sequence += 1;
        Some(Outgoing { message: Message::Zone(self.report(now)), to })
    }

    /// Selects `count` receivers of the own zone's report in each other zone of the region, or in
    /// each zone of other regions. In a zone without live hosts, silent ones are selected, because
    /// the zone may only be partitioned.
    fn report_receivers(
        &self,
        same_region: bool,
        slot: u64,
        count: usize,
        now: Moment,
    ) -> Vec<SocketAddr> {
        let mut zones: BTreeMap<&ZoneId, Vec<SocketAddr>> = BTreeMap::new();
        let wanted = |peer: &&Peer| {
            peer.zone != self.config.zone && (peer.region == self.config.region) == same_region
        };
        for peer in self.peers.live(now).filter(wanted) {
            zones.entry(&peer.zone).or_default().push(peer.info.gossip);
        }
        let live: BTreeSet<&ZoneId> = zones.keys().copied().collect();
        for peer in self.peers.silent(now).filter(wanted) {
            if !live.contains(&peer.zone) {
                zones.entry(&peer.zone).or_default().push(peer.info.gossip);
            }
        }
        let receivers = zones.values().map(|hosts| Rotation::receivers(slot, hosts, count));
        receivers.flatten().collect()
    }

    /// Returns the probes that are due, to seeds, contacts and silent hosts of the own zone.
    fn probe(&mut self, now: Moment) -> Option<Outgoing> {
        let interval =
            if self.is_new() { STARTUP_PROBE_INTERVAL_TICKS } else { PROBE_INTERVAL_TICKS };
        if self.ticks % interval != 1 {
            return None;
        }
        let mut live: BTreeSet<SocketAddr> =
            self.peers.live(now).map(|peer| peer.info.gossip).collect();
        live.insert(self.config.gossip);
        let zones: BTreeSet<&ZoneId> = self.peers.live(now).map(|peer| &peer.zone).collect();
        let round = (self.ticks / interval) as usize;
        let mut to = self.contacts.to_probe(&self.config.zone, &live, &zones, round);
        to.extend(self.config.seeds.iter().filter(|seed| !live.contains(*seed)));
        let silent = self.peers.silent(now).filter(|peer| peer.zone == self.config.zone);
        to.extend(silent.map(|peer| peer.info.gossip));
        let to: Vec<SocketAddr> = to.into_iter().collect();
        Some(Outgoing { message: self.heartbeat(now), to })
    }

    /// Contacts for a probing host of `zone`, other than the hosts of this host's own zone: all
    /// known live hosts of `zone`, and some of each further zone.
    fn contacts_for(&self, zone: &ZoneId, now: Moment) -> Vec<(SocketAddr, ZoneId)> {
        let mut counts: BTreeMap<&ZoneId, usize> = BTreeMap::new();
        let mut contacts = Vec::new();
        for peer in self.peers.live(now).filter(|peer| peer.zone != self.config.zone) {
            let count = counts.entry(&peer.zone).or_default();
            *count += 1;
            if peer.zone == *zone || *count <= PROBE_REPLY_CONTACTS {
                contacts.push((peer.info.gossip, peer.zone.clone()));
            }
        }
        contacts
    }
}
