//! A whole fleet: starts, losses, cuts, news, and what they cost.

use super::network::{Host, Network, zone};
use crate::{
    entry::{Revisions, Stamp},
    prelude::*,
};

/// All hosts start at once and know three addresses. Within two seconds each knows all others and
/// what they run, although hardly any of them ever spoke to each other.
#[test]
fn a_fleet_finds_itself() {
    for hosts in [1, 2, 20] {
        let mut network = Network::new(hosts);
        network.run(20);
        assert_eq!(network.known(), (9 * hosts - 1, 9 * hosts - 1), "{hosts} a zone");
        network.run(10);
        let all = 9 * hosts as u32 - 1;
        assert_eq!(network.in_flight(0), all, "each host's requests count once");
        assert_eq!(network.in_flight(9 * hosts - 1), all);
    }
}

/// Half of all hosts die, among them all seeds and most hosts of a zone. The others take them for
/// lost in time, keep each other, and go on hearing what they run.
#[test]
fn half_of_a_fleet_dies() {
    let mut network = Network::new(10);
    network.run(40);
    for at in (0..90).filter(|at| at % 2 == 0 || at % 9 == 4) {
        network.hosts[at].is_up = false;
    }
    let left = network.hosts.iter().filter(|host| host.is_up).count();
    network.run(25);
    assert_eq!(network.known(), (left - 1, left - 1));
    network.run(10);
    assert_eq!(network.in_flight(1), left as u32 - 1);
}

/// A host starts anew while the fleet runs. It knows all, and is known to all, within a second.
#[test]
fn a_new_host_is_known_soon() {
    let mut network = Network::new(10);
    network.run(40);
    network.start(90, 5);
    network.run(10);
    assert_eq!(network.known(), (90, 90));
}

/// All hosts are killed and start again at once, under other names: nobody is left to ask.
#[test]
fn a_herd_returns() {
    let mut network = Network::new(10);
    network.run(40);
    network.hosts.iter_mut().for_each(|host| host.is_up = false);
    let before = network.hosts.len();
    for at in 0..90 {
        // The seeds' addresses are those of before.
        let taken = network.hosts.iter().position(|host| *host.name == *format!("h-{at:03}"));
        network.hosts.remove(taken.expect("it was started"));
        network.start(at, at % 9);
    }
    assert_eq!(network.hosts.len(), before);
    network.run(20);
    assert_eq!(network.known(), (89, 89));
}

/// Hosts are replaced for good under new addresses, again and again. Nobody goes on probing those
/// that are gone: an hour later each host sends what it sent before.
#[test]
fn hosts_that_are_gone_are_not_probed_for_ever() {
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
        let gone = network.hosts.remove(first);
        network.start(at, (0..9).find(|it| zone(*it) == gone.zone).expect("a zone"));
        network.run(20);
    }
    assert!(before < sent(&mut network), "they are probed at first");
    network.run(1_300);
    assert_eq!(sent(&mut network), before);
}

/// Zones lose each other, one way only. The side that hears nothing takes the other for lost, the
/// other goes on hearing it; both know all again soon after the cut.
#[test]
fn a_one_way_cut_heals() {
    let mut network = Network::new(4);
    network.run(40);
    network.cut.insert((zone(0), zone(1)));
    network.run(30);
    let sees = |network: &Network, of: usize, other: usize| {
        let hosts = network.hosts.iter().filter(|host| host.zone == zone(of));
        let known = |zone: &ZoneId, it: &crate::fleet::Peer| it.zone == *zone;
        let counts: Vec<usize> = hosts
            .map(|host| {
                let live = host.fleet.live(network.now);
                live.filter(|peer| known(&zone(other), peer)).count()
            })
            .collect();
        counts
    };
    assert_eq!(sees(&network, 1, 0), [0; 4]);
    assert_eq!(sees(&network, 0, 1), [4; 4]);
    network.cut.clear();
    network.run(20);
    assert_eq!(network.known(), (35, 35));
}

/// A region is cut off for longer than hosts wait for each other. Each side goes on by itself, and
/// they find each other again without the seeds or the store.
#[test]
fn a_region_that_was_cut_off_is_found_again() {
    let mut network = Network::new(4);
    network.run(40);
    for inside in 0..3 {
        for outside in 3..9 {
            network.cut.insert((zone(inside), zone(outside)));
            network.cut.insert((zone(outside), zone(inside)));
        }
    }
    network.run(100);
    assert_eq!(network.known(), (11, 23));
    network.cut.clear();
    network.run(20);
    assert_eq!(network.known(), (35, 35));
}

/// One host of a region learns of a new declaration. All of its region hear at once who knows it,
/// not with the next reports.
#[test]
fn news_is_told_at_once() {
    let mut network = Network::new(6);
    network.run(40);
    let revisions = Revisions { declared: 9, ..Revisions::default() };
    let stamp = Stamp { declared: 2, revisions, ..Stamp::default() };
    network.announce(0, stamp);
    let region: Vec<_> = network.hosts.iter().filter(|host| host.zone.starts_with("r0")).collect();
    assert_eq!(region.len(), 18);
    for host in &region[1..] {
        let mut sources = host.fleet.state_sources(network.now);
        let told = sources.any(|(_, it)| it.stamp == stamp && it.control == region[0].gossip);
        assert!(told, "{}", host.name);
    }
    network.run(15);
    for host in network.hosts.iter().filter(|host| !host.zone.starts_with("r0")) {
        let mut sources = host.fleet.state_sources(network.now);
        assert!(sources.any(|(_, it)| it.stamp == stamp), "{}", host.name);
    }
}

/// A host leaves as planned: hosts everywhere take it out of their look-ups at once.
#[test]
fn a_leave_is_told_everywhere() {
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

/// Twice the hosts send each other about four times as much where each sends to each. Between
/// zones and between regions it must not grow faster than the hosts.
#[test]
fn bytes_between_zones_grow_with_the_hosts_alone() {
    let cost = |hosts: usize| {
        let mut network = Network::new(hosts);
        network.run(60);
        (network.between_zones, network.between_regions) = (0, 0);
        network.run(50);
        (network.between_zones as f64, network.between_regions as f64)
    };
    let (few, many) = (cost(8), cost(16));
    assert!(many.0 < 2.2 * few.0, "{few:?} {many:?}");
    assert!(many.1 < 2.2 * few.1, "{few:?} {many:?}");
}
