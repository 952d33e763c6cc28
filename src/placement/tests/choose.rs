//! Which target a request goes to.

use super::{estimates, idle, known, secs};
use crate::{
    entry::KnownTarget,
    placement::{Candidate, Choice, PlacementQuery, Tuning, choose},
    prelude::*,
};

const OBJECTS: u32 = 200;

struct World {
    home: RegionId,
    targets: Vec<Arc<KnownTarget>>,
    zone: ZoneId,
}

impl World {
    fn new(north: usize, south: usize) -> Self {
        let of = |region: &str, count: usize| {
            let region = region.to_owned();
            (0..count).map(move |at| known(&format!("{region}-{at}"), &region)).collect::<Vec<_>>()
        };
        let targets = [of("north", north), of("south", south)].concat();
        Self { home: "north".into(), targets, zone: "north-a".into() }
    }

    fn idle(&self) -> Vec<Candidate<'_>> {
        idle(&self.targets)
    }

    /// The same, and all know every object.
    fn knowing(&self) -> Vec<Candidate<'_>> {
        let mut candidates = self.idle();
        candidates.iter_mut().for_each(|candidate| candidate.depth = Some(0));
        candidates
    }

    fn ask(&self, object: u32) -> PlacementQuery<'_> {
        PlacementQuery {
            home_region: &self.home,
            estimates: estimates(),
            time_left: secs(2.0),
            may_spill: false,
            object: Some(object.wrapping_mul(0x9e37_79b9)),
            objective: secs(0.5),
            region: &self.home,
            tuning: Tuning::default(),
            zone: &self.zone,
        }
    }
}

fn choice(candidates: &[Candidate<'_>], ask: &PlacementQuery<'_>) -> Choice {
    choose(candidates, ask, 0)
}

fn sent(choice: Choice) -> usize {
    match choice {
        Choice::Send(offer) => offer.index,
        other => panic!("not sent: {other:?}"),
    }
}

/// Every host sends an object's requests to the same target, and all targets get objects.
#[test]
fn an_object_has_one_target_and_targets_share_the_objects() {
    let world = World::new(6, 0);
    let mut counts = [0; 6];
    for object in 0..OBJECTS {
        let at = sent(choice(&world.idle(), &world.ask(object)));
        assert_eq!(at, sent(choice(&world.idle(), &world.ask(object))));
        counts[at] += 1;
    }
    assert!(counts.iter().all(|count| 15 < *count && *count < 60), "{counts:?}");
}

/// A target is lost: its objects move, all others stay where they are known.
#[test]
fn a_lost_target_moves_only_its_own_objects() {
    let world = World::new(6, 0);
    for object in 0..OBJECTS {
        let before = sent(choice(&world.idle(), &world.ask(object)));
        let mut fewer = world.idle();
        fewer.remove(2);
        let after = sent(choice(&fewer, &world.ask(object)));
        let after = if after < 2 { after } else { after + 1 };
        assert!(before == 2 || before == after);
    }
}

/// Load pattern: a few requests more than slots, for a moment. They wait at the target that knows
/// their object; far more than slots, and they go to another one.
#[test]
fn a_short_queue_is_better_than_a_target_that_does_not_know_the_object() {
    let world = World::new(3, 0);
    let ask = world.ask(1);
    let first = sent(choice(&world.idle(), &ask));
    let mut loaded = world.idle();
    loaded[first].depth = Some(0);
    loaded[first].load = 5.0;
    assert_eq!(sent(choice(&loaded, &ask)), first);
    loaded[first].load = 12.0;
    assert_ne!(sent(choice(&loaded, &ask)), first);
}

/// Load pattern: more work than all targets together do in time. What can't be answered in time is
/// refused at once, with the time after which there is room; it would only delay those behind it.
#[test]
fn what_can_not_be_answered_in_time_is_refused() {
    let world = World::new(2, 0);
    let mut full = world.idle();
    full.iter_mut().for_each(|candidate| candidate.load = 11.0);
    let late = PlacementQuery { time_left: secs(0.25), ..world.ask(1) };
    let Choice::Busy { free_in, .. } = choice(&full, &late) else { panic!("it was sent") };
    assert_eq!(free_in, Some(secs(0.3)));
    assert!(matches!(choice(&full, &world.ask(1)), Choice::Send(_)));
    full.iter_mut().for_each(|candidate| candidate.load = 12.0);
    assert!(matches!(choice(&full, &world.ask(1)), Choice::Busy { .. }));
    assert_eq!(choice(&[], &world.ask(1)), Choice::NoTargets);
}

/// Load pattern: the target that knows an object is crowded beyond what its caller may wait for, and
/// another one is idle. The request is refused: served there it would take three times the work and
/// push out what that target knows. The refusal names the crowded target and its queue.
#[test]
fn a_best_target_is_named() {
    let world = World::new(2, 0);
    for object in 0..OBJECTS {
        let mut candidates = world.idle();
        let known = sent(choice(&candidates, &world.ask(object)));
        candidates[known].load = 8.0;
        candidates[known].depth = Some(0);
        let hasty = PlacementQuery { time_left: secs(0.3), ..world.ask(object) };
        let refused = choice(&candidates, &hasty);
        let Choice::Busy { best: Some(offer), free_in: Some(free_in) } = refused else {
            panic!("{refused:?}");
        };
        assert_eq!((offer.index, offer.expected(), free_in), (known, secs(0.3), secs(0.2)));
    }
}

/// Load pattern: a region's own targets are full while others have room that this request may not
/// use, for the bound of shifts. The caller is told when its own region has room, not that there is
/// room now.
#[test]
fn room_is_told_of_the_region_that_a_request_may_use() {
    let world = World::new(2, 2);
    let mut candidates = world.idle();
    candidates[..2].iter_mut().for_each(|candidate| candidate.load = 12.0);
    let refused = choice(&candidates, &world.ask(1));
    let free_in = Some(Duration::from_secs_f64(10.0 / 3.0 * 0.1));
    assert_eq!(refused, Choice::Busy { best: None, free_in });
    // A paused target has nothing in flight, and yet no room.
    candidates[0].load = 0.0;
    candidates[0].unavailable = true;
    assert_eq!(choice(&candidates, &world.ask(1)), Choice::Busy { best: None, free_in });
    candidates[1].unavailable = true;
    assert_eq!(choice(&candidates, &world.ask(1)), Choice::Busy { best: None, free_in: None });
    candidates[..2].iter_mut().for_each(|candidate| candidate.unavailable = false);
    candidates[0].load = 12.0;
    let may_spill = PlacementQuery { may_spill: true, ..world.ask(1) };
    assert!(matches!(choice(&candidates, &may_spill), Choice::Send(offer) if 2 <= offer.index));
}

/// A slow or failing target gets fewer objects, one that is shut gets none.
#[test]
fn slow_and_shut_targets_are_avoided() {
    let world = World::new(2, 0);
    for object in 0..OBJECTS {
        let mut candidates = world.knowing();
        candidates[0].slowdown = 8.0;
        assert_eq!(sent(choice(&candidates, &world.ask(object))), 1);
        candidates[1].unavailable = true;
        assert_eq!(sent(choice(&candidates, &world.ask(object))), 0);
        candidates[0].unavailable = true;
        assert!(matches!(choice(&candidates, &world.ask(object)), Choice::Busy { .. }));
    }
}

/// A request stays in the region that the shares name, also when that is full, unless a few may
/// leave it.
#[test]
fn requests_leave_their_region_by_allowance_only() {
    let world = World::new(1, 2);
    let mut candidates = world.idle();
    candidates[0].load = 12.0;
    assert!(matches!(choice(&candidates, &world.ask(1)), Choice::Busy { .. }));
    let may = PlacementQuery { may_spill: true, ..world.ask(1) };
    assert_ne!(sent(choice(&candidates, &may)), 0);
}
