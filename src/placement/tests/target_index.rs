//! Shortlists of targets.

use super::{known, secs};
use crate::{
    entry::Search,
    measure::placement::Scene,
    placement::{CachedObjects, ShortlistQuery, TargetIndex},
    prelude::*,
};

/// Load pattern: a service with hundreds of targets, half of their slots busy, and callers whose
/// objects lie with some of them. Looking at a few targets, a host sends nearly all requests where
/// it would after looking at all of them, and the others hardly worse; it refuses none that it would
/// else send.
#[test]
fn a_few_targets_are_enough() {
    for (targets, seed) in [(16, 1), (120, 2), (606, 3), (606, 4)] {
        let mut scene = Scene::new(targets, seed);
        let (mut same, mut sent, mut few_takes, mut all_takes) = (0, 0, 0.0, 0.0);
        for _ in 0..1_000 {
            let wanted = scene.request();
            let all = scene.state.place_with_search(Search::All, &scene.view, &wanted);
            let few = scene.state.place_with_search(Search::Shortlist, &scene.view, &wanted);
            assert_eq!(all.target.is_some(), few.target.is_some(), "{targets} targets: {wanted:?}");
            let (Some(best), Some(chosen)) = (&all.target, &few.target) else { continue };
            sent += 1;
            same += usize::from(best.tag == chosen.tag);
            all_takes += all.forecast.expected.as_secs_f64();
            few_takes += few.forecast.expected.as_secs_f64();
        }
        assert!(sent * 9 <= same * 10, "{targets} targets: {same} of {sent}");
        assert!(few_takes <= all_takes * 1.02, "{targets} targets: {few_takes} {all_takes}");
    }
}

/// Targets that were asked for an object are looked at wherever they stand by hash, and none of a
/// region that is not asked for. When the targets change, the lists do.
#[test]
fn holders_are_looked_at() {
    let region = |at: usize| if at < 50 { "north" } else { "south" };
    let all: Vec<Arc<_>> = (0..100).map(|at| known(&format!("t-{at}"), region(at))).collect();
    let mut index = TargetIndex::default();
    index.update(&all.clone().into());
    let (holders, near) = ([all[7].tag, all[70].tag], [RegionId::from("north")]);
    let wanted = ShortlistQuery { holders: &holders, object: Some(9), regions: &near, spread: 3 };
    let before = index.shortlist(&wanted);
    assert!(before.contains(&7) && before.iter().all(|at| *at < 50), "{before:?}");
    assert!((9..=17).contains(&before.len()), "{before:?}");
    let left: Vec<Arc<_>> = all[8..].to_vec();
    index.update(&left.clone().into());
    let after = index.shortlist(&wanted);
    assert!(after.iter().all(|at| left[*at].tag != all[7].tag), "{after:?}");
    let open = |tried: &[u32]| index.untried_regions(tried).count();
    let south: Vec<u32> = left[42..].iter().map(|target| target.tag).collect();
    assert_eq!((open(&[]), open(&south)), (2, 1));
}

/// Who holds an object follows what each target was asked for, also when objects are forgotten and
/// targets go.
#[test]
fn holders_follow_what_targets_hold() {
    let mut held = CachedObjects::default();
    held.record_use(1, 7);
    held.record_use(2, 7);
    held.record_use(2, 7);
    assert_eq!(held.holders(7), [1, 2]);
    (100..228).for_each(|object| held.record_use(1, object));
    assert_eq!(held.holders(7), [2], "pushed out of the first");
    held.retain(|tag| tag == 1, secs(1.0));
    held.retain(|tag| tag == 1, secs(31.0));
    assert!(held.holders(7).is_empty());
    assert_eq!(held.holders(227), [1]);
}
