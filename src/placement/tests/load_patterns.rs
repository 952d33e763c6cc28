//! Simulations of difficult loads, with and without the mechanism that handles them.
//!
//! Six targets with 18 slots in total run 68 requests a second if all are cache hits, and 20 if all
//! are misses.

use super::{
    secs,
    simulation::{Simulation, Tally, sum, warm_up},
};
use crate::placement::Tuning;

const SEEDS: u64 = 8;

/// Five seconds with about 1.5 times as many requests as the targets can run.
fn burst(simulation: &mut Simulation) -> Tally {
    warm_up(simulation);
    simulation.simulate(secs(5.0), 100.0)
}

/// A restart of all hosts, which lose their state while the targets continue.
fn restart(simulation: &mut Simulation) -> Tally {
    warm_up(simulation);
    simulation.restart_hosts();
    simulation.simulate(secs(2.0), 50.0)
}

/// Normal load, long enough for objects to be evicted if their requests were spread over targets.
fn normal_load(simulation: &mut Simulation) -> Tally {
    warm_up(simulation);
    simulation.simulate(secs(20.0), 50.0)
}

/// Requests are about few objects, and each target caches a third of them. By their own requests
/// and the reports of others, hosts send 19 of 20 requests to a target that has the object cached.
#[test]
fn most_requests_are_cache_hits() {
    let tally = sum(SEEDS, Tuning::default(), normal_load);
    assert!(0.95 <= tally.hit_fraction(), "{tally:?}");
    assert!(0.9 <= tally.in_time_fraction(), "{tally:?}");
}

/// In a burst, the queues of all targets are long. If requests went to any target with space, they
/// would miss its cache, occupy slots three times as long and evict other objects, so that fewer
/// are answered in time. The cost of a miss keeps them at their targets, and nine of ten runs are
/// hits.
#[test]
fn a_burst_does_not_spread_objects_over_targets() {
    let charged = sum(SEEDS, Tuning::default(), burst);
    let uncharged = sum(SEEDS, Tuning { miss_cost_factor: -1.0, ..Tuning::default() }, burst);
    assert!(0.9 <= charged.hit_fraction(), "{charged:?}");
    assert!(uncharged.in_time_fraction() < charged.in_time_fraction(), "{charged:?} {uncharged:?}");
}

/// After a restart of all hosts, no host knows of any earlier request. If objects are assumed to be
/// cached nowhere, requests are expected to take three times as long and are refused although slots
/// are free. Hosts that send them to each object's primary target learn that it has the object
/// cached, and refuse fewer.
#[test]
fn restarted_hosts_find_cached_objects() {
    let assumed = sum(SEEDS, Tuning::default(), restart);
    let not_assumed =
        sum(SEEDS, Tuning { assume_primary_cached: false, ..Tuning::default() }, restart);
    assert!(assumed.refused < not_assumed.refused, "{assumed:?} {not_assumed:?}");
    assert!(not_assumed.in_time <= assumed.in_time, "{assumed:?} {not_assumed:?}");
}

/// One of six targets takes five times as long. Many hosts share it, and each sends it too few
/// requests to detect that by itself: its estimate decays between two of them, and requests are
/// sent there as long as the target is slow. When hosts report slow targets to each other, its
/// objects move to other targets.
#[test]
fn reports_let_all_hosts_avoid_a_slow_target() {
    for (hosts, rate) in [(8, 40.0), (8, 30.0), (18, 40.0)] {
        let slow = |simulation: &mut Simulation| {
            simulation.add_hosts(hosts);
            warm_up(simulation);
            simulation.slow_down(0, 5);
            simulation.simulate(secs(8.0), rate)
        };
        let reported = sum(SEEDS, Tuning::default(), slow);
        let unreported =
            sum(SEEDS, Tuning { use_reported_slowness: false, ..Tuning::default() }, slow);
        assert!(
            unreported.in_time < reported.in_time,
            "{hosts}, {rate}: {reported:?} {unreported:?}"
        );
    }
}

/// All targets are slow at once. They all remain in use, and nearly all requests are answered.
#[test]
fn targets_stay_in_use_when_all_are_slow() {
    let slow = |simulation: &mut Simulation| {
        warm_up(simulation);
        (0..6).for_each(|at| simulation.slow_down(at, 2));
        simulation.simulate(secs(6.0), 15.0)
    };
    let tally = sum(SEEDS, Tuning::default(), slow);
    let all = tally.in_time + tally.late + tally.refused;
    assert!(tally.refused * 50 <= all, "{tally:?}");
}

/// Twenty seconds after some of the targets have limited their requests to two a second each.
fn limited(targets: usize) -> impl Fn(&mut Simulation) -> Tally {
    move |simulation| {
        warm_up(simulation);
        (0..targets).for_each(|target| simulation.limit(target, 2.0));
        simulation.simulate(secs(20.0), 30.0)
    }
}

/// A third of the targets limit their requests; the others have room for all. Guards against
/// requests that are refused because the targets that have their objects cached take no more.
#[test]
fn requests_move_away_from_limited_targets() {
    let tally = sum(SEEDS, Tuning::default(), limited(2));
    let requests = tally.in_time + tally.late + tally.refused;
    assert!(tally.refused * 20 < requests, "{tally:?}");
}

/// All targets limit their requests, far below what callers ask. Guards against hosts that refuse
/// what the limits leave room for.
#[test]
fn limits_of_all_targets_are_used() {
    let tally = sum(SEEDS, Tuning::default(), limited(6));
    let named = 6.0 * 2.0 * 20.0 * SEEDS as f64;
    let used = f64::from(tally.in_time + tally.late) / named;
    assert!((0.75..=1.0).contains(&used), "{used}: {tally:?}");
}
