//! Zone reports, and the rotation of their senders and receivers.

use super::{addr, secs};
use crate::{
    fleet::{CrashReport, Delivery, Load, Members, Reports, Rotation, ZoneReport},
    placement::{LimitReport, SlowdownReport},
    prelude::*,
};

fn report(sender: &str, sequence: u64, hosts: u16, in_flight: u16) -> ZoneReport {
    ZoneReport {
        sender: sender.into(),
        sender_addr: addr(3),
        contacts: Vec::new(),
        declaration_check: None,
        members: Members { count: hosts, ..Members::default() },
        state_sources: Vec::new(),
        load: Some((Load { in_flight: vec![(7, in_flight)], ..Load::default() }, hosts)),
        delivery: Delivery::Forwarded,
        is_cross_region: false,
        order: (1, sequence),
        zone: "north-b".into(),
    }
}

fn in_flight(reports: &Reports, now: Moment) -> Option<u16> {
    reports.loads(now).flat_map(|(_, load)| &load.in_flight).map(|(_, count)| *count).next()
}

/// Guards against a report that is recorded and forwarded twice because two hosts of the own zone
/// deliver it.
#[test]
fn a_report_is_recorded_once() {
    let mut reports = Reports::default();
    assert!(reports.record(&report("h-1", 3, 4, 9), secs(1.0)));
    assert!(!reports.record(&report("h-1", 3, 4, 9), secs(1.0)));
    assert!(!reports.record(&report("h-1", 2, 4, 1), secs(1.1)));
    assert!(
        reports.record(&report("h-2", 1, 4, 5), secs(1.2)),
        "each sender has an order of its own"
    );
    assert_eq!(in_flight(&reports, secs(1.2)), Some(5));
    assert_eq!(in_flight(&reports, secs(3.0)), None, "the report of a silent zone has expired");
}

/// Guards against overloaded targets: a host that resumes after a pause reports only its own load,
/// and its report would make all targets used by its zone look idle.
#[test]
fn a_partial_report_does_not_replace_a_complete_one_at_once() {
    let mut reports = Reports::default();
    reports.record(&report("h-1", 3, 6, 9), secs(1.0));
    assert!(reports.record(&report("h-2", 1, 1, 0), secs(1.1)));
    assert_eq!(in_flight(&reports, secs(1.1)), Some(9));
    reports.record(&report("h-2", 2, 1, 0), secs(2.1));
    assert_eq!(in_flight(&reports, secs(2.1)), Some(0), "the other hosts may be down");
}

/// Guards against sums that count a host twice or miss one, and against duplicate recent objects.
#[test]
fn loads_add_up_by_key() {
    let crash = CrashReport { fingerprint: 1, id: 2, age_ms: 300, is_cleared: false };
    let one = Load {
        crashes: vec![crash],
        demand: vec![((5, 6), 0.5)],
        in_flight: vec![(7, 2), (8, 1)],
        limits: vec![(7, LimitReport { age_ms: 100, limit: Some(2.0), number: 1 })],
        recent_objects: vec![(7, 11)],
        sent: vec![((5, 1), (3, 4))],
        slow_targets: vec![(7, SlowdownReport::single(4.0))],
        team_counts: vec![(5, (3, 1))],
    };
    let ended = LimitReport { age_ms: 900, limit: None, number: 2 };
    let two = Load { in_flight: vec![(7, 3)], limits: vec![(7, ended)], ..one.clone() };
    let sum = Load::sum([&one, &two].into_iter());
    assert_eq!(sum.in_flight, [(7, 5), (8, 1)]);
    assert_eq!(sum.limits, [(7, ended)], "the latest statement counts");
    assert_eq!(sum.sent, [((5, 1), (6, 8))]);
    assert_eq!(sum.team_counts, [(5, (6, 2))]);
    assert_eq!(
        sum.slow_targets,
        [(7, SlowdownReport::single(4.0).merge(SlowdownReport::single(4.0)))]
    );
    assert_eq!(
        (sum.crashes, sum.demand, sum.recent_objects),
        (vec![crash], vec![((5, 6), 1.0)], vec![(7, 11)])
    );
}

/// Guards against a host that sends no report, or several at once, after a late tick or a clock
/// change.
#[test]
fn hosts_of_a_zone_take_turns() {
    let mut hosts: Vec<Rotation> = (0..5).map(|_| Rotation::default()).collect();
    let mut turns = |slot: u64| -> Vec<usize> {
        let due = hosts.iter_mut().enumerate();
        due.filter_map(|(at, host)| host.is_due(slot, at, 5).then_some(at)).collect()
    };
    assert_eq!(turns(10), [0]);
    assert_eq!(turns(11), [1]);
    assert!(turns(11).is_empty());
    assert_eq!(turns(13), [2, 3], "a late tick sends the report of a skipped slot");
    assert_eq!(
        turns(90),
        [0, 1, 2, 3, 4],
        "a tick that is late by several rounds sends one report"
    );
    assert_eq!(turns(40), [0], "turns continue after the clock is set back");
}

/// Guards against a lost host that is the receiver of all reports to its zone.
#[test]
fn receivers_rotate() {
    let all = ["a", "b", "c"];
    assert_eq!(Rotation::receivers(4, &all, 1), ["b"]);
    assert_eq!(Rotation::receivers(5, &all, 1), ["c"]);
    assert_eq!(Rotation::receivers(1, &all, 2), ["c", "a"]);
    assert_eq!(Rotation::receivers(0, &["a"], 2), ["a"]);
    assert!(Rotation::receivers::<&str>(3, &[], 2).is_empty());
}
