//! Zones whose states are collected. They are made small by a low limit of the mesh.

use crate::{
    entry::{Revisions, Stamp},
    fleet::{
        Round,
        simulation::{Network, Traffic, zone},
    },
    prelude::*,
};

/// Limit of the mesh in these tests.
const MESH_HOSTS: usize = 4;

fn network(hosts: usize) -> Network {
    Network::with_total(9 * hosts, MESH_HOSTS)
}

/// Guards against hosts that do not discover all others within three seconds of a start of all, and
/// against loads that are counted twice or not at all in the sums of a collector.
#[test]
fn all_hosts_discover_each_other() {
    for hosts in [5, 20] {
        let mut network = network(hosts);
        network.run(30);
        assert_eq!(network.live_counts(), (9 * hosts - 1, 9 * hosts - 1), "{hosts} hosts per zone");
        network.run(10);
        let others = 9 * hosts as u32 - 1;
        for at in [0, 1, 9 * hosts - 1] {
            assert_eq!(network.in_flight(at), others, "the requests of each other host count once");
        }
    }
}

/// Guards against datagrams of a host that grow with the hosts of its zone.
#[test]
fn the_datagrams_of_a_host_do_not_grow_with_its_zone() {
    let cost = |hosts: usize| {
        let mut network = network(hosts);
        network.run(60);
        network.hosts.iter_mut().for_each(|host| host.traffic = Traffic::default());
        network.run(30);
        let sent: usize = network.hosts.iter().map(|host| host.traffic.sent).sum();
        sent as f64 / network.hosts.len() as f64 / 3.0
    };
    let (few, many) = (cost(8), cost(24));
    assert!(many < 1.3 * few, "{few} and {many} datagrams a second");
    assert!(many < 150.0, "{many} datagrams a second");
}

/// Guards against a failure that some hosts notice late, and against live hosts that are taken for
/// lost meanwhile.
#[test]
fn a_lost_host_is_noticed_by_all_within_two_seconds() {
    let mut network = network(12);
    network.run(60);
    network.false_suspicions = 0;
    network.hosts[40].is_up = false;
    network.run(20);
    assert_eq!(network.live_counts(), (106, 106));
    network.run(60);
    assert_eq!(network.live_counts(), (106, 106), "it stays lost");
    assert_eq!(network.false_suspicions, 0);
}

/// Guards against a lost zone that hosts of other zones keep live.
#[test]
fn a_lost_zone_is_noticed_by_all_within_three_seconds() {
    let mut network = network(12);
    network.run(60);
    for at in (0..108).filter(|at| at % 9 == 4) {
        network.hosts[at].is_up = false;
    }
    network.run(30);
    assert_eq!(network.live_counts(), (95, 95));
}

/// Guards against live hosts that are taken for lost when datagrams are lost: a lost report of a
/// collector concerns all hosts of its zone.
#[test]
fn lost_datagrams_make_no_host_look_lost() {
    let mut network = network(12);
    network.run(60);
    (network.loss, network.false_suspicions) = (0.02, 0);
    network.run(200);
    assert_eq!(network.false_suspicions, 0);
    assert_eq!(network.live_counts(), (107, 107));
}

/// Guards against surviving hosts that lose each other because the collectors that they choose are
/// lost too, when half of all hosts fail, among them all seeds.
#[test]
fn survivors_converge_after_half_of_all_hosts_fail() {
    let mut network = network(14);
    network.run(60);
    for at in (0..126).filter(|at| at % 2 == 0 || *at == 3) {
        network.hosts[at].is_up = false;
    }
    let left = network.hosts.iter().filter(|host| host.is_up).count();
    network.run(40);
    assert_eq!(network.live_counts(), (left - 1, left - 1));
    network.run(10);
    assert_eq!(network.in_flight(1), left as u32 - 1);
}

/// Guards against hosts that do not discover each other after all of them are killed and start
/// again at once.
#[test]
fn all_hosts_discover_each_other_after_a_restart_of_all() {
    let mut network = network(10);
    network.run(40);
    network.hosts.iter_mut().for_each(|host| host.is_up = false);
    for at in 0..90 {
        let before = network.hosts.iter().position(|host| *host.name == *format!("h-{at:03}"));
        network.remove(before.expect("a host with this name was started"));
        network.start(at, at % 9);
    }
    network.run(30);
    assert_eq!(network.live_counts(), (89, 89));
}

/// Guards against regions that do not discover each other again after a partition that lasts much
/// longer than it takes to consider each other lost.
#[test]
fn a_partitioned_region_is_discovered_again() {
    let mut network = network(6);
    network.run(60);
    for inside in 0..3 {
        for outside in 3..9 {
            network.partitions.insert((zone(inside), zone(outside)));
            network.partitions.insert((zone(outside), zone(inside)));
        }
    }
    network.run(100);
    assert_eq!(network.live_counts(), (17, 35));
    network.partitions.clear();
    network.run(30);
    assert_eq!(network.live_counts(), (53, 53));
}

/// Guards against a change of the store, or a planned stop, that is announced to the own zone only.
#[test]
fn changes_are_announced_at_once() {
    let mut network = network(8);
    network.run(60);
    network.hosts[0].own.leaving = true;
    let revisions = Revisions { declared: 9, ..Revisions::default() };
    let stamp = Stamp { declared: 2, revisions, ..Stamp::default() };
    network.announce(0, stamp);
    for host in network.hosts[1..].iter().filter(|host| host.zone.starts_with("r0")) {
        let mut sources = host.fleet.state_sources(network.now);
        assert!(sources.any(|(_, it)| it.stamp == stamp), "{}", host.name);
    }
    for host in &network.hosts[1..] {
        let mut live = host.fleet.live(network.now);
        assert!(live.any(|peer| &*peer.info.host == "h-000" && peer.info.leaving), "{}", host.name);
    }
}

/// Guards against a new host that the others learn of late, and against a host that starts again
/// and is taken for the one before.
#[test]
fn new_and_restarted_hosts_are_discovered_within_two_seconds() {
    let mut network = network(10);
    network.run(60);
    network.start(90, 5);
    network.run(20);
    assert_eq!(network.live_counts(), (90, 90));
    network.remove(17);
    network.start(17, 17 % 9);
    network.run(20);
    let start_ms = network.now.as_millis() as u64 - 2_000;
    let restarted = |host: &&crate::fleet::simulation::Host| {
        let mut live = host.fleet.live(network.now);
        live.any(|peer| &*peer.info.host == "h-017" && peer.info.start_ms == start_ms)
    };
    let knowing = network.hosts.iter().filter(restarted).count();
    assert_eq!(knowing, 90, "all but itself");
}

/// Guards against collectors that are always the same hosts, or small hosts that collect as often
/// as ones with ten times their processor time; and against hosts that disagree on the collector
/// because they know slightly different sets of hosts.
#[test]
fn hosts_collect_in_proportion_to_their_capacity() {
    let hosts: Vec<HostId> = (0..110).map(|at| format!("h-{at}").into()).collect();
    let capacity = |at: usize| if at < 10 { 100 } else { 10 };
    let candidates = |skipped: usize| {
        let all = hosts.iter().enumerate().filter(move |(at, _)| *at != skipped);
        all.map(move |(at, host)| (host, capacity(at), at))
    };
    let (mut by_large, mut agreed) = (0, 0);
    for slot in (0..30_000).step_by(3) {
        let round = Round::at(slot, 110);
        let (Some(collector), Some(standby)) = round.collectors(candidates(110)) else {
            panic!("two hosts collect");
        };
        assert_ne!(collector, standby);
        by_large += usize::from(collector < 10);
        agreed += usize::from(round.collectors(candidates(50)).0 == Some(collector));
    }
    assert!((4_700..5_300).contains(&by_large), "{by_large} of 10,000 rounds");
    assert!(9_800 < agreed, "{agreed} of 10,000 rounds");
}
