use super::*;
use crate::{
    prelude::*,
    quarantine::{QuarantineMark, QuarantineVerdict},
    view::Baseline,
};

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Creates a fleet whose hosts all know each other.
fn converged(zones: usize, per_zone: usize) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(zones, per_zone, 7);
    let all = zones * per_zone;
    let took = fleet.run_until(secs(60), |fleet| fleet.agrees_on_host_count(all));
    assert!(took.is_some(), "{:?}", fleet.live_hosts(0));
    fleet.run(secs(20));
    for node in &mut fleet.nodes {
        node.events.clear();
    }
    fleet
}

fn sequence(fleet: &SimulatedFleet, node: usize) -> Sequence {
    fleet.nodes[node].payload.sequence
}

fn published(sequence: Sequence) -> Payload {
    Payload { sequence, ..Payload::default() }
}

#[test]
fn nobody_is_suspected_while_all_run() {
    for (zones, per_zone) in [(1, 2), (6, 2), (4, 10), (2, 40)] {
        let mut fleet = converged(zones, per_zone);
        fleet.run(secs(120));
        for node in &fleet.nodes {
            assert_eq!(node.suspicions(), Vec::<HostId>::new(), "{zones} zones of {per_zone}");
        }
    }
}

// A host stops without announcing it. The peers in its zone receive no heartbeat for the suspicion
// time, and the other zones learn of the loss from the summary of that zone. The platform's list is
// not involved.
#[test]
fn a_dead_host_is_suspected_then_forgotten_everywhere() {
    let mut fleet = converged(3, 3);
    fleet.nodes[4].paused = true;
    let took = fleet.run_until(secs(20), |fleet| fleet.agrees_on_host_count(8)).unwrap();
    assert!(secs(2) <= took, "{took:?}");
    fleet.run(secs(20));
    assert!(fleet.agrees_on_host_count(8));
    let seen = fleet.nodes[1].suspicions();
    assert_eq!(seen, ["h0004".into(), "h0004".into()], "suspected once, left once");
}

// A request crashes a target. The next host that receives the request has to know its mark before,
// so the first message carries the mark without a round trip to request it. The receiver learns
// whether the mark came from another zone, since it then forwards it in its own zone.
#[test]
fn push_digest_carries_marks_unrequested_and_tells_their_origin() {
    let mut fleet = converged(2, 2);
    let now = fleet.now;
    let mark =
        QuarantineMark { fingerprint: 7, left: secs(60), verdict: QuarantineVerdict::Suspect };
    let payload = Payload { marks: vec![mark.clone()], ..Payload::default() };
    fleet.nodes[0].membership.set_payload(payload);
    let own = fleet.nodes[0].membership.own().clone();
    for to in 1..4 {
        let view = fleet.nodes[to].membership.own().clone();
        let push = fleet.nodes[0].membership.push_digest_for(&view, now);
        let peer = &mut fleet.nodes[to].membership;
        peer.take_received();
        peer.receive(&push, now);
        let received = peer.take_received();
        assert_eq!(received.marks, std::slice::from_ref(&mark));
        assert_eq!(received.marks_from_other_zone, view.zone != own.zone, "{view:?}");
    }
}

// A host announces that it is stopping. Peers learn of it at their next exchange, well before
// silence would show it, and still list the host so that resends find the one that took over its
// ledger.
#[test]
fn leaving_is_announced() {
    let mut fleet = converged(3, 2);
    fleet.nodes[2].membership.leave();
    let leaving = |fleet: &SimulatedFleet| {
        (0..6).all(|node| {
            let hosts = fleet.nodes[node].membership.hosts(fleet.now);
            hosts.iter().any(|host| &*host.id == "h0002" && host.leaving)
        })
    };
    fleet.run_until(secs(6), leaving).unwrap();
    fleet.run(secs(1));
    let received = &fleet.nodes[0].events[..];
    assert!(matches!(received, [(_, MembershipEvent::Left(host))] if &*host.id == "h0002"));
}

// A zone loses all links, in both directions or in one. Each side keeps its own hosts and suspects
// those of the other side; no host inside the partitioned zone suspects its neighbour. After the
// partition heals, all hosts find each other again without any other source.
#[test]
fn a_partitioned_zone_keeps_its_own_hosts_and_rejoins() {
    for one_way in [false, true] {
        let mut fleet = converged(6, 2);
        for other in 1..6 {
            fleet.partition(0, other);
            if !one_way {
                fleet.partition(other, 0);
            }
        }
        // One direction: messages from the partitioned zone are lost, so the others suspect it,
        // while it still hears them.
        fleet.run(secs(30));
        let inside: Vec<HostId> = vec!["h0000".into(), "h0006".into()];
        if !one_way {
            assert_eq!(fleet.live_hosts(0), inside);
            let silent = fleet.nodes[0].membership.silent_regions(fleet.now);
            assert_eq!(silent, ["r01".into(), "r02".into()].into());
        }
        assert_eq!(fleet.live_hosts(1).len(), 10, "one way: {one_way}");
        assert!(fleet.nodes[1].membership.silent_zones(fleet.now).contains_key("z00"));
        assert!(!fleet.nodes[0].suspicions().contains(&inside[1]));
        fleet.heal();
        fleet.run_until(secs(30), |fleet| fleet.agrees_on_host_count(12)).unwrap();
    }
}

// A zone can reach only one other zone and not the platform. The sequence of a manifest that the
// other zones have reaches it over that one path.
#[test]
fn a_new_sequence_spreads_over_any_remaining_path() {
    let mut fleet = converged(6, 2);
    for other in 1..5 {
        fleet.partition(0, other);
        fleet.partition(other, 0);
    }
    fleet.run(secs(10));
    fleet.publish(3, published(9));
    fleet.run_until(secs(10), |fleet| (0..12).all(|node| sequence(fleet, node) == 9)).unwrap();
}

// A host dies and is replaced at the same address and under the same name. The peers accept the new
// incarnation as soon as they hear from it, not only after the old one has become silent.
#[test]
fn a_restarted_host_is_a_new_incarnation() {
    let mut fleet = converged(2, 2);
    let old = fleet.nodes[2].membership.own().clone();
    fleet.nodes[2].paused = true;
    let new = fleet.start("h0002", 0, 2);
    let incarnation = fleet.nodes[new].membership.own().incarnation;
    let known = |fleet: &SimulatedFleet| {
        [0, 1, 3].iter().all(|node| {
            let hosts = fleet.nodes[*node].membership.hosts(fleet.now);
            hosts.iter().any(|host| host.incarnation == incarnation)
        })
    };
    fleet.run_until(secs(10), known).unwrap();
    let hosts = fleet.nodes[0].membership.hosts(fleet.now);
    assert!(hosts.iter().all(|host| host.incarnation != old.incarnation));
}

// The old process was only paused, and resumes at its address after its replacement started. It
// must not displace the new one in any peer's view, and it learns that it has to stop. If the wall
// clocks are wrong, the new process learns of its predecessor and raises its own epoch above it.
#[test]
fn a_resumed_predecessor_does_not_displace_its_successor() {
    for wrong_clock in [false, true] {
        let mut fleet = converged(2, 2);
        fleet.nodes[2].paused = true;
        let new = fleet.start("h0002", 0, 2);
        if wrong_clock {
            let membership = fleet.nodes[new].membership.clone();
            fleet.nodes[new].membership = membership.with_start_time(5);
        }
        let incarnation = fleet.nodes[new].membership.own().incarnation;
        fleet.run(secs(8));
        fleet.nodes[2].paused = false;
        // Only the new process responds at the address, as after the address has been reassigned.
        fleet.nodes.swap(2, new);
        for _ in 0..60 {
            fleet.run(secs(1));
            let hosts = fleet.nodes[0].membership.hosts(fleet.now);
            assert!(hosts.iter().any(|host| host.incarnation == incarnation), "{wrong_clock}");
        }
        assert!(fleet.nodes[new].membership.is_superseded(), "{wrong_clock}");
        assert!(!fleet.nodes[2].membership.is_superseded(), "{wrong_clock}");
    }
}

// A host is paused for a minute. When it resumes, it has heard none of its peers for a minute, but
// only because it was paused itself, so it must not suspect any of them.
#[test]
fn a_host_that_was_paused_suspects_nobody() {
    let mut fleet = converged(2, 3);
    fleet.nodes[0].paused = true;
    fleet.run(secs(60));
    fleet.nodes[0].paused = false;
    fleet.run(secs(20));
    assert_eq!(fleet.nodes[0].suspicions(), Vec::<HostId>::new());
    assert!(fleet.agrees_on_host_count(6));
}

// A peer receives messages, but its responses arrive too late. Since it also starts exchanges
// itself, its heartbeat still spreads.
#[test]
fn a_slow_peer_is_not_suspected() {
    let mut fleet = converged(2, 3);
    fleet.nodes[0].slow = true;
    fleet.run(secs(60));
    for node in &fleet.nodes {
        assert!(!node.suspicions().contains(&"h0000".into()));
    }
}

// The platform is unavailable, a host is replaced under a new name and address, and its zone is
// partitioned, all at once. The new host finds its neighbour through the address in its settings.
#[test]
fn a_host_replaced_in_a_partitioned_zone_joins_its_neighbour() {
    let mut fleet = converged(3, 2);
    for other in 1..3 {
        fleet.partition(0, other);
        fleet.partition(other, 0);
    }
    fleet.nodes[3].paused = true;
    let new = fleet.start("h0099", 0, 99);
    fleet.run(secs(20));
    let inside: Vec<HostId> = vec!["h0000".into(), "h0099".into()];
    assert_eq!(fleet.live_hosts(0), inside);
    assert_eq!(fleet.live_hosts(new), inside);
    fleet.heal();
    fleet.run_until(secs(30), |fleet| fleet.agrees_on_host_count(6)).unwrap();
}

// An older release sends a digest without the fields that were added later, and a newer one sends
// fields that this one does not know.
#[test]
fn a_digest_of_an_older_release_is_decoded() {
    let fleet = SimulatedFleet::new(1, 1, 1);
    let digest = fleet.nodes[0].membership.digest(fleet.now);
    let mut value = serde_json::to_value(&digest).unwrap();
    let fields = value.as_object_mut().unwrap();
    fields.retain(|name, _| name == "from" || name == "roster");
    fields.insert("of-a-later-release".into(), 1.into());
    let read: Digest = serde_json::from_value(value).unwrap();
    assert_eq!(read.from, digest.from);
}

// Only the first host of a home region sets its baseline. The rate of callers from a lost region,
// as seen by a host of another region, must not replace that region's own last baseline: the cap
// for those callers would shrink with every request that it refuses.
#[test]
fn only_the_home_region_sets_its_baseline() {
    let rate = |home: &str, rate| Baseline { home: home.into(), rate, service: "status".into() };
    let fleet = SimulatedFleet::new(4, 2, 1);
    let hosts: Vec<_> = fleet.nodes.iter().map(|node| node.membership.own().clone()).collect();
    let (first, second, west) = (&hosts[0], &hosts[1], &hosts[2]);
    assert_eq!((&*first.region, &*second.region, &*west.region), ("r00", "r00", "r01"));
    let mut of_first = Baselines::default();
    of_first.update_own(first, &hosts, vec![rate("r00", 5.0), rate("r01", 1.0)], false, 100_000);
    assert_eq!(of_first.baselines(), [rate("r00", 20.0)], "four hosts of the region");
    let mut of_west = Baselines::default();
    of_west.apply(of_first.entries()[0].clone(), 100_000);
    for (host, rates) in [(west, rate("r00", 1.0)), (second, rate("r00", 1.0))] {
        of_west.update_own(host, &hosts, vec![rates], false, 200_000);
    }
    assert_eq!(of_west.baselines(), [rate("r00", 20.0)]);
    let mut again = |rates, unsteady, at| {
        of_first.update_own(first, &hosts, vec![rate("r00", rates)], unsteady, at);
        of_first.baselines()[0].rate
    };
    assert_eq!(again(10.0, false, 105_000), 20.0, "renewed every 10 s");
    assert_eq!(again(0.0, true, 120_000), 20.0, "kept while something is drained");
    assert_eq!(again(0.0, false, 120_000), 18.0, "falls slowly");
    assert_eq!(again(10.0, false, 130_000), 40.0, "rises at once");
    let late = BaselineEntry { at: 900_000, baseline: rate("r00", 1.0) };
    of_west.apply(late, 130_000);
    assert_eq!(of_west.baselines(), [rate("r00", 20.0)], "from a clock far ahead");
}
