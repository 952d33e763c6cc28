//! What is remembered of the objects that targets know.

use super::secs;
use crate::placement::{CacheCapacity, CachedObjects};

/// A target forgets the object that was not asked for longest; a request brings its object to the
/// front again.
#[test]
fn an_objects_depth_counts_the_others_since() {
    let mut held = CachedObjects::default();
    assert_eq!(held.depth(1, 7), None);
    [7, 8, 9].into_iter().for_each(|object| held.record_use(1, object));
    assert_eq!([7, 8, 9].map(|object| held.depth(1, object)), [Some(2), Some(1), Some(0)]);
    held.record_use(1, 7);
    held.record_use(1, 7);
    assert_eq!([7, 8, 9].map(|object| held.depth(1, object)), [Some(0), Some(2), Some(1)]);
    assert_eq!(held.depth(2, 7), None);
}

/// Callers ask for objects without end. What is remembered of a target stays bounded, and targets
/// that are gone are forgotten whole.
#[test]
fn memory_is_bounded() {
    let mut held = CachedObjects::default();
    (0..10_000).for_each(|object| held.record_use(1, object));
    assert_eq!(held.depth(1, 9_999), Some(0));
    assert_eq!(held.depth(1, 9_999 - 127), Some(127));
    assert_eq!(held.depth(1, 9_999 - 128), None);
    held.record_use(2, 5);
    held.retain(|tag| tag == 2, secs(1.0));
    held.retain(|tag| tag == 2, secs(31.0));
    assert_eq!((held.depth(1, 9_999), held.depth(2, 5)), (None, Some(0)));
}

/// A zone is evacuated for ten seconds. When it is taken back its targets get their own objects
/// again; one that stays away is forgotten in time, however often it was away before.
#[test]
fn an_evacuation_is_outlasted() {
    let mut held = CachedObjects::default();
    held.record_use(1, 7);
    held.retain(|_| false, secs(1.0));
    held.retain(|_| false, secs(11.0));
    assert_eq!(held.holders(7), [1]);
    held.retain(|_| true, secs(12.0));
    held.retain(|_| false, secs(13.0));
    held.retain(|_| false, secs(40.0));
    assert_eq!(held.holders(7), [1]);
    held.retain(|_| false, secs(43.0));
    assert!(held.holders(7).is_empty());
}

/// Targets keep thirteen objects. The estimate comes from above and from below to about that, and
/// a tenth of runs that are fast or slow by chance moves it little.
#[test]
fn the_number_of_kept_objects_is_learnt() {
    for first in [0, 60] {
        let mut cache_capacity = CacheCapacity::default();
        (0..first).for_each(|_| cache_capacity.learn(200, true));
        for run in 0..4_000_u32 {
            let depth = (run.wrapping_mul(0x9e37_79b9) >> 16) as usize % 40;
            let by_chance = run % 10 == 0;
            cache_capacity.learn(depth, (depth < 13) != by_chance);
        }
        assert!((9.0..=17.0).contains(&cache_capacity.count()), "{cache_capacity:?}");
    }
}
