//! Simulates many membership state machines over an in-memory network, for tests and measurements.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, BinaryHeap},
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Digest, Membership, MembershipEvent, MembershipLimits, Payload};
use crate::{prelude::*, view::HostView};

/// Delay between receiving a changed payload and forwarding it; slightly longer than the one-way
/// latency between two regions.
const FORWARD_DELAY: Duration = Duration::from_millis(60);

/// Time between two checks of the condition that ends a run.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Simulated hosts and the network between them.
#[derive(Debug)]
pub struct SimulatedFleet {
    /// Computes the size of a message on the wire; without it, messages are not counted.
    pub message_size: Option<fn(&Digest) -> usize>,
    pub nodes: Vec<Node>,
    pub now: Moment,
    by_address: BTreeMap<SocketAddr, Vec<usize>>,
    partitions: BTreeSet<(ZoneId, ZoneId)>,
    due: BinaryHeap<Reverse<(Moment, usize, Wakeup)>>,
    limits: MembershipLimits,
    rng: ChaCha8Rng,
    last_start_ms: u64,
}

/// One simulated host.
#[derive(Debug)]
pub struct Node {
    pub bytes: u64,
    pub events: Vec<(Moment, MembershipEvent)>,
    pub membership: Membership,
    pub messages: u64,
    pub payload: Payload,
    /// Whether the host neither ticks nor responds.
    pub paused: bool,
    /// Whether the host receives messages, but its responses arrive too late to be used.
    pub slow: bool,
    phase: Duration,
}

/// Why a host starts exchanges: a changed payload or a tick.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Wakeup {
    Push,
    Tick,
}

impl SimulatedFleet {
    /// Creates `per_zone` hosts in each of `zones` zones, two zones per region. Each host but the
    /// first has the first one as its seed.
    pub fn new(zones: usize, per_zone: usize, seed: u64) -> Self {
        let mut fleet = Self {
            by_address: BTreeMap::new(),
            message_size: None,
            partitions: BTreeSet::new(),
            due: BinaryHeap::new(),
            limits: MembershipLimits::default(),
            nodes: Vec::new(),
            now: Duration::from_secs(1),
            rng: ChaCha8Rng::seed_from_u64(seed),
            last_start_ms: 1_000_000,
        };
        for at in 0..zones * per_zone {
            let zone = at % zones;
            fleet.start(&format!("h{at:04}"), zone, at);
        }
        fleet
    }

    /// Starts a host and returns its index.
    pub fn start(&mut self, id: &str, zone: usize, port: usize) -> usize {
        self.last_start_ms += 1000;
        let view = view(id, zone, port, self.rng.random());
        let mut membership =
            Membership::new(view.clone(), self.limits.clone()).with_start_time(self.last_start_ms);
        if let Some(first) = self.nodes.first() {
            membership.add_seeds([first.membership.own().rpc]);
        }
        self.by_address.entry(view.rpc).or_default().push(self.nodes.len());
        let phase = Duration::from_micros(self.rng.random_range(0..1_000_000));
        self.due.push(Reverse((self.now + phase, self.nodes.len(), Wakeup::Tick)));
        self.nodes.push(Node {
            bytes: 0,
            events: Vec::new(),
            membership,
            messages: 0,
            payload: Payload::default(),
            paused: false,
            phase,
            slow: false,
        });
        self.nodes.len() - 1
    }

    /// Drops messages from one zone to another, in this direction only.
    pub fn partition(&mut self, from: usize, to: usize) {
        self.partitions.insert((zone_id(from), zone_id(to)));
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    /// Replaces the payload of a host and starts its spread.
    pub fn publish(&mut self, node: usize, payload: Payload) {
        self.nodes[node].payload = payload.clone();
        self.nodes[node].membership.set_payload(payload);
        self.due.push(Reverse((self.now, node, Wakeup::Push)));
    }

    /// Runs the simulation for `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.next_due().is_some_and(|due| due <= end) {
            self.step();
        }
        self.now = end;
    }

    /// Runs until `done` returns true and returns how long that took, or `None` if it exceeded
    /// `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        done: impl Fn(&SimulatedFleet) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        let mut next_check = start;
        while self.now < start + limit {
            if next_check <= self.now {
                if done(self) {
                    return Some(self.now - start);
                }
                next_check = self.now + CHECK_INTERVAL;
            }
            self.step();
        }
        None
    }

    /// Returns the names of the hosts that a host counts as live.
    pub fn live_hosts(&self, node: usize) -> Vec<HostId> {
        let hosts = self.nodes[node].membership.hosts(self.now);
        hosts.into_iter().map(|host| host.id).collect()
    }

    /// Whether each host that is not paused counts `count` hosts as live.
    pub fn agrees_on_host_count(&self, count: usize) -> bool {
        let running = self.nodes.iter().filter(|node| !node.paused);
        running.into_iter().all(|node| node.membership.host_count() == count)
    }

    fn next_due(&self) -> Option<Moment> {
        self.due.peek().map(|Reverse((due, ..))| *due)
    }

    fn step(&mut self) {
        let Some(Reverse((due, at, wakeup))) = self.due.pop() else { return };
        self.now = self.now.max(due);
        if wakeup == Wakeup::Tick {
            self.due.push(Reverse((due + self.limits.tick, at, Wakeup::Tick)));
        }
        if self.nodes[at].paused {
            return;
        }
        if wakeup == Wakeup::Tick {
            let events = self.nodes[at].membership.tick(self.now);
            self.record_events(at, events);
        }
        let partners = self.nodes[at].membership.choose_partners(self.now, &mut self.rng);
        for partner in partners {
            self.exchange(at, &partner);
        }
    }

    fn exchange(&mut self, from: usize, to: &HostView) {
        let at_address = self.by_address.get(&to.rpc).into_iter().flatten();
        let Some(at) = at_address.copied().find(|at| !self.nodes[*at].paused) else { return };
        for _ in 0..2 {
            let digest = self.nodes[from].membership.digest_for(to, self.now);
            self.count_message(from, at, &digest);
            if self.is_partitioned(from, at) {
                return;
            }
            let response = self.nodes[at].membership.receive(&digest, self.now);
            self.apply_received(at);
            self.count_message(at, from, &response);
            if self.is_partitioned(at, from) || self.nodes[at].slow {
                return;
            }
            let responder = response.from.view.id.clone();
            let events = self.nodes[from].membership.apply_response(response, self.now);
            self.record_events(from, events);
            self.apply_received(from);
            if !self.nodes[from].membership.has_request_from(&responder) {
                return;
            }
        }
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let zone = |at: usize| self.nodes[at].membership.own().zone.clone();
        self.partitions.contains(&(zone(from), zone(to)))
    }

    fn count_message(&mut self, from: usize, to: usize, digest: &Digest) {
        let Some(message_size) = self.message_size else { return };
        let size = message_size(digest) as u64;
        for at in [from, to] {
            self.nodes[at].bytes += size;
            self.nodes[at].messages += 1;
        }
    }

    fn record_events(&mut self, at: usize, events: Vec<MembershipEvent>) {
        let now = self.now;
        self.nodes[at].events.extend(events.into_iter().map(|event| (now, event)));
    }

    fn apply_received(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let received = node.membership.take_received();
        let mut payload = node.payload.clone();
        if let Some((sequence, _)) = received.manifest {
            payload.sequence = payload.sequence.max(sequence);
        }
        for drain in received.drains {
            if payload.drains.iter().all(|known| known.id != drain.id) {
                payload.drains.push(drain);
                payload.drains.sort_by(|a, b| a.id.cmp(&b.id));
            }
        }
        if payload != node.payload {
            node.payload = payload.clone();
            node.membership.set_payload(payload);
            self.due.push(Reverse((self.now + FORWARD_DELAY, at, Wakeup::Push)));
        }
    }
}

impl Node {
    /// Returns the offset within each second at which this host ticks.
    pub fn phase(&self) -> Duration {
        self.phase
    }

    /// Returns the hosts that this one suspected or reported as left, in order.
    pub fn suspicions(&self) -> Vec<HostId> {
        let events = self.events.iter().filter_map(|(_, event)| match event {
            MembershipEvent::Suspected(host) => Some(host.clone()),
            MembershipEvent::Left(host) => Some(host.id.clone()),
            _ => None,
        });
        events.collect()
    }
}

/// Returns the name of a zone.
pub fn zone_id(zone: usize) -> ZoneId {
    format!("z{zone:02}").into()
}

fn view(id: &str, zone: usize, port: usize, incarnation: Incarnation) -> HostView {
    let ip = [10, 0, (port >> 8) as u8, port as u8];
    HostView {
        address: (ip, 8080).into(),
        adopted: Vec::new(),
        generation: 1,
        id: id.into(),
        incarnation,
        leaving: false,
        region: format!("r{:02}", zone / 2).into(),
        rpc: (ip, 8081).into(),
        zone: zone_id(zone),
    }
}
