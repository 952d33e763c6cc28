//! State machine of the gossip protocol on one host.

use std::collections::{BTreeSet, VecDeque};

use super::{
    Collection, Contacts, DeclarationCheckAge, Delivery, Heartbeat, HostInfo, Load, Members,
    Message, Peer, Peers, Purpose, Reports, Rotation, Round, StateSource, ZoneReport,
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

/// Probes in one round. Further addresses are probed in the next rounds.
const MAX_PROBES: usize = 48;

/// Contacts in the answer to a probe, for each zone other than the prober's.
const PROBE_REPLY_CONTACTS: usize = 2;

/// Contacts of the prober's own zone in the answer to a probe. Its hosts know the others.
const PROBE_REPLY_ZONE_CONTACTS: usize = 16;

/// Time between two probes that ask a zone for the list of all its hosts.
const MEMBERS_QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a zone's hosts must differ from those of its reports before a host asks for the
/// list of all. The first receiver of a report asks at once, and shares the answer with its zone.
const MEMBERS_QUERY_DELAY: Duration = Duration::from_millis(600);

/// Time for which own states are remembered, to subtract them from the sums that contain them.
const STATE_TTL: Duration = Duration::from_secs(1);

/// Hosts with the latest state of the store that a report names besides the first one, while other
/// hosts of the zone lack it.
const FURTHER_SOURCES: usize = 6;

/// Divisor of the capacity of hosts that get too little processor time.
const STRAINED_PART: u16 = 8;

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
    /// Processor time that this host may use, in hundredths of a core.
    pub capacity: u16,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the control listener.
    pub control: SocketAddr,
    /// Address that receives datagrams of other hosts.
    pub gossip: SocketAddr,
    pub host: HostId,
    /// Number of hosts up to which each host of a zone sends its state to every other one.
    pub mesh_hosts: usize,
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
    collection: Collection,
    contacts: Contacts,
    /// Schedule of the reports to zones of other regions.
    cross_region: Rotation,
    /// Schedule of the reports to other zones of the region.
    same_region: Rotation,
    own: OwnState,
    config: FleetConfig,
    /// Since when the known hosts of a zone differ from those of its reports, and when the zone was
    /// last asked for all of them.
    differing_zones: BTreeMap<ZoneId, DifferingZone>,
    /// When the reported state of this host last changed, and its digest.
    own_changed: (Moment, u64),
    peers: Peers,
    reports: Reports,
    /// The round in which this host last sent its state to a collector.
    round: Option<Round>,
    /// The loads that this host last sent to collectors, and when.
    sent_loads: VecDeque<(Moment, HostId, Load)>,
    ticks: u64,
    /// Increases with each heartbeat and report.
    sequence: u64,
}

#[derive(Clone, Copy, Debug)]
struct DifferingZone {
    /// Whether the answer is forwarded to the own zone.
    is_answer_shared: bool,
    queried_at: Option<Moment>,
    since: Moment,
}

impl Fleet {
    /// Creates the state of a host that has received no messages yet.
    pub fn new(config: FleetConfig) -> Self {
        Self {
            collection: Collection::default(),
            contacts: Contacts::default(),
            cross_region: Rotation::default(),
            same_region: Rotation::default(),
            own: OwnState { reaches_store: true, ..OwnState::default() },
            config,
            differing_zones: BTreeMap::new(),
            own_changed: (Moment::ZERO, 0),
            peers: Peers::default(),
            reports: Reports::default(),
            round: None,
            sent_loads: VecDeque::new(),
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

    /// Digest of the other live hosts and their states, without their loads.
    pub fn live_digest(&self, now: Moment) -> u64 {
        self.peers.live_digest(now)
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

    /// Loads of other hosts, with their regions: one sum for each zone, and one for each host of a
    /// small own zone.
    pub fn loads(&self, now: Moment) -> impl Iterator<Item = (&RegionId, &Load)> {
        let is_large = self.is_zone_large(now);
        let own_zone = self.zone_peers(now).filter(move |it| !is_large && it.has_recent_load(now));
        let direct = own_zone.map(|peer| (&peer.region, &peer.load));
        let reported = self.reports.loads(now);
        let reported = reported.filter(move |(zone, _)| is_large || **zone != self.config.zone);
        direct.chain(reported.map(|(zone, load)| (self.region_of(zone), load)))
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

    /// Returns the messages that are due: the state of this host, the zone's report if it is this
    /// host's turn, and probes. `slot` is the wall-clock time in tenths of a second.
    pub fn tick(&mut self, own: OwnState, slot: u64, now: Moment) -> Vec<Outgoing> {
        self.update_own(own, now);
        self.ticks += 1;
        let mut send = match self.is_zone_large(now) {
            true => self.collect(slot, now),
            false => self.exchange_in_mesh(slot, now),
        };
        send.extend(self.probe(now));
        send.retain(|outgoing| !outgoing.to.is_empty());
        send
    }

    /// Messages to a small zone: the state of this host to all of its hosts, and the zone's report
    /// to other zones if it is this host's turn.
    fn exchange_in_mesh(&mut self, slot: u64, now: Moment) -> Vec<Outgoing> {
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
        send
    }

    /// Messages to a large zone: the state of this host to the collectors of a new round, and the
    /// report of the states that this host has collected.
    fn collect(&mut self, slot: u64, now: Moment) -> Vec<Outgoing> {
        let round = Round::at(slot, self.zone_peers(now).count() + 1);
        let mut send = Vec::new();
        if self.round.replace(round) != Some(round) {
            send.extend(self.send_to_collectors(round, now));
        }
        if self.collection.is_due(now) {
            send.extend(self.send_collected(round, now));
        }
        send
    }

    fn send_to_collectors(&mut self, round: Round, now: Moment) -> Vec<Outgoing> {
        let own = self.info();
        let hosts = self.zone_peers(now).map(|peer| &peer.info).chain([&own]);
        let candidates = hosts.filter(|info| !info.leaving);
        let weighted = candidates.map(|info| {
            let capacity =
                if info.strained { info.capacity / STRAINED_PART } else { info.capacity };
            (&info.host, capacity, (info.host.clone(), info.gossip))
        });
        let (collector, standby) = round.collectors(weighted);
        let mut send = Vec::new();
        for (receiver, purpose) in [(collector, Purpose::Collect), (standby, Purpose::Standby)] {
            let Some((host, addr)) = receiver else { continue };
            if addr != self.config.gossip {
                self.sent_loads.push_back((now, host, self.own.load.clone()));
                send.push(Outgoing { message: self.heartbeat(purpose, now), to: vec![addr] });
            }
        }
        self.sent_loads.retain(|(at, _, _)| now.saturating_sub(*at) < STATE_TTL);
        send
    }

    /// The report of the collected states, to the own zone and to other zones. A collection of few
    /// late hosts is reported without its load.
    fn send_collected(&mut self, round: Round, now: Moment) -> Vec<Outgoing> {
        self.sequence += 1;
        let mut report = self.report(self.changed_members(now), now);
        let has_most =
            report.load.as_ref().is_some_and(|(_, hosts)| report.members.count <= hosts * 2);
        if !has_most {
            report.load = None;
        }
        report.is_cross_region = has_most && self.collection.is_cross_region_due(now);
        let others = self.zone_peers(now).filter(|peer| peer.has_recent_load(now));
        let load = Load::sum(others.map(|peer| &peer.load));
        let load = report.load.as_ref().map(|(_, hosts)| (load, *hosts));
        self.reports.record(&ZoneReport { load, ..report.clone() }, now);

        let own_zone = self.zone_peers(now).map(|peer| peer.info.gossip).collect();
        let mut other_zones = Vec::new();
        let mut copies = Vec::new();
        if has_most {
            other_zones.extend(self.report_receivers(true, round.number(), 1, now));
            if report.is_cross_region {
                let receivers = |count| self.report_receivers(false, round.number(), count, now);
                let first = receivers(1);
                copies = receivers(CROSS_REGION_RECEIVERS);
                copies.retain(|addr| !first.contains(addr));
                other_zones.extend(first);
            }
        }
        let light = ZoneReport { load: None, ..report.clone() };
        let to = |report, to| Outgoing { message: Message::Zone(report), to };
        vec![to(report.clone(), own_zone), to(report, other_zones), to(light, copies)]
    }

    /// Returns the messages that report a change immediately: to the region, and to other regions
    /// as well if this host is leaving.
    pub fn announce(&mut self, own: OwnState, slot: u64, now: Moment) -> Vec<Outgoing> {
        self.update_own(own, now);
        let mut send = vec![self.heartbeat_to_zone(now)];
        let mut to = self.report_receivers(true, slot, ANNOUNCE_RECEIVERS, now);
        if self.own.leaving {
            to.extend(self.report_receivers(false, slot, ANNOUNCE_RECEIVERS, now));
        }
        if self.is_zone_large(now) {
            let report = ZoneReport { load: None, ..self.report(self.changed_members(now), now) };
            send.push(Outgoing { message: Message::Zone(report), to });
        } else {
            send.extend(self.report_to(to, now));
        }
        send.retain(|outgoing| !outgoing.to.is_empty());
        send
    }

    fn update_own(&mut self, own: OwnState, now: Moment) {
        self.own = own;
        let digest = self.info().digest();
        if self.own_changed.1 != digest {
            self.own_changed = (now, digest);
        }
    }

    /// Whether the own zone has so many hosts that their states are collected.
    fn is_zone_large(&self, now: Moment) -> bool {
        self.config.mesh_hosts < self.zone_peers(now).count() + 1
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
        let (from, purpose) = (heartbeat.info.gossip, heartbeat.purpose);
        let (host, zone) = (heartbeat.info.host.clone(), heartbeat.zone.clone());
        let region = self.region_of(&zone).clone();
        let is_new = self.peers.record_heartbeat(heartbeat, region, now);
        match purpose {
            Purpose::Collect => self.collection.record(now),
            Purpose::Standby => self.collection.record_standby(now),
            Purpose::Probe => {
                let contacts = self.contacts_for(&zone, now);
                let members = self.all_members(now);
                let report = self.report(members, now);
                let report = ZoneReport { contacts, delivery: Delivery::Answer, ..report };
                received.send.push(Outgoing { message: Message::Zone(report), to: vec![from] });
            }
            Purpose::State => {}
        }
        if is_new {
            received.new_hosts.push((host, zone));
        }
        received
    }

    fn receive_report(&mut self, mut report: ZoneReport, now: Moment) -> Received {
        let mut received = Received::default();
        if report.sender == self.config.host {
            return received;
        }
        self.add_contacts(&report.contacts, now);
        report.contacts.clear();
        let is_own_zone = report.zone == self.config.zone;
        if is_own_zone
            && usize::from(report.members.count) <= self.config.mesh_hosts
            && !self.is_zone_large(now)
        {
            // The answer to a probe in a small zone. Its hosts are probed and then heard directly.
            for (info, _) in report.members.listed {
                self.contacts.add(info.gossip, report.zone.clone(), now);
            }
            return received;
        }
        if is_own_zone {
            self.collection.record_report(report.is_cross_region, now);
            self.subtract_own_load(&mut report);
        }
        if !self.reports.record(&report, now) {
            return received;
        }
        let is_first_receiver = !is_own_zone && self.is_to_forward(&report, now);
        received.send.extend(self.record_members(
            &report,
            is_first_receiver,
            &mut received.new_hosts,
            now,
        ));
        if is_first_receiver {
            report.delivery = Delivery::Forwarded;
            let to: Vec<SocketAddr> = self.zone_peers(now).map(|peer| peer.info.gossip).collect();
            received.send.push(Outgoing { message: Message::Zone(report), to });
        }
        received
    }

    /// Whether this host forwards the report of another zone to its own: if it is the first
    /// receiver, or has asked for the report as the first receiver of an earlier one.
    fn is_to_forward(&self, report: &ZoneReport, now: Moment) -> bool {
        match report.delivery {
            Delivery::Answer => {
                let differing = self.differing_zones.get(&report.zone);
                !self.is_zone_large(now) || differing.is_some_and(|it| it.is_answer_shared)
            }
            Delivery::FirstReceiver => true,
            Delivery::Forwarded => false,
        }
    }

    /// Removes this host's load from the sum of its zone.
    fn subtract_own_load(&self, report: &mut ZoneReport) {
        let sent = self.sent_loads.iter().rev().find(|(_, host, _)| *host == report.sender);
        if let (Some((load, _)), Some((_, _, sent))) = (&mut report.load, sent) {
            load.subtract(sent);
        }
    }

    /// Records the hosts of a reported zone. Returns a probe that asks the sender for all of them
    /// if the known ones differ.
    fn record_members(
        &mut self,
        report: &ZoneReport,
        is_first_receiver: bool,
        new_hosts: &mut Vec<(HostId, ZoneId)>,
        now: Moment,
    ) -> Option<Outgoing> {
        let zone = &report.zone;
        let region = self.region_of(zone).clone();
        let own_digest = (*zone == self.config.zone).then_some(self.own_changed.1);
        let mut members = report.members.clone();
        members.listed.retain(|(info, _)| info.host != self.config.host);
        let (new, matches) = self.peers.record_members(&members, zone, &region, own_digest, now);
        new_hosts.extend(new.into_iter().map(|host| (host, zone.clone())));
        if matches {
            self.differing_zones.remove(zone);
            return None;
        }
        let differing = self.differing_zones.entry(zone.clone());
        let differing = differing.or_insert(DifferingZone {
            is_answer_shared: false,
            queried_at: None,
            since: now,
        });
        let is_asked = |at: Moment| now.saturating_sub(at) < MEMBERS_QUERY_INTERVAL;
        let is_due =
            is_first_receiver || MEMBERS_QUERY_DELAY <= now.saturating_sub(differing.since);
        if !is_due || differing.queried_at.is_some_and(is_asked) {
            return None;
        }
        differing.queried_at = Some(now);
        differing.is_answer_shared = is_first_receiver;
        let message = self.heartbeat(Purpose::Probe, now);
        Some(Outgoing { message, to: vec![report.sender_addr] })
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
            capacity: self.config.capacity,
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

    fn heartbeat(&mut self, purpose: Purpose, now: Moment) -> Message {
        self.sequence += 1;
        let live = self.peers.live(now);
        let first = self.sequence as usize * HEARTBEAT_CONTACTS % live.clone().count().max(1);
        let selected = live.clone().chain(live).skip(first).take(HEARTBEAT_CONTACTS);
        Message::Heartbeat(Heartbeat {
            contacts: selected.map(|peer| (peer.info.gossip, peer.zone.clone())).collect(),
            declaration_check: self.own_declaration_check().map(|check| check.to_age(now)),
            load: self.own.load.clone(),
            info: self.info(),
            purpose,
            stamp: self.own.stamp,
            zone: self.config.zone.clone(),
        })
    }

    fn heartbeat_to_zone(&mut self, now: Moment) -> Outgoing {
        let to = self.zone_peers(now).map(|peer| peer.info.gossip).collect();
        Outgoing { message: self.heartbeat(Purpose::State, now), to }
    }

    /// Creates the report of the own zone from what this host knows.
    fn report(&self, members: Members, now: Moment) -> ZoneReport {
        let others = self.zone_peers(now);
        let checks = others
            .clone()
            .filter_map(|peer| peer.declaration_check)
            .chain(self.own_declaration_check());
        let latest = checks.max_by_key(|check| (check.version, check.at));
        let reporting = others.clone().filter(|peer| peer.has_recent_load(now));
        let loads = reporting.map(|peer| &peer.load).chain([&self.own.load]);
        let load_hosts = loads.clone().count().try_into().unwrap_or(u16::MAX);
        ZoneReport {
            sender: self.config.host.clone(),
            sender_addr: self.config.gossip,
            contacts: Vec::new(),
            declaration_check: latest.map(|check| check.to_age(now)),
            members,
            state_sources: self.best_state_sources(now),
            load: Some((Load::sum(loads), load_hosts)),
            delivery: Delivery::FirstReceiver,
            is_cross_region: false,
            order: self.info().order(),
            zone: self.config.zone.clone(),
        }
    }

    /// All hosts of the own zone.
    fn all_members(&self, now: Moment) -> Members {
        Members::complete(self.info(), self.zone_peers(now), now)
    }

    /// The hosts of the own zone that changed.
    fn changed_members(&self, now: Moment) -> Members {
        let known = self.peers.iter().filter(|peer| peer.zone == self.config.zone);
        Members::changes(self.info(), self.own_changed.0, known, now)
    }

    /// For each part of the store's state, the host of the own zone with the latest version of it,
    /// and further hosts with the same state while others lack it: one host could not answer the
    /// queries of all others at once.
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
        let Some(latest) = best.last().map(|source| source.stamp) else { return best };
        let heard = self.zone_peers(now).filter(|peer| peer.has_recent_load(now));
        let stamps = heard.filter_map(|peer| Some((peer.info.control, peer.stamp?)));
        let is_current =
            |stamp: &Stamp| (stamp.declared, stamp.targets) == (latest.declared, latest.targets);
        if stamps.clone().all(|(_, stamp)| is_current(&stamp)) {
            return best;
        }
        let current = stamps.filter(|(_, stamp)| is_current(stamp));
        let first = self.sequence as usize % current.clone().count().max(1);
        let further = current.clone().chain(current).skip(first).take(FURTHER_SOURCES);
        for (control, stamp) in further {
            if !best.iter().any(|source| source.control == control) {
                best.push(StateSource { control, stamp });
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
        Some(Outgoing { message: Message::Zone(self.report(self.all_members(now), now)), to })
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
        let mut to: Vec<SocketAddr> = to.into_iter().collect();
        if MAX_PROBES < to.len() {
            let first = round.wrapping_mul(MAX_PROBES) % to.len();
            to.rotate_left(first);
            to.truncate(MAX_PROBES);
        }
        Some(Outgoing { message: self.heartbeat(Purpose::Probe, now), to })
    }

    /// Contacts for a probing host of `zone`, other than the hosts of this host's own zone: some of
    /// `zone`, and fewer of each further zone.
    fn contacts_for(&self, zone: &ZoneId, now: Moment) -> Vec<(SocketAddr, ZoneId)> {
        let mut counts: BTreeMap<&ZoneId, usize> = BTreeMap::new();
        let mut contacts = Vec::new();
        for peer in self.peers.live(now).filter(|peer| peer.zone != self.config.zone) {
            let count = counts.entry(&peer.zone).or_default();
            *count += 1;
            let most =
                if peer.zone == *zone { PROBE_REPLY_ZONE_CONTACTS } else { PROBE_REPLY_CONTACTS };
            if *count <= most {
                contacts.push((peer.info.gossip, peer.zone.clone()));
            }
        }
        contacts
    }
}
