//! Requests that crash targets, and what hosts tell each other of them.

use super::secs;
use crate::{entry::CrashSuspects, fleet::CrashReport};

const REQUEST: u64 = 7;
const OTHER: u64 = 8;

/// Interval at which hosts report.
const ROUND: f64 = 0.1;

fn host(seed: u32, at: usize) -> CrashSuspects {
    CrashSuspects::new(&format!("h-{seed}-{at}").into())
}

fn hosts(count: usize) -> Vec<CrashSuspects> {
    (0..count).map(|at| host(0, at)).collect()
}

/// Has all hosts hear each other's reports from one time to another.
fn exchange(hosts: &mut [CrashSuspects], from: f64, until: f64) {
    let rounds = ((until - from) / ROUND).round() as u32;
    for round in 0..=rounds {
        let now = secs(from + f64::from(round) * ROUND);
        let reports: Vec<Vec<CrashReport>> = hosts.iter().map(|host| host.reports(now)).collect();
        for (at, host) in hosts.iter_mut().enumerate() {
            for (_, reports) in reports.iter().enumerate().filter(|(from, _)| *from != at) {
                host.learn(reports, now);
            }
            host.tick(now);
        }
    }
}

fn refuse(hosts: &[CrashSuspects], fingerprint: u64) -> usize {
    hosts.iter().filter(|host| !host.may_run(fingerprint)).count()
}

/// Guards against requests that crash target after target, counted by several hosts, and against a
/// request that is refused although it merely ran beside one.
#[test]
fn request_that_crashes_targets_is_refused() {
    let mut hosts = hosts(3);
    hosts[0].record_crash(REQUEST, 1, secs(1.0));
    hosts[0].record_crash(OTHER, 2, secs(1.0));
    hosts[1].record_crash(REQUEST, 3, secs(2.0));
    hosts[1].record_crash(OTHER, 4, secs(2.0));
    exchange(&mut hosts, 2.0, 2.3);
    assert!(hosts[2].clear(OTHER), "it was answered");
    assert_eq!(refuse(&hosts, REQUEST), 0, "two crashes may be coincidence");
    exchange(&mut hosts, 2.4, 2.6);
    assert_eq!(hosts[2].record_crash(REQUEST, 5, secs(3.0)), 3);
    assert_eq!(hosts[0].record_crash(OTHER, 6, secs(3.0)), 1);
    exchange(&mut hosts, 3.0, 3.2);
    assert_eq!(refuse(&hosts, REQUEST), 3);
    assert_eq!(refuse(&hosts, OTHER), 0);
    exchange(&mut hosts, 3.3, 64.0);
    assert!(hosts.iter().all(CrashSuspects::is_empty), "they are forgotten after their time");
}

/// Guards against counts of crashes that end with the host that made them: its restart, and then
/// that of each other host in turn, let the request crash three more targets each time.
#[test]
fn crashes_outlast_the_restart_of_every_host() {
    for seed in 0..20 {
        let mut hosts: Vec<CrashSuspects> = (0..6).map(|at| host(seed, at)).collect();
        for id in 0..3 {
            hosts[0].record_crash(REQUEST, id, secs(1.0));
        }
        exchange(&mut hosts, 1.0, 1.2);
        let mut now = 1.2;
        for restarted in 0..6 {
            hosts[restarted] = host(seed, restarted);
            exchange(&mut hosts, now, now + 1.3);
            now += 1.3;
            assert_eq!(refuse(&hosts, REQUEST), 6, "seed {seed}, restart of {restarted}");
        }
    }
}

/// Guards against reports by all hosts of what one reports already: with a thousand hosts they would
/// take much of the link of each.
#[test]
fn few_hosts_report_a_crash_whose_reporter_is_gone() {
    let mut hosts = hosts(200);
    hosts[0].record_crash(REQUEST, 1, secs(1.0));
    exchange(&mut hosts, 1.0, 1.5);
    let reporting = |hosts: &[CrashSuspects], now: f64| {
        hosts.iter().filter(|host| !host.reports(secs(now)).is_empty()).count()
    };
    assert_eq!(reporting(&hosts, 1.5), 1);
    hosts.remove(0);
    exchange(&mut hosts, 1.6, 4.0);
    let reporters = reporting(&hosts, 4.0);
    assert!((1..=50).contains(&reporters), "{reporters} hosts of 199");
}

/// Guards against crashes that go round between hosts for good, each giving them back to one that
/// has forgotten them, over slow links.
#[test]
fn crashes_are_forgotten_everywhere() {
    let mut hosts = hosts(2);
    hosts[0].record_crash(REQUEST, 1, secs(1.0));
    let mut in_transit: Vec<Vec<Vec<CrashReport>>> = Vec::new();
    for round in 0..900_u32 {
        let now = secs(1.0 + f64::from(round) * ROUND);
        in_transit.push(hosts.iter().map(|host| host.reports(now)).collect());
        if 5 < in_transit.len() {
            let late = in_transit.remove(0);
            hosts[0].learn(&late[1], now);
            hosts[1].learn(&late[0], now);
        }
        hosts.iter_mut().for_each(|host| host.tick(now));
    }
    assert!(hosts.iter().all(CrashSuspects::is_empty));
}

/// Guards against requests that are refused everywhere because a host that lost its own links
/// counted the broken connections as crashes of targets, and against what others counted ending
/// with them.
#[test]
fn crashes_counted_while_cut_off_are_forgotten() {
    let mut hosts = hosts(2);
    hosts[0].record_crash(REQUEST, 1, secs(1.0));
    for id in 2..5 {
        hosts[0].record_crash(OTHER, id, secs(2.0));
    }
    for id in 5..8 {
        hosts[1].record_crash(REQUEST, id, secs(2.0));
    }
    exchange(&mut hosts, 2.0, 2.2);
    assert_eq!(refuse(&hosts, OTHER), 2);
    hosts[0].forget_since(secs(1.5));
    exchange(&mut hosts, 2.3, 2.5);
    assert_eq!(refuse(&hosts, OTHER), 0);
    assert_eq!(refuse(&hosts, REQUEST), 2);
}

/// If more requests are suspected than can be kept or reported, the oldest are left out, so that
/// memory and datagrams are bounded; those with most crashes are reported.
#[test]
fn number_of_crash_suspects_is_bounded() {
    let mut suspects = CrashSuspects::default();
    for fingerprint in 0..2000 {
        suspects.record_crash(fingerprint, 1, secs(fingerprint as f64 / 1000.0));
    }
    for id in 0..100 {
        suspects.record_crash(1_500, id, secs(2.0));
    }
    let reports = suspects.reports(secs(3.0));
    assert_eq!(reports.len(), 64);
    assert!(3 <= reports.iter().filter(|report| report.fingerprint == 1_500).count());
    assert!(!suspects.may_run(1_500));
    let kept = (0..2000).filter(|fingerprint| suspects.clear(*fingerprint)).count();
    assert_eq!(kept, 512);
}
