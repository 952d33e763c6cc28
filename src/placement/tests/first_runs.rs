//! Objects that no target knows yet.

use super::{estimates, idle, known, secs};
use crate::{
    entry::KnownTarget,
    placement::{Choice, PlacementQuery, ServiceEstimates, Tuning, choose},
    prelude::*,
};

fn targets() -> Vec<Arc<KnownTarget>> {
    (0..3).map(|at| known(&format!("t-{at}"), "north")).collect()
}

/// An objective of 60 ms: shorter than any first run.
fn ask<'a>(
    home: &'a RegionId,
    zone: &'a ZoneId,
    estimates: ServiceEstimates,
) -> PlacementQuery<'a> {
    PlacementQuery {
        home_region: home,
        estimates,
        time_left: secs(2.0),
        may_spill: false,
        object: Some(5),
        objective: secs(0.06),
        region: home,
        tuning: Tuning::default(),
        zone,
    }
}

/// A service starts, and its answers are wanted sooner than its work was assumed to take. Every
/// request is refused for an assumption, so nothing is ever measured, and all go on being refused.
#[test]
fn an_assumption_refuses_nothing() {
    let (home, zone) = ("north".into(), "north-a".into());
    let targets = targets();
    let choice = choose(&idle(&targets), &ask(&home, &zone, ServiceEstimates::default()), 0);
    assert!(matches!(choice, Choice::Send(_)), "{choice:?}");
}

/// First runs take longer than callers of this route want to wait. An object that nobody has asked
/// for, or that all targets have forgotten, is refused for its first run, stays unknown, and all its
/// requests are refused for ever. Its first target takes it when a slot is free, and only then.
#[test]
fn an_object_that_no_target_knows_is_run_once() {
    let (home, zone) = ("north".into(), "north-a".into());
    let targets = targets();
    let ask = ask(&home, &zone, estimates());
    for depth in [None, Some(100)] {
        let mut candidates = idle(&targets);
        candidates.iter_mut().for_each(|candidate| candidate.depth = depth);
        let Choice::Send(offer) = choose(&candidates, &ask, 0) else { panic!("it was refused") };
        candidates[offer.index].load = 3.0;
        assert!(matches!(choose(&candidates, &ask, 0), Choice::Busy { .. }));
        // Its first target is paused: the next one takes its place.
        candidates[offer.index].unavailable = true;
        let Choice::Send(next) = choose(&candidates, &ask, 0) else { panic!("it was refused") };
        assert_ne!(next.index, offer.index);
    }
}

/// A caller has 250 ms left, and the first run of its object takes 300 ms. It could only wait in
/// vain, so it is refused at once, although a slot is free. One with 350 ms left is served.
#[test]
fn a_caller_that_can_not_stay_for_a_first_run_is_refused() {
    let (home, zone) = ("north".into(), "north-a".into());
    let targets = targets();
    let mut candidates = idle(&targets);
    candidates.iter_mut().for_each(|candidate| candidate.depth = Some(100));
    let ask = ask(&home, &zone, estimates());
    let short = PlacementQuery { time_left: secs(0.25), ..ask.clone() };
    assert!(matches!(choose(&candidates, &short, 0), Choice::Busy { .. }));
    let long = PlacementQuery { time_left: secs(0.35), ..ask };
    assert!(matches!(choose(&candidates, &long, 0), Choice::Send(_)));
}

/// A request that names no object runs as fast anywhere: it goes to a free target.
#[test]
fn requests_without_objects_go_where_room_is() {
    let (home, zone) = ("north".into(), "north-a".into());
    let targets = targets();
    let mut candidates = idle(&targets);
    candidates[0].load = 4.0;
    candidates[2].load = 4.0;
    let objective = secs(0.2);
    for seed in 0..50 {
        let ask = PlacementQuery { object: None, objective, ..ask(&home, &zone, estimates()) };
        let Choice::Send(offer) = choose(&candidates, &ask, seed) else { panic!("it was refused") };
        assert_eq!((offer.index, offer.expected()), (1, secs(0.1)));
    }
}
