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

/// Two hosts that share the 40 targets of a zone in full.
fn shared() -> ZoneSimulation {
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
    let mut zone = shared();
    zone.run(secs(300));
    assert_eq!(zone.usable_targets(0).0 + zone.usable_targets(1).0, 40);
    assert_eq!(zone.writes, 2);
    assert_eq!(invariant::take(), []);
}

// A host is paused for a minute, with a write of its own still on its way. Its peer suspects it,
// removes it, stands in at reduced concurrency for one lease and then owns all. The paused host
// finds its right lapsed by its own clock, before any message reaches it; its late write is
// refused by the object's version; it learns that it was removed, and joins anew.
#[test]
fn a_paused_holder_finds_out_before_it_acts() {
    let mut zone = shared();
    zone.hosts[0].paused = true;
    let expect = zone.current_expect();
    let object = ZoneTenure { fence: 99, hosts: Vec::new() };
    zone.hosts[0].delayed_call = Some((Action::Write { expect, object }, zone.now));
    zone.run(secs(4));
    let (full, reduced) = zone.usable_targets(1);
    assert!(full < 40 && full + reduced == 40, "stands in first: {full} {reduced}");
    zone.run(secs(6));
    assert_eq!(zone.usable_targets(1), (40, 0));
    assert_eq!(zone.usable_targets(0), (0, 0), "its own clock ended the right");
    zone.run(secs(50));
    zone.resume(0);
    assert_eq!(zone.usable_targets(0).0, 0);
    assert_eq!(zone.listed(), ["b".into()], "the late write is refused");
    zone.run(secs(10));
    assert_eq!(zone.usable_targets(0).0 + zone.usable_targets(1).0, 40);
    assert!(0 < zone.usable_targets(0).0);
}

// A host is paused for a minute and removed. When it wakes, its own list still names it, and its
// first tick comes before any answer: by that list it is merely not confirmed at the moment, which
// would let it send to its successor's targets at reduced concurrency. It has no right until the
// platform or its witness has spoken; with the platform away its witness's word is enough.
#[test]
fn a_woken_holder_has_no_right_before_it_has_heard() {
    for platform_up in [true, false] {
        let mut zone = shared();
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

// A host is paused with the platform away, and its only peer dies meanwhile. Nobody can say
// anything to it, and nobody can have removed it: it goes on with its own targets, as it would
// without the pause.
#[test]
fn a_woken_holder_that_is_alone_goes_on() {
    let mut zone = shared();
    let own = zone.usable_targets(0).0;
    zone.platform_up = false;
    zone.hosts[0].paused = true;
    zone.run(secs(30));
    zone.hosts[1].down = true;
    zone.resume(0);
    zone.run(secs(30));
    assert_eq!(zone.usable_targets(0), (own, 40 - own));
}

// Paused for less than the suspicion time: nobody removes it, and after one exchange it uses its
// targets as before, without a write.
#[test]
fn a_short_pause_costs_one_exchange() {
    let mut zone = shared();
    zone.hosts[0].paused = true;
    zone.run(Duration::from_millis(2500));
    zone.resume(0);
    zone.run(secs(2));
    assert_eq!(zone.usable_targets(0).0 + zone.usable_targets(1).0, 40);
    assert_eq!(zone.writes, 2);
}

// The platform is down and a peer dies. The other goes on with its own targets in full and stands
// in for the dead one's at reduced concurrency, for as long as the outage lasts. When the platform
// is back it removes the dead one and owns all.
#[test]
fn an_outage_and_a_dead_peer_leave_the_own_targets_in_full() {
    let mut zone = shared();
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

// Platform down, zone cut off, both listed hosts gone and one new one started: nobody can list it,
// so it stands in for all at reduced concurrency. While a listed host lives, it owns nothing.
#[test]
fn a_replacement_in_a_cut_zone_stands_in_for_all() {
    let mut zone = shared();
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
// may only be paused: the new one takes its place in the list and waits for one lease.
#[test]
fn a_restarted_host_waits_for_its_former_self() {
    let mut zone = shared();
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

// The answers to writes are lost after they took effect. The host reads, finds itself listed, and
// writes no second time.
#[test]
fn a_lost_answer_is_settled_by_reading() {
    let mut zone = ZoneSimulation::new();
    zone.lose_write_responses = true;
    zone.start("a");
    zone.run(secs(20));
    assert_eq!(zone.usable_targets(0), (40, 0));
    assert_eq!(zone.writes, 1);
}

// Five hosts of a zone start at once and write against each other. Each conditional update has one
// winner; the others read and go on, so that all end up listed.
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

// A host that leaves hands its targets on without the wait: it sends nothing new by itself.
#[test]
fn a_leaving_host_gives_its_right_up() {
    let mut zone = shared();
    let now = zone.now;
    let actions = zone.hosts[0].manager.handle(Event::Leave, now);
    let written = matches!(&actions[..], [.., Action::Note(_)] | [Action::Write { .. }, ..]);
    assert!(written, "{actions:?}");
    assert_eq!(zone.hosts[0].manager.tenure(now).valid_until, Moment::ZERO);
}

// A list with an older fence, out of a late message, changes nothing.
#[test]
fn an_older_list_is_not_taken() {
    let mut zone = shared();
    let list = zone.hosts[0].manager.holder_list().clone();
    let older = ZoneTenure { fence: list.fence - 1, hosts: Vec::new() };
    let now = zone.now;
    zone.hosts[0].manager.handle(Event::ListReceived(older), now);
    assert_eq!(*zone.hosts[0].manager.holder_list(), list);
}

// The shell's part: the answer to the write of the list is lost after it took effect, then the
// platform hangs. The right is counted from before a call was sent, so that a slow answer cannot
// stretch it.
#[tokio::test(start_paused = true)]
async fn a_right_counts_from_before_the_call() {
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

// A zone of the size to be reached: 30 hosts. Each asks its two witnesses only, and the platform next
// to never. A host dies, and with it both of its witnesses: the others remove the three, one after
// the other or, where nobody is left to watch, after a longer silence, and own all targets.
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
    assert_eq!(invariant::take(), []);
}
