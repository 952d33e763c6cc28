//! Convergence after starts, losses, partitions and changes, and the traffic of the protocol.

use crate::{
    entry::{Revisions, Stamp},
    fleet::simulation::{Host, Network, zone},
    prelude::*,
};

/// Guards against hosts that do not discover all others within two seconds, and their load soon
/// after, when all start at once with three seeds. Most hosts never exchange messages directly.
#[test]
fn all_hosts_discover_each_other() {
    for hosts in [1, 2, 20] {
        let mut network = Network::new(hosts);
        network.run(20);
        assert_eq!(network.live_counts(), (9 * hosts - 1, 9 * hosts - 1), "{hosts} hosts per zone");
        network.run(10);
        let all = 9 * hosts as u32 - 1;
        assert_eq!(network.in_flight(0), all, "the requests of each host count once");
        assert_eq!(network.in_flight(9 * hosts - 1), all);
    }
}

/// Guards against surviving hosts that lose each other or their loads, or keep lost hosts live,
/// when half of all hosts fail, among them all seeds and most hosts of one zone.
#[test]
fn survivors_converge_after_half_of_all_hosts_fail() {
    let mut network = Network::new(10);
    network.run(40);
    for at in (0..90).filter(|at| at % 2 == 0 || at % 9 == 4) {
        network.hosts[at].is_up = false;
    }
    let left = network.hosts.iter().filter(|host| host.is_up).count();
    network.run(25);
    assert_eq!(network.live_counts(), (left - 1, left - 1));
    network.run(10);
    assert_eq!(network.in_flight(1), left as u32 - 1);
}

/// Guards against a new host that takes more than a second to discover all others, or to be
/// discovered.
#[test]
fn a_new_host_is_discovered_within_a_second() {
    let mut network = Network::new(10);
    network.run(40);
    network.start(90, 5);
    network.run(10);
    assert_eq!(network.live_counts(), (90, 90));
}

/// Guards against hosts that do not discover each other after all of them are killed and start
/// again at once, so that no running host can be asked for contacts.
#[test]
fn all_hosts_discover_each_other_after_a_restart_of_all() {
    let mut network = Network::new(10);
    network.run(40);
    network.hosts.iter_mut().for_each(|host| host.is_up = false);
    let before = network.hosts.len();
    for at in 0..90 {
        // The addresses of the seeds stay the same.
        let taken = network.hosts.iter().position(|host| *host.name == *format!("h-{at:03}"));
        network.remove(taken.expect("a host with this name was started"));
        network.start(at, at % 9);
    }
    assert_eq!(network.hosts.len(), before);
    network.run(20);
    assert_eq!(network.live_counts(), (89, 89));
}

/// Guards against replaced hosts whose addresses are probed forever, so that the number of messages
/// grows with each replacement.
#[test]
fn replaced_hosts_are_not_probed_forever() {
    let mut network = Network::new(2);
    network.run(40);
    let sent = |network: &mut Network| {
        network.sent = 0;
        network.run(20);
        network.sent
    };
    let before = sent(&mut network);
    for at in 18..36 {
        let is_seed = |host: &Host| network.seeds.contains(&host.gossip);
        let first = network.hosts.iter().position(|host| !is_seed(host)).expect("a host");
        let gone = network.remove(first);
        network.start(at, (0..9).find(|it| zone(*it) == gone.zone).expect("a zone"));
        network.run(20);
    }
    assert!(before < sent(&mut network), "replaced hosts are probed at first");
    network.run(1_300);
    assert_eq!(sent(&mut network), before);
}

/// Guards against a one-way partition between two zones that affects the direction still connected,
/// or that leaves hosts lost after it ends.
#[test]
fn a_one_way_partition_heals() {
    let mut network = Network::new(4);
    network.run(40);
    network.partitions.insert((zone(0), zone(1)));
    network.run(30);
    let live_in_zone = |network: &Network, of: usize, other: usize| {
        let hosts = network.hosts.iter().filter(|host| host.zone == zone(of));
        let is_in = |zone: &ZoneId, peer: &crate::fleet::Peer| peer.zone == *zone;
        let counts: Vec<usize> = hosts
            .map(|host| {
                let live = host.fleet.live(network.now);
                live.filter(|peer| is_in(&zone(other), peer)).count()
            })
            .collect();
        counts
    };
    assert_eq!(live_in_zone(&network, 1, 0), [0; 4]);
    assert_eq!(live_in_zone(&network, 0, 1), [4; 4]);
    network.partitions.clear();
    network.run(20);
    assert_eq!(network.live_counts(), (35, 35));
}

/// Guards against regions that do not discover each other again after a partition that lasts much
/// longer than `SILENCE_TIMEOUT`. Neither the seeds nor the store are needed for this.
#[test]
fn a_partitioned_region_is_discovered_again() {
    let mut network = Network::new(4);
    network.run(40);
    for inside in 0..3 {
        for outside in 3..9 {
            network.partitions.insert((zone(inside), zone(outside)));
            network.partitions.insert((zone(outside), zone(inside)));
        }
    }
    network.run(100);
    assert_eq!(network.live_counts(), (11, 23));
    network.partitions.clear();
    network.run(20);
    assert_eq!(network.live_counts(), (35, 35));
}

/// Guards against a region that learns only with the next periodic reports which of its hosts has a
/// new declaration.
#[test]
fn a_new_declaration_is_announced_immediately() {
    let mut network = Network::new(6);
    network.run(40);
    let revisions = Revisions { declared: 9, ..Revisions::default() };
    let stamp = Stamp { declared: 2, revisions, ..Stamp::default() };
    network.announce(0, stamp);
    let region: Vec<_> = network.hosts.iter().filter(|host| host.zone.starts_with("r0")).collect();
    assert_eq!(region.len(), 18);
    for host in &region[1..] {
        let mut sources = host.fleet.state_sources(network.now);
        let is_known = sources.any(|(_, it)| it.stamp == stamp && it.control == region[0].gossip);
        assert!(is_known, "{}", host.name);
    }
    network.run(15);
    for host in network.hosts.iter().filter(|host| !host.zone.starts_with("r0")) {
        let mut sources = host.fleet.state_sources(network.now);
        assert!(sources.any(|(_, it)| it.stamp == stamp), "{}", host.name);
    }
}

/// Guards against a planned stop that some hosts learn late, so that their look-ups still return
/// the leaving host.
#[test]
fn a_planned_stop_is_announced_to_all_regions() {
    let mut network = Network::new(6);
    network.run(40);
    network.hosts[0].own.leaving = true;
    network.announce(0, Stamp::default());
    let leaving = |host: &Host| {
        let mut live = host.fleet.live(network.now);
        live.any(|peer| peer.info.host == network.hosts[0].name && peer.info.leaving)
    };
    assert!(network.hosts[1..].iter().all(leaving));
}

/// Guards against traffic between zones and regions that grows faster than the number of hosts. If
/// each host sent messages to every other one, twice the hosts would cause four times the traffic.
#[test]
fn cross_zone_traffic_grows_linearly_with_the_hosts() {
    let cost = |hosts: usize| {
        let mut network = Network::new(hosts);
        network.run(60);
        (network.cross_zone_bytes, network.cross_region_bytes) = (0, 0);
        network.run(50);
        (network.cross_zone_bytes as f64, network.cross_region_bytes as f64)
    };
    let (few, many) = (cost(8), cost(16));
    assert!(many.0 < 2.2 * few.0, "{few:?} {many:?}");
    assert!(many.1 < 2.2 * few.1, "{few:?} {many:?}");
}
