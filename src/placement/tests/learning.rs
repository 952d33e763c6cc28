//! What is learnt from the ends of attempts.

use super::secs;
use crate::{
    placement::{Forecast, HealthSignal, RoundTrips, ServiceEstimates, TargetHealth, WorkTime},
    prelude::*,
};

fn forecast(depth: Option<usize>) -> Forecast {
    Forecast { depth, has_free_slot: true, object: Some(1), ..Forecast::default() }
}

/// Work takes 264 ms and 880 ms. A fifth of the runs that should have found a free slot had to wait
/// for up to as long again. Both times are learnt to a tenth, so that a target is not taken for
/// crowded when it is not.
#[test]
fn both_times_of_work_are_learnt_although_some_runs_waited() {
    let mut work = WorkTime::default();
    for run in 0..500_u32 {
        let waited = if run % 5 == 0 { f64::from(run % 7) / 7.0 * 0.264 } else { 0.0 };
        work.record_run(secs(0.264 + waited), Some(true));
        work.record_run(secs(0.88), Some(false));
    }
    assert!((work.hit().as_secs_f64() / 0.264 - 1.0).abs() < 0.1, "{work:?}");
    assert!((work.miss().as_secs_f64() / 0.88 - 1.0).abs() < 0.1, "{work:?}");
}

/// The first answers tell more than any assumption: a service of 5 ms is known as such at once.
#[test]
fn the_first_runs_count_in_full() {
    let mut work = WorkTime::default();
    assert!(!work.is_measured());
    work.record_run(secs(0.005), Some(true));
    work.record_run(secs(0.02), Some(false));
    assert!(work.is_measured());
    assert_eq!(work.hit(), secs(0.005));
    assert_eq!(work.miss(), secs(0.02));
}

/// All hosts start again while targets go on: the first target of an object knows it. At the first
/// start of all it does not. A dozen runs tell a host which it is.
#[test]
fn hosts_learn_whether_first_targets_know_their_objects() {
    let guess = Forecast { is_primary_guess: true, hit_probability: 0.5, ..forecast(None) };
    for (took, known) in [(secs(0.1), true), (secs(0.9), false)] {
        let mut estimates = ServiceEstimates::default();
        (0..12).for_each(|_| estimates.record_answer(&guess, took, true));
        assert_eq!(0.9 < estimates.primary_hit_rate, known, "{estimates:?}");
        assert_eq!(estimates.primary_hit_rate < 0.1, !known, "{estimates:?}");
    }
}

/// A run that had to wait, or whose request names no object, says nothing of how long work takes.
#[test]
fn runs_that_waited_teach_nothing() {
    let mut estimates = ServiceEstimates::default();
    let waited = Forecast { has_free_slot: false, ..forecast(Some(0)) };
    let unnamed = Forecast { object: None, ..forecast(Some(0)) };
    estimates.record_answer(&waited, secs(3.0), true);
    estimates.record_answer(&unnamed, secs(3.0), true);
    assert_eq!(estimates.work.hit(), WorkTime::default().hit());
}

/// Targets that run objects for the first time take three times as long. They are not taken for
/// slow ones, which would send their objects to targets that know them even less.
#[test]
fn first_runs_do_not_make_a_target_slow() {
    let estimates = super::estimates();
    let guess = Forecast { expected: secs(0.2), hit_probability: 0.5, ..forecast(None) };
    let sure = Forecast { expected: secs(0.1), ..forecast(Some(0)) };
    let mut first = TargetHealth::default();
    let mut slow = TargetHealth::default();
    for _ in 0..10 {
        first.record_attempt(
            HealthSignal::Answered(secs(0.3)),
            estimates.expected_time(&guess),
            secs(1.0),
        );
        slow.record_attempt(
            HealthSignal::Answered(secs(0.3)),
            estimates.expected_time(&sure),
            secs(1.0),
        );
    }
    assert_eq!(first.slowdown(secs(1.0)), 1.0);
    assert!(2.0 < slow.slowdown(secs(1.0)));
}

/// Round trips come from new connections. A lost packet adds 200 ms to one of them, and a region
/// that moved away is noticed within eight.
#[test]
fn round_trips_are_the_shortest_of_the_latest_connections() {
    let (home, far): (RegionId, RegionId) = ("north".into(), "south".into());
    let mut trips = RoundTrips::default();
    assert_eq!(trips.get(&home, &home), Duration::ZERO);
    assert!(Duration::ZERO < trips.get(&far, &home));
    for took in [0.27, 0.07, 0.072, 0.28] {
        trips.record(&far, secs(took));
    }
    assert_eq!(trips.get(&far, &home), secs(0.07));
    (0..8).for_each(|_| trips.record(&far, secs(0.11)));
    assert_eq!(trips.get(&far, &home), secs(0.11));
}
