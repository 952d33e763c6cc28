use super::*;
use crate::{
    base::{ManualClock, invariant},
    prelude::*,
    standin::platform::{Faults, PlatformStandin},
};

mod simulation;

use simulation::ZoneSimulation;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Creates a zone in which two hosts share the 40 targets, all used in full.
fn shared_by_two() -> ZoneSimulation {
    let mut zone = ZoneSimulation::new();
    zone.start("a");
    zone.start("b");
    zone.run(secs(10));
    let (full_a, full_b) = (zone.usable_targets(0).0, zone.usable_targets(1).0);
    assert_eq!(full_a + full_b, 40);
    assert!(0 < full_a && 0 < full_b);
    zone
}

#[test]
fn two_hosts_share_the_targets_with_two_writes() {
    let mut zone = shared_by_two();
    zone.run(secs(300));
    assert_eq!(zone.usable_targets(0).0 + zone.usable_targets(1).0, 40);
    assert_eq!(zone.writes, 2);
    assert_eq!(invariant::take_violations(), []);
}

// A host is paused for a minute while one of its writes is delayed. Its peer suspects it, removes
// it, uses its targets at reduced concurrency for one lease, and then owns all targets. By its own
// clock the lease of the paused host has expired before any message reaches it. The platform
// refuses its late write because of the object's version; it learns that it was removed, and joins
// again.
#[test]
fn a_paused_holder_has_no_lease_when_it_resumes() {
    let mut zone = shared_by_two();
    zone.hosts[0].paused = true;
    let expect = zone.current_expect();
    let object = ZoneTenure { fence: 99, hosts: Vec::new() };
    zone.hosts[0].delayed_call = Some((Action::Write { expect, object }, zone.now));
    zone.run(secs(4));
    let (full, reduced) = zone.usable_targets(1);
    assert!(full < 40 && full + reduced == 40, "provisional first: {full} {reduced}");
    zone.run(secs(6));
    assert_eq!(zone.usable_targets(1), (40, 0));
    assert_eq!(zone.usable_targets(0), (0, 0), "expired by its own clock");
    zone.run(secs(50));
    zone.resume(0);
    assert_eq!(zone.usable_targets(0).0, 0);
    assert_eq!(zone.listed(), ["b".into()], "the late write is refused");
    zone.run(secs(10));
    assert_eq!(zone.usable_targets(0).0 + zone.usable_targets(1).0, 40);
    assert!(0 < zone.usable_targets(0).0);
}

// A host is paused for a minute and removed. When it resumes, its own list still contains it, and
// its first tick comes before any response. By that list its lease is merely unconfirmed, which
// would let it send to its successor's targets at reduced concurrency. It must have no lease until
// the platform or its witness has responded; with the platform unavailable, the witness is enough.
#[test]
fn a_resumed_holder_has_no_lease_before_a_response() {
    for platform_up in [true, false] {
        let mut zone = shared_by_two();
        zone.platform_up = platform_up;
        zone.hosts[0].paused = true;
        zone.run(secs(60));
        zone.hosts[0].paused = false;
        let now = zone.now;
        let manager = &mut zone.hosts[0].manager;
        manager.handle(Event::Tick, now);
        assert_eq!(manager.tenure(now).valid_until, Moment::ZERO);
        zone.run(secs(20));
        assert_eq!(zone.usable_targets(0).0 + zone.usable_targets(1).0, 40);
        assert!(0 < zone.usable_targets(0).0);
    }
}

// A host is paused while the platform is unavailable, and its only peer dies meanwhile. No host can
// respond to it, and none can have removed it, so it continues to use its own targets as it would
// without the pause.
#[test]
fn a_resumed_holder_that_is_isolated_keeps_its_targets() {
    let mut zone = shared_by_two();
    let own = zone.usable_targets(0).0;
    zone.platform_up = false;
    zone.hosts[0].paused = true;
    zone.run(secs(30));
    zone.hosts[1].down = true;
    zone.resume(0);
    zone.run(secs(30));
    assert_eq!(zone.usable_targets(0), (own, 40 - own));
}

// A host is paused for less than the suspicion time. It is not removed, and after one exchange it
// uses its targets as before, without a write.
#[test]
fn a_short_pause_costs_one_exchange() {
    let mut zone = shared_by_two();
    zone.hosts[0].paused = true;
    zone.run(Duration::from_millis(2500));
    zone.resume(0);
    zone.run(secs(2));
    assert_eq!(zone.usable_targets(0).0 + zone.usable_targets(1).0, 40);
    assert_eq!(zone.writes, 2);
}

// The platform is unavailable and a peer dies. For the whole outage, the other host uses its own
// targets in full and those of the dead one at reduced concurrency. When the platform is available
// again, it removes the dead host and owns all targets.
#[test]
fn own_targets_stay_in_full_use_when_a_peer_dies_in_an_outage() {
    let mut zone = shared_by_two();
    let own = zone.usable_targets(1).0;
    zone.platform_up = false;
    zone.run(secs(30));
    assert_eq!(zone.usable_targets(1), (own, 0), "peers confirm each other");
    zone.hosts[0].down = true;
    for _ in 0..6 {
        zone.run(secs(10));
        assert_eq!(zone.usable_targets(1), (own, 40 - own));
    }
    zone.platform_up = true;
    zone.run(secs(10));
    assert_eq!(zone.usable_targets(1), (40, 0));
    assert_eq!(zone.listed(), ["b".into()]);
}

// The platform is unavailable, both listed hosts are gone and a new one has started. It cannot join
// the list, so it uses all targets at reduced concurrency. While a listed host is live, it owns
// nothing.
#[test]
fn an_unlisted_host_uses_all_targets_provisionally_in_an_outage() {
    let mut zone = shared_by_two();
    zone.platform_up = false;
    zone.hosts[0].down = true;
    let new = zone.start("c");
    zone.run(secs(30));
    assert_eq!(zone.usable_targets(new), (0, 0));
    zone.hosts[1].down = true;
    zone.run(secs(30));
    assert_eq!(zone.usable_targets(new), (0, 40));
    zone.platform_up = true;
    zone.run(secs(20));
    assert_eq!(zone.usable_targets(new), (40, 0));
}

// A host dies and is started again under its name before it was suspected. Its former incarnation
// may only be paused, so the new one takes its place in the list and waits for one lease.
#[test]
fn a_restarted_host_waits_for_its_former_incarnation() {
    let mut zone = shared_by_two();
    let own = zone.usable_targets(0).0;
    zone.hosts[0].paused = true;
    let new = zone.start("a");
    zone.run(secs(2));
    assert_eq!(zone.usable_targets(new).0, 0);
    zone.run(secs(8));
    assert_eq!(zone.usable_targets(new), (own, 0));
    assert_eq!(zone.listed(), ["a".into(), "b".into()]);
    zone.resume(0);
    assert_eq!(zone.usable_targets(0).0, 0);
}

// The responses to writes are lost after the writes took effect. The host reads, finds itself
// listed, and does not write again.
#[test]
fn a_lost_write_response_is_resolved_by_reading() {
    let mut zone = ZoneSimulation::new();
    zone.lose_write_responses = true;
    zone.start("a");
    zone.run(secs(20));
    assert_eq!(zone.usable_targets(0), (40, 0));
    assert_eq!(zone.writes, 1);
}

// Five hosts of a zone start at once and write concurrently. One of the conditional updates
// succeeds each time; the other hosts read again and retry, so that all end up listed.
#[test]
fn racing_hosts_all_get_listed() {
    let mut zone = ZoneSimulation::new();
    for id in ["a", "b", "c", "d", "e"] {
        zone.start(id);
    }
    zone.run(secs(20));
    assert_eq!(zone.listed().len(), 5);
    assert_eq!((0..5).map(|at| zone.usable_targets(at).0).sum::<usize>(), 40);
    assert_eq!(zone.writes, 5);
}

// A host that leaves gives up its lease at once, so its targets need no wait: it sends nothing new.
#[test]
fn a_leaving_host_gives_up_its_lease() {
    let mut zone = shared_by_two();
    let now = zone.now;
    let actions = zone.hosts[0].manager.handle(Event::Leave, now);
    let written = matches!(&actions[..], [.., Action::Note(_)] | [Action::Write { .. }, ..]);
    assert!(written, "{actions:?}");
    assert_eq!(zone.hosts[0].manager.tenure(now).valid_until, Moment::ZERO);
}

// A list with an older fence, from a late message, changes nothing.
#[test]
fn an_older_list_is_ignored() {
    let mut zone = shared_by_two();
    let list = zone.hosts[0].manager.holder_list().clone();
    let older = ZoneTenure { fence: list.fence - 1, hosts: Vec::new() };
    let now = zone.now;
    zone.hosts[0].manager.handle(Event::ListReceived(older), now);
    assert_eq!(*zone.hosts[0].manager.holder_list(), list);
}

// Uses the real platform calls: the response to the write of the list is lost after the write took
// effect, and each call takes a second. The lease counts from before the call was sent, so that a
// slow response does not extend it.
#[tokio::test(start_paused = true)]
async fn a_lease_counts_from_before_the_call() {
    let platform = PlatformStandin::in_memory();
    platform.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    let clock = ManualClock::default();
    let key = ZoneTenure::object_key(&"agency".into(), &"z".into());
    let mut manager = TenureManager::new("a".into(), 1, "z".into());
    let mut sent = Moment::ZERO;
    for _ in 0..4 {
        clock.advance(secs(1));
        let mut actions = manager.handle(Event::Tick, clock.now());
        while let Some(action) = actions.pop() {
            let before = clock.now();
            if let Some(event) = perform(action, platform.door(), &key, &clock).await {
                sent = before;
                clock.advance(secs(1));
                actions.extend(manager.handle(event, clock.now()));
            }
        }
    }
    assert_eq!(manager.holder_list().fence, 1, "written once");
    let valid_until = manager.tenure(clock.now()).valid_until;
    assert!(valid_until <= sent + LEASE, "{valid_until:?} after {sent:?}");
    assert!(clock.now() < valid_until);
}

// A zone of 30 hosts, the size to be supported. Each host exchanges with its two witnesses only,
// and rarely calls the platform. A host dies together with both of its witnesses. The others remove
// all three, those without live witnesses after a longer silence, and own all targets.
#[test]
fn a_large_zone_needs_few_platform_calls() {
    let mut zone = ZoneSimulation::new();
    for at in 0..30 {
        zone.start(&format!("h{at:02}"));
    }
    zone.run(secs(60));
    let full = |zone: &ZoneSimulation| (0..30).map(|at| zone.usable_targets(at).0).sum::<usize>();
    assert_eq!((zone.listed().len(), full(&zone)), (30, 40));
    zone.reads = 0;
    zone.run(secs(60));
    assert!(zone.reads <= 30 * 5, "one in 15 s a host: {}", zone.reads);
    let dead = zone.hosts[7].manager.witnesses();
    for host in zone.hosts.iter_mut() {
        host.down = host.is_named("h07") || dead.iter().any(|id| host.is_named(id));
    }
    zone.run(secs(60));
    assert_eq!((zone.listed().len(), full(&zone)), (27, 40));
    assert_eq!(invariant::take_violations(), []);
}
