//! Hosts of several zones over a network in memory; each tick is a tenth of a second.

use std::collections::BTreeSet;

use super::addr;
use crate::{
    entry::Stamp,
    fleet::{Fleet, FleetConfig, Load, Message, Outgoing, OwnState},
    prelude::*,
};

/// Length of a tick.
pub const TICK: Duration = Duration::from_millis(100);

/// One host.
pub struct Host {
    pub fleet: Fleet,
    pub gossip: SocketAddr,
    pub is_up: bool,
    pub name: HostId,
    pub own: OwnState,
    pub zone: ZoneId,
}

/// Hosts, and what is on its way between them.
pub struct Network {
    pub hosts: Vec<Host>,
    /// Zones between which nothing passes, one way.
    pub cut: BTreeSet<(ZoneId, ZoneId)>,
    /// Bytes that were sent from zone to zone in one region, and from region to region.
    pub between_zones: usize,
    pub between_regions: usize,
    /// Messages in flight, with the zone that they come from.
    flying: Vec<(ZoneId, Outgoing)>,
    pub now: Moment,
    pub seeds: Vec<SocketAddr>,
    /// Messages that were sent.
    pub sent: usize,
    zones: BTreeMap<ZoneId, RegionId>,
}

impl Network {
    /// Three regions of three zones with that many hosts each; one host of each region is a seed.
    pub fn new(hosts: usize) -> Self {
        let zone = |at: usize| (zone(at), RegionId::from(format!("r{}", at / 3)));
        let mut network = Self {
            hosts: Vec::new(),
            cut: BTreeSet::new(),
            between_zones: 0,
            between_regions: 0,
            flying: Vec::new(),
            now: Duration::from_secs(100),
            seeds: vec![addr(10_000), addr(10_003), addr(10_006)],
            sent: 0,
            zones: (0..9).map(zone).collect(),
        };
        for at in 0..9 * hosts {
            network.start(at, at % 9);
        }
        network
    }

    /// Starts the host with that number, in that zone.
    pub fn start(&mut self, at: usize, in_zone: usize) {
        let name: HostId = format!("h-{at:03}").into();
        let (zone, gossip) = (zone(in_zone), addr(10_000 + at as u16));
        let fleet = Fleet::new(FleetConfig {
            callers: gossip,
            control: gossip,
            gossip,
            host: name.clone(),
            region: self.zones[&zone].clone(),
            seeds: self.seeds.clone(),
            start_ms: self.now.as_millis() as u64,
            zone: zone.clone(),
            zones: self.zones.clone(),
        });
        let load = Load { in_flight: vec![(7, 1)], demand: vec![(5, 0.5)], ..Load::default() };
        let own = OwnState { load, reaches_store: true, ..OwnState::default() };
        self.hosts.push(Host { fleet, gossip, is_up: true, name, own, zone });
    }

    /// Lets a tick pass: all that is sent arrives within it.
    pub fn tick(&mut self) {
        self.now += TICK;
        let slot = (self.now.as_millis() / TICK.as_millis()) as u64;
        for at in 0..self.hosts.len() {
            if self.hosts[at].is_up {
                let host = &mut self.hosts[at];
                let due = host.fleet.tick(host.own.clone(), slot, self.now);
                self.send(at, due);
                self.hosts[at].fleet.detect_lost(self.now);
            }
        }
        self.deliver();
    }

    pub fn run(&mut self, ticks: usize) {
        (0..ticks).for_each(|_| self.tick());
    }

    /// One host tells news.
    pub fn announce(&mut self, at: usize, stamp: Stamp) {
        let host = &mut self.hosts[at];
        host.own.stamp = stamp;
        let announced = host.fleet.announce(host.own.clone(), 1, self.now);
        self.send(at, announced);
        self.deliver();
    }

    fn send(&mut self, at: usize, all: Vec<Outgoing>) {
        let zone = self.hosts[at].zone.clone();
        self.flying.extend(all.into_iter().map(|outgoing| (zone.clone(), outgoing)));
    }

    fn deliver(&mut self) {
        while let Some((from, Outgoing { message, to })) = self.flying.pop() {
            let size = postcard::to_allocvec(&message).expect("it has a form").len();
            for addr in to {
                self.sent += 1;
                let Some(at) = self.hosts.iter().position(|host| host.gossip == addr) else {
                    continue;
                };
                self.count(&from, at, size);
                let is_cut = self.cut.contains(&(from.clone(), self.hosts[at].zone.clone()));
                if self.hosts[at].is_up && !is_cut {
                    self.receive(at, message.clone());
                }
            }
        }
    }

    fn receive(&mut self, at: usize, message: Message) {
        let received = self.hosts[at].fleet.receive(message, self.now);
        self.send(at, received.send);
    }

    fn count(&mut self, from: &ZoneId, to: usize, size: usize) {
        let to = &self.hosts[to].zone;
        if self.zones[from] != self.zones[to] {
            self.between_regions += size;
        } else if from != to {
            self.between_zones += size;
        }
    }

    /// Hosts that each host that is up takes for living, itself not counted: least and most.
    pub fn known(&self) -> (usize, usize) {
        let known = |host: &Host| host.fleet.live(self.now).count();
        let known: Vec<usize> = self.hosts.iter().filter(|host| host.is_up).map(known).collect();
        let least = known.iter().min().copied().unwrap_or_default();
        (least, known.iter().max().copied().unwrap_or_default())
    }

    /// Requests at the one target that all hosts use, as a host sees those of all others.
    pub fn in_flight(&self, at: usize) -> u32 {
        let loads = self.hosts[at].fleet.loads(self.now);
        loads.flat_map(|(_, load)| &load.in_flight).map(|(_, count)| u32::from(*count)).sum()
    }
}

/// The name of a zone.
pub fn zone(at: usize) -> ZoneId {
    format!("r{}-{}", at / 3, at % 3).into()
}
