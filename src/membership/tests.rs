use super::*;
use crate::{
    prelude::*,
    quarantine::{QuarantineMark, QuarantineVerdict},
    view::Baseline,
};

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// A fleet whose hosts all know each other.
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

// One host stops without a word. Its zone's peer hears no heartbeat for the suspicion time; the
// other zones learn it from that peer's view of its zone. The platform's list plays no part.
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

// A request crashes a target. The next host that it goes to has to know before: it gets the mark in the
// very first message, without a round trip to ask for it, and knows whether to pass it on in its zone.
#[test]
fn news_carries_marks_unasked_and_says_where_they_come_from() {
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

// A host announces that it stops; peers see the mark at their next exchange, well before silence
// could tell, and still list it so that resends find the one that took over its ledger.
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

// A zone loses all links, both ways or one way. Each side keeps serving its own hosts; the other
// side's are suspected; nobody inside the cut zone suspects a neighbour. After the cut heals, all
// find each other again although nothing else tells them.
#[test]
fn a_cut_zone_keeps_its_own_hosts_and_comes_back() {
    for one_way in [false, true] {
        let mut fleet = converged(6, 2);
        for other in 1..6 {
            fleet.partition(0, other);
            if !one_way {
                fleet.partition(other, 0);
            }
        }
        // One way: what the cut zone says is lost, so the others miss it; it still hears them.
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

// A zone can reach only one other zone, and not the platform. A manifest that the rest learnt
// comes to it over that one path.
#[test]
fn news_takes_any_path_that_is_left() {
    let mut fleet = converged(6, 2);
    for other in 1..5 {
        fleet.partition(0, other);
        fleet.partition(other, 0);
    }
    fleet.run(secs(10));
    fleet.publish(3, published(9));
    fleet.run_until(secs(10), |fleet| (0..12).all(|node| sequence(fleet, node) == 9)).unwrap();
}

// A host dies and is replaced on the same address and under the same name. The peers take the new
// incarnation at its first word, not only once the old one has become silent.
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

// The old process was only paused, and wakes on its address after its replacement started. It must
// not push the new one out of any peer's view, and it learns that it has to stop. The wall clocks
// of the two hosts may be wrong: then the new one is told of its predecessor and outbids it.
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
        // Only the new one answers on the address, as after a move of the address.
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

// A whole host stands still for a minute. When it resumes, its peers have been silent for a minute
// by its clock, yet it was itself that did not listen: it suspects nobody.
#[test]
fn a_pause_of_its_own_is_no_silence_of_the_others() {
    let mut fleet = converged(2, 3);
    fleet.nodes[0].paused = true;
    fleet.run(secs(60));
    fleet.nodes[0].paused = false;
    fleet.run(secs(20));
    assert_eq!(fleet.nodes[0].suspicions(), Vec::<HostId>::new());
    assert!(fleet.agrees_on_host_count(6));
}

// A peer takes messages but its answers come too late. It asks others itself, so that its
// heartbeat gets round all the same.
#[test]
fn a_slow_peer_is_not_suspected() {
    let mut fleet = converged(2, 3);
    fleet.nodes[0].slow = true;
    fleet.run(secs(60));
    for node in &fleet.nodes {
        assert!(!node.suspicions().contains(&"h0000".into()));
    }
}

// The platform is away, a host is replaced under a new name and address, and its zone is cut off,
// all at once. The new host finds its neighbour by the address in its settings.
#[test]
fn a_host_replaced_in_a_cut_zone_joins_its_neighbour() {
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

// A release that knows less sends a digest without the fields that came later.
#[test]
fn a_digest_of_an_older_release_is_read() {
    let fleet = SimulatedFleet::new(1, 1, 1);
    let digest = fleet.nodes[0].membership.digest(fleet.now);
    let mut value = serde_json::to_value(&digest).unwrap();
    let fields = value.as_object_mut().unwrap();
    fields.retain(|name, _| name == "from" || name == "roster");
    fields.insert("of-a-later-release".into(), 1.into());
    let read: Digest = serde_json::from_value(value).unwrap();
    assert_eq!(read.from, digest.from);
}

// Only the first host of a home region speaks for it. What a host sees of another region's callers,
// who came since their region is lost, must not replace what that region last had itself: the cap
// of those callers would shrink with every one that it refuses.
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
