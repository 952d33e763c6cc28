//! State machine of the gossip protocol on one host.

mod probing;
mod receiving;
mod reporting;
mod zone_exchange;

use std::collections::VecDeque;

use super::{
    Collection, Contacts, DeclarationCheckAge, Load, Message, Peer, Peers, Reports, Rotation,
    Round, StateSource, ZoneReport,
};
use crate::{
    entry::{DeclarationVersion, Stamp},
    prelude::*,
};

/// Receivers of an immediate report in each zone.
const ANNOUNCE_RECEIVERS: usize = 2;

/// Ticks after the start in which a host probes more often.
const STARTUP_TICKS: u64 = 20;

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
    /// Port on which this host serves requests of other hosts.
    pub relay_port: Option<u16>,
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
    pub reaches_targets: bool,
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
            own: OwnState { reaches_store: true, reaches_targets: true, ..OwnState::default() },
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

    /// Adds the addresses in some of the store's host records to the contacts.
    pub fn add_listed_contacts(&mut self, gossip: impl Iterator<Item = SocketAddr>, now: Moment) {
        self.contacts.add_listed(gossip, now);
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

    fn region_of<'a>(&'a self, zone: &'a ZoneId) -> &'a RegionId {
        self.config.zones.get(zone).unwrap_or(zone)
    }

    /// Other live hosts of the own zone.
    fn zone_peers(&self, now: Moment) -> impl Iterator<Item = &Peer> + Clone {
        self.peers.live(now).filter(|peer| peer.zone == self.config.zone)
    }
}
