//! What zones tell of themselves.

use super::{info, secs};
use crate::{
    fleet::{Load, Reports, Rotation, ZoneReport},
    placement::SlowdownReport,
    prelude::*,
};

fn report(sender: &str, sequence: u64, hosts: usize, in_flight: u16) -> ZoneReport {
    ZoneReport {
        sender: sender.into(),
        contacts: Vec::new(),
        declared_check: None,
        hosts: (0..hosts).map(|at| (info(&format!("h-{at}"), 1, sequence), 0)).collect(),
        state_sources: Vec::new(),
        load: Load { in_flight: vec![(7, in_flight)], ..Load::default() },
        is_forwarded: false,
        order: (1, sequence),
        zone: "north-b".into(),
    }
}

fn in_flight(reports: &Reports, now: Moment) -> Option<u16> {
    reports.loads(now).flat_map(|(_, load)| &load.in_flight).map(|(_, count)| *count).next()
}

/// A report comes twice, by two hosts of the own zone: it counts, and is passed on, once.
#[test]
fn a_report_counts_once() {
    let mut reports = Reports::default();
    assert!(reports.record(&report("h-1", 3, 4, 9), secs(1.0)));
    assert!(!reports.record(&report("h-1", 3, 4, 9), secs(1.0)));
    assert!(!reports.record(&report("h-1", 2, 4, 1), secs(1.1)));
    assert!(reports.record(&report("h-2", 1, 4, 5), secs(1.2)), "another host counts for itself");
    assert_eq!(in_flight(&reports, secs(1.2)), Some(5));
    assert_eq!(in_flight(&reports, secs(3.0)), None, "a zone that is silent tells nothing");
}

/// A host that was frozen wakes and tells of itself alone. Its sums would make all targets that its
/// zone keeps busy look idle, and they would be sent more than they hold.
#[test]
fn a_host_alone_does_not_speak_for_its_zone() {
    let mut reports = Reports::default();
    reports.record(&report("h-1", 3, 6, 9), secs(1.0));
    assert!(reports.record(&report("h-2", 1, 1, 0), secs(1.1)));
    assert_eq!(in_flight(&reports, secs(1.1)), Some(9));
    reports.record(&report("h-2", 2, 1, 0), secs(2.1));
    assert_eq!(in_flight(&reports, secs(2.1)), Some(0), "the others may really be gone");
}

/// Loads of several hosts add up by target and by service, and each run is told once.
#[test]
fn loads_add_up() {
    let one = Load {
        crashes: vec![(1, 2)],
        demand: vec![(5, 0.5)],
        in_flight: vec![(7, 2), (8, 1)],
        recent_objects: vec![(7, 11)],
        sent: vec![((5, 1), (3, 4))],
        slow: vec![(7, SlowdownReport::single(4.0))],
        teams: vec![(5, (3, 1))],
    };
    let two = Load { in_flight: vec![(7, 3)], ..one.clone() };
    let sum = Load::sum([&one, &two].into_iter());
    assert_eq!(sum.in_flight, [(7, 5), (8, 1)]);
    assert_eq!(sum.sent, [((5, 1), (6, 8))]);
    assert_eq!(sum.teams, [(5, (6, 2))]);
    assert_eq!(sum.slow, [(7, SlowdownReport::single(4.0).merge(SlowdownReport::single(4.0)))]);
    assert_eq!(
        (sum.crashes, sum.demand, sum.recent_objects),
        (vec![(1, 4)], vec![(5, 1.0)], vec![(7, 11)])
    );
}

/// Each host of a zone has one turn in a round, also where its ticks come late or its clock jumps.
#[test]
fn turns_go_round() {
    let mut hosts: Vec<Rotation> = (0..5).map(|_| Rotation::default()).collect();
    let mut turns = |slot: u64| -> Vec<usize> {
        let due = hosts.iter_mut().enumerate();
        due.filter_map(|(at, host)| host.is_due(slot, at, 5).then_some(at)).collect()
    };
    assert_eq!(turns(10), [0]);
    assert_eq!(turns(11), [1]);
    assert!(turns(11).is_empty());
    assert_eq!(turns(13), [2, 3], "a late tick takes the turn that it passed");
    assert_eq!(turns(90), [0, 1, 2, 3, 4], "a long one takes one turn, not many");
    assert_eq!(turns(40), [0], "and a clock that was set back goes on from there");
}

/// Receivers change with each turn, so that one that is gone costs a report, not all.
#[test]
fn receivers_take_turns() {
    let all = ["a", "b", "c"];
    assert_eq!(Rotation::receivers(4, &all, 1), ["b"]);
    assert_eq!(Rotation::receivers(5, &all, 1), ["c"]);
    assert_eq!(Rotation::receivers(1, &all, 2), ["c", "a"]);
    assert_eq!(Rotation::receivers(0, &["a"], 2), ["a"]);
    assert!(Rotation::receivers::<&str>(3, &[], 2).is_empty());
}
