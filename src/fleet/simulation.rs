//! Simulation of hosts of several zones that exchange datagrams over an in-memory network, for tests
//! and measurements.

use std::collections::{BTreeSet, HashMap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Fleet, FleetConfig, Load, MESH_HOSTS, Message, Outgoing, OwnState};
use crate::{entry::Stamp, prelude::*};

/// Duration of a tick.
pub const TICK: Duration = Duration::from_millis(100);

/// Number of zones; three of them form a region.
pub const ZONES: usize = 9;

/// Gossip port of the first host.
const FIRST_PORT: u16 = 10_000;

/// Port on which simulated hosts serve requests of other hosts.
const RELAY_PORT: u16 = 7_542;

/// A simulated host.
pub struct Host {
    pub fleet: Fleet,
    pub gossip: SocketAddr,
    pub is_up: bool,
    pub name: HostId,
    pub own: OwnState,
    /// Datagrams and bytes that it sent and received.
    pub traffic: Traffic,
    pub zone: ZoneId,
}

/// Datagrams and bytes of a host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub bytes_received: usize,
    pub bytes_sent: usize,
    pub received: usize,
    pub sent: usize,
}

/// Simulated hosts, and the messages between them.
pub struct Network {
    pub hosts: Vec<Host>,
    /// Zone pairs whose messages from the first to the second zone are lost.
    pub partitions: BTreeSet<(ZoneId, ZoneId)>,
    /// Bytes sent between zones of the same region, and between regions.
    pub cross_zone_bytes: usize,
    pub cross_region_bytes: usize,
    /// Probability with which a message is lost.
    pub loss: f64,
    /// `FleetConfig::mesh_hosts` of hosts that start.
    pub mesh_hosts: usize,
    /// Number of times that a host was considered lost although it was up, by any other host.
    pub false_suspicions: usize,
    by_addr: HashMap<SocketAddr, usize>,
    /// Messages in transit, with the index and zone of the sender.
    in_transit: VecDeque<(usize, ZoneId, Outgoing)>,
    pub now: Moment,
    rng: ChaCha8Rng,
    pub seeds: Vec<SocketAddr>,
    /// Number of messages sent.
    pub sent: usize,
    zones: BTreeMap<ZoneId, RegionId>,
}

impl Network {
    /// Creates three regions of three zones with `hosts` hosts each. One host of each region is a
    /// seed.
    pub fn new(hosts: usize) -> Self {
        Self::with_total(ZONES * hosts, MESH_HOSTS)
    }

    /// Creates three regions of three zones with `hosts` hosts in total.
    pub fn with_total(hosts: usize, mesh_hosts: usize) -> Self {
        let zone = |at: usize| (zone(at), RegionId::from(format!("r{}", at / 3)));
        let mut network = Self {
            hosts: Vec::new(),
            partitions: BTreeSet::new(),
            cross_zone_bytes: 0,
            cross_region_bytes: 0,
            loss: 0.0,
            mesh_hosts,
            false_suspicions: 0,
            by_addr: HashMap::new(),
            in_transit: VecDeque::new(),
            now: Duration::from_secs(100),
            rng: ChaCha8Rng::seed_from_u64(1),
            seeds: vec![addr(0), addr(3), addr(6)],
            sent: 0,
            zones: (0..ZONES).map(zone).collect(),
        };
        for at in 0..hosts {
            network.start(at, at % ZONES);
        }
        network
    }

    /// Starts a host with the given index in the given zone.
    pub fn start(&mut self, at: usize, in_zone: usize) {
        let name: HostId = format!("h-{at:03}").into();
        let (zone, gossip) = (zone(in_zone), addr(at));
        let fleet = Fleet::new(FleetConfig {
            capacity: 10,
            callers: gossip,
            control: gossip,
            gossip,
            host: name.clone(),
            mesh_hosts: self.mesh_hosts,
            region: self.zones[&zone].clone(),
            relay_port: Some(RELAY_PORT),
            seeds: self.seeds.clone(),
            start_ms: self.now.as_millis() as u64,
            zone: zone.clone(),
            zones: self.zones.clone(),
        });
        let load = Load { in_flight: vec![(7, 1)], demand: vec![((5, 6), 0.5)], ..Load::default() };
        let own =
            OwnState { load, reaches_store: true, reaches_targets: true, ..OwnState::default() };
        let traffic = Traffic::default();
        self.hosts.push(Host { fleet, gossip, is_up: true, name, own, traffic, zone });
        self.index_addrs();
    }

    /// Removes a host; its address is free again.
    pub fn remove(&mut self, at: usize) -> Host {
        let removed = self.hosts.remove(at);
        self.index_addrs();
        removed
    }

    fn index_addrs(&mut self) {
        let addrs = self.hosts.iter().enumerate().map(|(at, host)| (host.gossip, at));
        self.by_addr = addrs.collect();
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
                let lost = self.hosts[at].fleet.detect_lost(self.now);
                let is_up =
                    |name: &HostId| self.hosts.iter().any(|host| host.is_up && host.name == *name);
                self.false_suspicions += lost.iter().filter(|it| is_up(&it.info.host)).count();
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
        self.in_transit.extend(all.into_iter().map(|outgoing| (at, zone.clone(), outgoing)));
    }

    fn deliver(&mut self) {
        while let Some((from, from_zone, Outgoing { message, to })) = self.in_transit.pop_front() {
            let bytes = message.encode().expect("a message can be encoded");
            let size = bytes.len();
            for addr in to {
                self.sent += 1;
                if let Some(sender) = self.hosts.get_mut(from) {
                    sender.traffic.sent += 1;
                    sender.traffic.bytes_sent += size;
                }
                let Some(at) = self.by_addr.get(&addr).copied() else { continue };
                self.count_bytes(&from_zone, at, size);
                let is_partitioned =
                    self.partitions.contains(&(from_zone.clone(), self.hosts[at].zone.clone()));
                let is_lost = 0.0 < self.loss && self.rng.random_bool(self.loss);
                if self.hosts[at].is_up && !is_partitioned && !is_lost {
                    self.receive(at, &bytes);
                }
            }
        }
    }

    fn receive(&mut self, at: usize, bytes: &[u8]) {
        let host = &mut self.hosts[at];
        host.traffic.received += 1;
        host.traffic.bytes_received += bytes.len();
        let message = Message::decode(bytes).expect("a message can be decoded");
        let received = host.fleet.receive(message, self.now);
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

fn addr(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + at as u16))
}

/// The name of a zone.
pub fn zone(at: usize) -> ZoneId {
    format!("r{}-{}", at / 3, at % 3).into()
}
