//! In-memory network between hosts of several zones.

use std::collections::BTreeSet;

use super::addr;
use crate::{
    entry::Stamp,
    fleet::{Fleet, FleetConfig, Load, Message, Outgoing, OwnState},
    prelude::*,
};

/// Duration of a tick.
pub const TICK: Duration = Duration::from_millis(100);

/// A simulated host.
pub struct Host {
    pub fleet: Fleet,
    pub gossip: SocketAddr,
    pub is_up: bool,
    pub name: HostId,
    pub own: OwnState,
    pub zone: ZoneId,
}

/// Simulated hosts, and the messages between them.
pub struct Network {
    pub hosts: Vec<Host>,
    /// Zone pairs whose messages from the first to the second zone are lost.
    pub partitions: BTreeSet<(ZoneId, ZoneId)>,
    /// Bytes sent between zones of the same region, and between regions.
    pub cross_zone_bytes: usize,
    pub cross_region_bytes: usize,
    /// Messages in transit, with the zone of the sender.
    in_transit: Vec<(ZoneId, Outgoing)>,
    pub now: Moment,
    pub seeds: Vec<SocketAddr>,
    /// Number of messages sent.
    pub sent: usize,
    zones: BTreeMap<ZoneId, RegionId>,
}

impl Network {
    /// Creates three regions of three zones with `hosts` hosts each. One host of each region is a
    /// seed.
    pub fn new(hosts: usize) -> Self {
        let zone = |at: usize| (zone(at), RegionId::from(format!("r{}", at / 3)));
        let mut network = Self {
            hosts: Vec::new(),
            partitions: BTreeSet::new(),
            cross_zone_bytes: 0,
            cross_region_bytes: 0,
            in_transit: Vec::new(),
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

    /// Starts a host with the given index in the given zone.
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
        let load = Load { in_flight: vec![(7, 1)], demand: vec![((5, 6), 0.5)], ..Load::default() };
        let own = OwnState { load, reaches_store: true, ..OwnState::default() };
        self.hosts.push(Host { fleet, gossip, is_up: true, name, own, zone });
    }

    /// Advances the time by one tick. All messages sent in a tick are delivered in it.
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

    /// Lets one host announce a stamp.
    pub fn announce(&mut self, at: usize, stamp: Stamp) {
        let host = &mut self.hosts[at];
        host.own.stamp = stamp;
        let announced = host.fleet.announce(host.own.clone(), 1, self.now);
        self.send(at, announced);
        self.deliver();
    }

    fn send(&mut self, at: usize, all: Vec<Outgoing>) {
        let zone = self.hosts[at].zone.clone();
        self.in_transit.extend(all.into_iter().map(|outgoing| (zone.clone(), outgoing)));
    }

    fn deliver(&mut self) {
        while let Some((from, Outgoing { message, to })) = self.in_transit.pop() {
            let size = postcard::to_allocvec(&message).expect("a message can be encoded").len();
            for addr in to {
                self.sent += 1;
                let Some(at) = self.hosts.iter().position(|host| host.gossip == addr) else {
                    continue;
                };
                self.count_bytes(&from, at, size);
                let is_partitioned =
                    self.partitions.contains(&(from.clone(), self.hosts[at].zone.clone()));
                if self.hosts[at].is_up && !is_partitioned {
                    self.receive(at, message.clone());
                }
            }
        }
    }

    fn receive(&mut self, at: usize, message: Message) {
        let received = self.hosts[at].fleet.receive(message, self.now);
        self.send(at, received.send);
    }

    fn count_bytes(&mut self, from: &ZoneId, to: usize, size: usize) {
        let to = &self.hosts[to].zone;
        if self.zones[from] != self.zones[to] {
            self.cross_region_bytes += size;
        } else if from != to {
            self.cross_zone_bytes += size;
        }
    }

    /// Lowest and highest number of other hosts that a running host considers live.
    pub fn live_counts(&self) -> (usize, usize) {
        let count = |host: &Host| host.fleet.live(self.now).count();
        let counts: Vec<usize> = self.hosts.iter().filter(|host| host.is_up).map(count).collect();
        let lowest = counts.iter().min().copied().unwrap_or_default();
        (lowest, counts.iter().max().copied().unwrap_or_default())
    }

    /// Requests of all other hosts in flight at the only target, according to the given host.
    pub fn in_flight(&self, at: usize) -> u32 {
        let loads = self.hosts[at].fleet.loads(self.now);
        loads.flat_map(|(_, load)| &load.in_flight).map(|(_, count)| u32::from(*count)).sum()
    }
}

/// The name of a zone.
pub fn zone(at: usize) -> ZoneId {
    format!("r{}-{}", at / 3, at % 3).into()
}
