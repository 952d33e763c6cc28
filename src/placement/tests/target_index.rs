//! Shortlists of targets, and the index of the targets that have an object cached.

use super::{known, secs};
use crate::{
    entry::Search,
    measure::placement::Scene,
    placement::{CachedObjects, ShortlistQuery, TargetIndex},
    prelude::*,
};

/// A service has up to hundreds of targets, half of their slots are busy, and some targets have the
/// objects of callers cached. With a shortlist, a host selects the same target as with all
/// candidates for nearly all requests, and hardly a worse one for the others. It refuses no
/// additional requests.
#[test]
fn a_shortlist_selects_nearly_the_same_targets() {
    for (targets, seed) in [(16, 1), (120, 2), (606, 3), (606, 4)] {
        let mut scene = Scene::new(targets, seed);
        let (mut same, mut sent, mut shortlisted_secs, mut all_secs) = (0, 0, 0.0, 0.0);
        for _ in 0..1_000 {
            let query = scene.request();
            let all = scene.state.place_with_search(Search::All, &scene.view, &query);
            let shortlisted = scene.state.place_with_search(Search::Shortlist, &scene.view, &query);
            assert_eq!(
                all.target.is_some(),
                shortlisted.target.is_some(),
                "{targets} targets: {query:?}"
            );
            let (Some(best), Some(chosen)) = (&all.target, &shortlisted.target) else { continue };
            sent += 1;
            same += usize::from(best.tag == chosen.tag);
            all_secs += all.forecast.expected.as_secs_f64();
            shortlisted_secs += shortlisted.forecast.expected.as_secs_f64();
        }
        assert!(sent * 9 <= same * 10, "{targets} targets: {same} of {sent}");
        assert!(
            shortlisted_secs <= all_secs * 1.02,
            "{targets} targets: {shortlisted_secs} {all_secs}"
        );
    }
}

/// Targets that received requests for an object are shortlisted whatever their hash rank, but none
/// outside the requested regions. Shortlists follow changes of the targets.
#[test]
fn holders_are_shortlisted() {
    let region = |at: usize| if at < 50 { "north" } else { "south" };
    let all: Vec<Arc<_>> = (0..100).map(|at| known(&format!("t-{at}"), region(at))).collect();
    let mut index = TargetIndex::default();
    index.update(&all.clone().into());
    let (holders, regions) = ([all[7].tag, all[70].tag], [RegionId::from("north")]);
    let query = ShortlistQuery { holders: &holders, object: Some(9), regions: &regions, offset: 3 };
    let before = index.shortlist(&query);
    assert!(before.contains(&7) && before.iter().all(|at| *at < 50), "{before:?}");
    assert!((9..=17).contains(&before.len()), "{before:?}");
    let remaining: Vec<Arc<_>> = all[8..].to_vec();
    index.update(&remaining.clone().into());
    let after = index.shortlist(&query);
    assert!(after.iter().all(|at| remaining[*at].tag != all[7].tag), "{after:?}");
    let untried = |tried: &[u32]| index.untried_regions(tried).count();
    let south: Vec<u32> = remaining[42..].iter().map(|target| target.tag).collect();
    assert_eq!((untried(&[]), untried(&south)), (2, 1));
}

/// The index of holders follows the requests of each target, evictions, and the removal of targets.
#[test]
fn holders_follow_requests_evictions_and_removals() {
    let mut objects = CachedObjects::default();
    objects.record_use(1, 7);
    objects.record_use(2, 7);
    objects.record_use(2, 7);
    assert_eq!(objects.holders(7), [1, 2]);
    (100..228).for_each(|object| objects.record_use(1, object));
    assert_eq!(objects.holders(7), [2], "evicted from target 1");
    objects.retain(|tag| tag == 1, secs(1.0));
    objects.retain(|tag| tag == 1, secs(31.0));
    assert!(objects.holders(7).is_empty());
    assert_eq!(objects.holders(227), [1]);
}
