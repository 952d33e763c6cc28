use assert_matches::assert_matches;
use rand::{SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::{
    manifest::{DrainScope, Manifest, Region, Service, ServiceKind, Target, Weighing},
    peer::{DrainOrder, UndrainOrder},
    prelude::*,
    standin::platform::{Faults, Outage, PlatformStandin},
    timeline::{EventKind, HybridTime},
};

/// Two regions with two zones each; each zone has two targets with three slots.
fn manifest(sequence: Sequence, cap: f64) -> Manifest {
    let zones = ["e1", "e2", "w1", "w2"];
    let target = |at: usize| Target {
        address: SocketAddr::from(([127, 0, 0, 1], 9000 + at as u16)),
        name: format!("t{at}").into(),
        slots: 3,
        zone: zones[at / 2].into(),
    };
    let region = |name: &str, zones: &[&str]| Region {
        name: name.into(),
        reserve: 0.25,
        zones: zones.iter().map(|zone| (*zone).into()).collect(),
    };
    Manifest {
        client_blocks: Default::default(),
        drains: Vec::new(),
        member: "agency".into(),
        regions: vec![region("east", &zones[..2]), region("west", &zones[2..])],
        sequence,
        services: vec![Service {
            connections: 10,
            kind: ServiceKind::Booking,
            max_body: 1000,
            name: "intake".into(),
            shift_cap: cap,
            targets: (0..8).map(target).collect(),
            timeout_ms: 1000,
        }],
        weighing: Weighing::Latency,
    }
}

fn at(millis: u64) -> HybridTime {
    HybridTime { millis, count: 0 }
}

fn zone(name: &str) -> DrainScope {
    DrainScope::Zone(name.into())
}

fn order(id: &str, scope: DrainScope) -> DrainOrder {
    DrainOrder { by: format!("operator of {id}").into(), id: id.into(), scope }
}

fn undrain_order(scope: DrainScope) -> UndrainOrder {
    UndrainOrder { by: "ana".into(), id: None, scope }
}

fn load(region: &str, busy: f64) -> ServiceLoad {
    ServiceLoad { busy, region: region.into(), service: "intake".into() }
}

#[test]
fn order_takes_effect_immediately_and_only_once() {
    let mut drains = DrainSet::new("a".into());
    let manifest = manifest(1, 1.0);
    let first = drains.apply_order(order("1", zone("e1")), at(10), &manifest, &[]).unwrap();
    assert_eq!(drains.in_force(), [zone("e1")].into());
    let again = drains.apply_order(order("1", zone("e1")), at(20), &manifest, &[]).unwrap();
    assert_eq!(again, first, "the client resent the order because its answer was lost");
    let second_drain = drains.apply_order(order("2", zone("e1")), at(30), &manifest, &[]);
    assert_matches!(second_drain, Err(DrainError::AlreadyDrained { .. }));
    let unknown = drains.apply_order(order("3", zone("e9")), at(40), &manifest, &[]);
    assert_eq!(unknown, Err(DrainError::UnknownScope("zone")));
    assert_eq!(drains.undrain(undrain_order(zone("e1")), at(50)).unwrap().len(), 1);
    assert_eq!(drains.in_force(), [].into());
    assert_eq!(drains.undrain(undrain_order(zone("e1")), at(60)), Err(DrainError::NotDrained));
}

#[test]
fn drains_wait_for_room_and_give_the_reason() {
    for (scope, cap, loads, reason) in [
        (zone("e1"), 0.2, vec![load("east", 5.0)], None),
        (zone("e1"), 0.2, vec![load("east", 10.0)], Some("40 % of intake would have to leave")),
        (zone("e1"), 0.5, vec![load("east", 10.0)], None),
        (zone("e1"), 0.5, vec![load("east", 10.0), load("west", 8.0)], Some("4.0 slots outside")),
        (DrainScope::Region("east".into()), 0.5, vec![], Some("100 % of intake")),
        (DrainScope::Region("east".into()), 1.0, vec![], None),
        (DrainScope::Target("t0".into()), 0.0, vec![load("east", 9.0)], None),
        (DrainScope::Host("a".into()), 0.0, vec![load("east", 12.0)], None),
    ] {
        let mut drains = DrainSet::new("a".into());
        let manifest = manifest(1, cap);
        let record =
            drains.apply_order(order("1", scope.clone()), at(1), &manifest, &loads).unwrap();
        let why = drains.wait_reason("1").cloned();
        assert_eq!(record.started.is_none(), reason.is_some(), "{scope:?} {why:?}");
        assert_eq!(why.is_some(), reason.is_some(), "{scope:?}");
        let why = why.unwrap_or_default();
        assert!(why.contains(reason.unwrap_or_default()), "{why}");
    }
}

// A drain waits because the region is busy. Once there is room, the host that received the order
// starts it and others do not; if that host is gone, the first live host starts it.
#[test]
fn only_one_host_starts_a_waiting_drain() {
    let manifest = manifest(1, 0.2);
    let busy = [load("east", 10.0)];
    let mut receiver = DrainSet::new("b".into());
    receiver.apply_order(order("1", zone("e1")), at(1), &manifest, &busy).unwrap();
    let live: Vec<HostId> = vec!["a".into(), "b".into()];
    let mut other = DrainSet::new("a".into());
    other.merge(&receiver.records(), 2);
    assert!(!receiver.start_waiting(&manifest, &busy, &live, at(2)));
    assert!(!other.start_waiting(&manifest, &[], &live, at(3)));
    assert!(
        other.clone().start_waiting(&manifest, &[], &live[..1], at(3)),
        "the host that received the order is gone"
    );
    assert!(receiver.start_waiting(&manifest, &[], &live, at(3)));
    assert_eq!(receiver.in_force(), [zone("e1")].into());
}

// Hosts receive drain and undrain records in any order, repeatedly and indirectly. All end up with
// the same set, and no drain that was undone becomes active again.
#[test]
fn records_merge_to_the_same_set_in_any_order() {
    let manifest = manifest(1, 1.0);
    let mut east = DrainSet::new("a".into());
    east.apply_order(order("1", zone("e1")), at(10), &manifest, &[]).unwrap();
    let before = east.records();
    east.undrain(undrain_order(zone("e1")), at(20)).unwrap();
    let mut west = DrainSet::new("b".into());
    west.merge(&before, 30);
    west.undrain(undrain_order(zone("e1")), at(25)).unwrap();
    west.apply_order(order("2", zone("w1")), at(30), &manifest, &[]).unwrap();
    let mut received: Vec<_> = [before, east.records(), west.records(), east.records()].concat();
    let mut results = Vec::new();
    for seed in 0..50 {
        received.shuffle(&mut ChaCha8Rng::seed_from_u64(seed));
        let mut drains = DrainSet::new("c".into());
        for record in &received {
            drains.merge(std::slice::from_ref(record), 40);
        }
        assert_eq!(drains.in_force(), [zone("w1")].into());
        results.push(drains.records());
    }
    results.dedup();
    assert_eq!(results.len(), 1);
}

// Two operators drain the same zone through two hosts that cannot reach each other, and both orders
// are accepted. The drain written to the platform first stays, although the other was ordered
// earlier; the other operator is told whose drain came first.
#[test]
fn first_of_two_racing_drains_on_the_platform_wins() {
    let manifest = manifest(1, 1.0);
    let mut first = DrainSet::new("a".into());
    first.apply_order(order("1", zone("e1")), at(20), &manifest, &[]).unwrap();
    let mut second = DrainSet::new("b".into());
    second.apply_order(order("2", zone("e1")), at(10), &manifest, &[]).unwrap();
    assert!(first.needs_sync());
    let platform_records = merge_with_platform(&[], &first.records(), 30);
    first.record_platform_copy(platform_records.clone(), 30);
    assert!(!first.needs_sync());
    let platform_records = merge_with_platform(&platform_records, &second.records(), 30);
    second.record_platform_copy(platform_records.clone(), 30);
    first.merge(&platform_records, 30);
    for drains in [&first, &second] {
        assert!(drains.get("1").unwrap().is_in_force());
        let undone = drains.get("2").unwrap().undone.clone().unwrap();
        assert_eq!(&*undone.by, "drain 1 of operator of 1, which came first");
    }
    assert_eq!(
        merge_with_platform(&platform_records, &first.records(), 30),
        platform_records,
        "nothing changes afterwards"
    );
    let next_week = 7 * 24 * 3_600_000;
    let platform_records = merge_with_platform(&platform_records, &first.records(), next_week);
    assert_eq!(platform_records.len(), 1, "the undone drain is deleted");
    first.purge_tombstones(next_week);
    first.record_platform_copy(platform_records, next_week);
    assert!(!first.needs_sync());
}

// An operator drained a zone, and newer manifests follow. A manifest that does not mention the zone
// leaves the drain in force. One that lists the zone as drained ends the operator's drain, so that
// a later manifest can reopen the zone. One without the zone ends it, too.
#[test]
fn newer_manifest_takes_precedence_over_drains() {
    let mut drains = DrainSet::new("a".into());
    drains.apply_order(order("1", zone("e1")), at(1), &manifest(5, 1.0), &[]).unwrap();
    assert!(!drains.clone().reconcile(&manifest(5, 1.0), at(2)));
    assert!(!drains.clone().reconcile(&manifest(6, 1.0), at(2)));
    let mut listed = manifest(6, 1.0);
    listed.drains.push(zone("e1"));
    let mut without = manifest(6, 1.0);
    without.regions[0].zones.remove(0);
    for newer in [listed, without] {
        let mut drains = drains.clone();
        assert!(drains.reconcile(&newer, at(2)));
        assert_eq!(drains.in_force(), [].into());
        assert_eq!(&*drains.get("1").unwrap().undone.as_ref().unwrap().by, "manifest 6");
    }
    let mut older = manifest(4, 1.0);
    older.drains.push(zone("e1"));
    assert!(!drains.reconcile(&older, at(2)), "an older manifest has no effect");
}

#[test]
fn progress_reports_start_end_and_duration() {
    let mut drains = DrainSet::new("a".into());
    drains.apply_order(order("1", zone("e1")), at(1), &manifest(1, 1.0), &[]).unwrap();
    let mut progress = ProgressTracker::default();
    let secs = Duration::from_secs;
    let mut observe = |in_flight, now| {
        let events = progress.observe(drains.active().map(|record| (record, in_flight)), now);
        (events, progress.get("1").unwrap().elapsed())
    };
    let scope = zone("e1");
    assert_eq!(observe(3, secs(5)), (vec![EventKind::DrainStarted { scope: scope.clone() }], None));
    assert_eq!(observe(1, secs(6)), (vec![], None));
    let ended = vec![EventKind::DrainEnded { scope }];
    assert_eq!(observe(0, secs(8)), (ended, Some(secs(3))));
    assert_eq!(observe(0, secs(9)), (vec![], Some(secs(3))));
}

// Two hosts synchronize with the platform at the same time, and one of them loses the answers to
// writes that took effect. Each drain is stored on the platform once, and one of them is active.
#[tokio::test(start_paused = true)]
async fn racing_hosts_sync_despite_lost_answers() {
    let platform = PlatformStandin::in_memory();
    let (healthy, lossy) = (platform.open_door(), platform.open_door());
    lossy.set_faults(Faults { lose_answers: 2, ..Faults::default() });
    let manifest = manifest(1, 1.0);
    let mut first = DrainSet::new("a".into());
    first.apply_order(order("1", zone("e1")), at(10), &manifest, &[]).unwrap();
    let mut second = DrainSet::new("b".into());
    second.apply_order(order("2", zone("e1")), at(20), &manifest, &[]).unwrap();
    let key = object_key(&"agency".into());
    let (of_first, of_second) = (first.records(), second.records());
    let (platform_records, other) = tokio::join!(
        sync_with_platform(&lossy, &key, &of_first, 30),
        sync_with_platform(&healthy, &key, &of_second, 30)
    );
    first.record_platform_copy(platform_records.unwrap(), 30);
    second.record_platform_copy(other.unwrap(), 30);
    let platform_records = sync_with_platform(&healthy, &key, &first.records(), 30).await.unwrap();
    first.record_platform_copy(platform_records.clone(), 30);
    second.record_platform_copy(platform_records.clone(), 30);
    assert_eq!(platform_records.len(), 2);
    assert_eq!(platform_records.iter().filter(|record| record.is_active()).count(), 1);
    assert_eq!(first.records(), second.records());
    assert!(!first.needs_sync() && !second.needs_sync());
}

// The platform is unavailable for a while. The drain stays in force and is stored once the platform
// recovers.
#[tokio::test(start_paused = true)]
async fn drain_is_synced_when_the_platform_recovers() {
    let platform = PlatformStandin::in_memory();
    platform.set_faults(Faults { outage: Outage::Refuse, ..Faults::default() });
    let mut drains = DrainSet::new("a".into());
    drains.apply_order(order("1", zone("e1")), at(10), &manifest(1, 1.0), &[]).unwrap();
    let key = object_key(&"agency".into());
    assert!(sync_with_platform(platform.door(), &key, &drains.records(), 20).await.is_err());
    assert_eq!(drains.in_force(), [zone("e1")].into());
    assert!(drains.needs_sync());
    platform.set_faults(Faults::default());
    let platform_records =
        sync_with_platform(platform.door(), &key, &drains.records(), 20).await.unwrap();
    drains.record_platform_copy(platform_records, 20);
    assert!(!drains.needs_sync());
    assert!(drains.get("1").unwrap().settled);
}
