//! Loads at their worst, replayed against the decisions with and without a mechanism.
//!
//! Six targets with 18 slots do 68 requests a second if they know all objects, 20 if none.

use super::{
    secs,
    simulation::{Model, Tally, sum, warm_up},
};
use crate::placement::Tuning;

const SEEDS: u64 = 8;

/// Half as many requests again as targets can do, for five seconds.
fn burst(model: &mut Model) -> Tally {
    warm_up(model);
    model.play(secs(5.0), 100.0)
}

/// All hosts are killed and start again, knowing nothing, while targets go on.
fn restart(model: &mut Model) -> Tally {
    warm_up(model);
    model.restart_hosts();
    model.play(secs(2.0), 50.0)
}

/// The usual load, long enough for objects to be pushed out where they are not kept together.
fn usual(model: &mut Model) -> Tally {
    warm_up(model);
    model.play(secs(20.0), 50.0)
}

/// Callers' requests are about few objects, and each target keeps a third of them. With what hosts
/// saw and were told, nineteen of twenty requests meet a target that knows their object.
#[test]
fn requests_meet_targets_that_know_their_objects() {
    let tally = sum(SEEDS, Tuning::default(), usual);
    assert!(0.95 <= tally.known_part(), "{tally:?}");
    assert!(0.9 <= tally.in_time_part(), "{tally:?}");
}

/// In a burst every target is crowded. Sent to any that has room, requests meet targets that do not
/// know their objects, keep slots three times as long and push out what is known there, so that
/// fewer are answered in time. Charged for that, they stay, and nine of ten runs are fast ones.
#[test]
fn a_burst_does_not_scatter_objects() {
    let kept = sum(SEEDS, Tuning::default(), burst);
    let scattered = sum(SEEDS, Tuning { miss_cost_factor: -1.0, ..Tuning::default() }, burst);
    assert!(0.9 <= kept.known_part(), "{kept:?}");
    assert!(scattered.in_time_part() < kept.in_time_part(), "{kept:?} {scattered:?}");
}

/// After a restart of all hosts no host has heard of any object. Taken for unknown everywhere, they
/// are expected to run three times as long, and requests are refused although there is room. Hosts
/// that ask each object's first target find out that it knows, and refuse fewer.
#[test]
fn objects_are_found_again_after_all_hosts_started_anew() {
    let trusting = sum(SEEDS, Tuning::default(), restart);
    let ignorant =
        sum(SEEDS, Tuning { assume_primary_cached: false, ..Tuning::default() }, restart);
    assert!(trusting.refused < ignorant.refused, "{trusting:?} {ignorant:?}");
    assert!(ignorant.in_time <= trusting.in_time, "{trusting:?} {ignorant:?}");
}

/// One of six targets takes five times as long. Many hosts share it, so that each meets it too
/// seldom to learn that by itself, and forgets it between two requests: callers are sent there for as
/// long as it lasts. What each of them saw, told to all, moves its objects to the others.
#[test]
fn a_slow_target_is_known_to_all_hosts() {
    for (hosts, rate) in [(8, 40.0), (8, 30.0), (18, 40.0)] {
        let slow = |model: &mut Model| {
            model.add_hosts(hosts);
            warm_up(model);
            model.slow_down(0, 5);
            model.play(secs(8.0), rate)
        };
        let told = sum(SEEDS, Tuning::default(), slow);
        let alone = sum(SEEDS, Tuning { use_reported_slowness: false, ..Tuning::default() }, slow);
        assert!(alone.in_time < told.in_time, "{hosts}, {rate}: {told:?} {alone:?}");
    }
}

/// All targets are slow at once. No pool is emptied for it: nearly all requests still get an answer.
#[test]
fn slow_targets_are_used_where_all_are_slow() {
    let slow = |model: &mut Model| {
        warm_up(model);
        (0..6).for_each(|at| model.slow_down(at, 2));
        model.play(secs(6.0), 15.0)
    };
    let tally = sum(SEEDS, Tuning::default(), slow);
    let all = tally.in_time + tally.late + tally.refused;
    assert!(tally.refused * 50 <= all, "{tally:?}");
}
