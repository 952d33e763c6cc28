//! What it costs an entry host to know the others, by the size of the fleet, and how long the fleet
//! takes to notice a start and a loss.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::capacity::gauge::thread_time;
use crate::{
    fleet::{
        Load, MESH_HOSTS,
        simulation::{Network, TICK, Traffic, ZONES},
    },
    prelude::*,
};

/// Ticks until hosts that start together are taken to know each other.
const START_TICKS: usize = 50;

/// Ticks over which the steady state is measured.
const STEADY_TICKS: usize = 20;

/// Ticks with lost datagrams.
const LOSS_TICKS: usize = 50;

/// Ticks after which a loss must be noticed.
const MAX_LOSS_TICKS: usize = 60;

/// Targets of all services, and requests that a host has in flight or sent recently.
const TARGETS: u32 = 10_000;
const IN_FLIGHT: usize = 2;
const RECENT: usize = 2;

const SEED: u64 = 1;

/// One size of the fleet and one way to exchange states. Rates are those of a host.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub hosts: usize,
    pub way: &'static str,
    /// Datagrams received and sent, mean a second.
    pub datagrams_per_s: f64,
    /// Kilobytes received and sent, mean a second.
    pub kb_in_per_s: f64,
    pub kb_out_per_s: f64,
    /// Kilobytes a second that the busiest host sends.
    pub most_kb_out_per_s: f64,
    /// Share of a core spent on the protocol, without system calls.
    pub cpu_percent: f64,
    /// Time until all hosts that start together know each other.
    pub start_s: f64,
    /// Time until all other hosts notice the loss of a host and of a zone.
    pub host_lost_s: f64,
    pub zone_lost_s: f64,
    /// Live hosts that others considered lost within five seconds of one lost datagram in a hundred.
    pub false_suspicions: usize,
}

/// How the hosts of a zone exchange their states.
#[derive(Clone, Copy, Debug, Eq, PartialEq, clap::ValueEnum)]
pub enum Way {
    AllToAll,
    Collected,
}

/// Measures one way at one size.
pub fn measure(hosts: usize, way: Way) -> Row {
    let (mesh_hosts, way) = match way {
        Way::AllToAll => (usize::MAX, "all to all"),
        Way::Collected => (MESH_HOSTS, "collected"),
    };
    let mut network = Network::with_total(hosts, mesh_hosts);
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    network.hosts.iter_mut().for_each(|host| host.own.load = load(&mut rng));
    let start = ticks_until(&mut network, START_TICKS, |network| {
        network.live_counts() == (hosts - 1, hosts - 1)
    });
    network.run(START_TICKS - start);
    network.hosts.iter_mut().for_each(|host| host.traffic = Traffic::default());
    let since = thread_time();
    network.run(STEADY_TICKS);
    let cpu = (thread_time() - since).as_secs_f64();
    let simulated = secs(STEADY_TICKS);
    let a_host_and_s = |sum: usize| sum as f64 / hosts as f64 / simulated;
    let total = |of: fn(&Traffic) -> usize| network.hosts.iter().map(|it| of(&it.traffic)).sum();
    let most = network.hosts.iter().map(|it| it.traffic.bytes_sent).max().unwrap_or_default();
    let row = Row {
        hosts,
        way,
        datagrams_per_s: a_host_and_s(total(|it| it.received + it.sent)),
        kb_in_per_s: a_host_and_s(total(|it| it.bytes_received)) / 1e3,
        kb_out_per_s: a_host_and_s(total(|it| it.bytes_sent)) / 1e3,
        most_kb_out_per_s: most as f64 / simulated / 1e3,
        cpu_percent: cpu / hosts as f64 / simulated * 100.0,
        start_s: secs(start),
        host_lost_s: 0.0,
        zone_lost_s: 0.0,
        false_suspicions: 0,
    };
    network.loss = 0.01;
    network.false_suspicions = 0;
    network.run(LOSS_TICKS);
    let false_suspicions = network.false_suspicions;
    network.loss = 0.0;
    network.run(10);
    let host_lost = ticks_to_lose(&mut network, |at| at == ZONES);
    let zone_lost = ticks_to_lose(&mut network, |at| at % ZONES == 4);
    Row { host_lost_s: secs(host_lost), zone_lost_s: secs(zone_lost), false_suspicions, ..row }
}

/// Ticks until all other hosts consider these lost.
fn ticks_to_lose(network: &mut Network, is_lost: impl Fn(usize) -> bool) -> usize {
    for at in (0..network.hosts.len()).filter(|at| is_lost(*at)) {
        network.hosts[at].is_up = false;
    }
    let left = network.hosts.iter().filter(|host| host.is_up).count();
    ticks_until(network, MAX_LOSS_TICKS, |network| network.live_counts() == (left - 1, left - 1))
}

fn ticks_until(network: &mut Network, most: usize, is_done: impl Fn(&Network) -> bool) -> usize {
    (1..=most)
        .find(|_| {
            network.tick();
            is_done(network)
        })
        .unwrap_or(most)
}

fn secs(ticks: usize) -> f64 {
    ticks as f64 * TICK.as_secs_f64()
}

/// The load of a host with three requests a second.
fn load(rng: &mut ChaCha8Rng) -> Load {
    let mut in_flight: Vec<_> = (0..IN_FLIGHT).map(|_| (rng.random_range(0..TARGETS), 1)).collect();
    in_flight.sort_unstable();
    let recent_objects =
        (0..RECENT).map(|_| (rng.random_range(0..TARGETS), rng.random())).collect();
    let services = [0x9e37_79b9, 0x85eb_ca6b, 0xc2b2_ae35];
    Load {
        demand: services.iter().map(|service| ((*service, 0xdead_beef), 1.5)).collect(),
        in_flight,
        recent_objects,
        sent: services.iter().map(|service| ((*service, 0xdead_beef), (6, 6))).collect(),
        ..Load::default()
    }
}
