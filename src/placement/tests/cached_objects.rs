//! The model of the objects that targets have cached, and the estimate of their cache capacity.

use super::secs;
use crate::placement::{CacheCapacity, CachedObjects};

/// Targets evict the least recently used object, so a request resets the depth of its object.
#[test]
fn depth_counts_other_objects_requested_since() {
    let mut objects = CachedObjects::default();
    assert_eq!(objects.depth(1, 7), None);
    [7, 8, 9].into_iter().for_each(|object| objects.record_use(1, object));
    assert_eq!([7, 8, 9].map(|object| objects.depth(1, object)), [Some(2), Some(1), Some(0)]);
    objects.record_use(1, 7);
    objects.record_use(1, 7);
    assert_eq!([7, 8, 9].map(|object| objects.depth(1, object)), [Some(0), Some(2), Some(1)]);
    assert_eq!(objects.depth(2, 7), None);
}

/// Memory stays bounded when callers request ever new objects, and removed targets free all of it.
#[test]
fn memory_is_bounded() {
    let mut objects = CachedObjects::default();
    (0..10_000).for_each(|object| objects.record_use(1, object));
    assert_eq!(objects.depth(1, 9_999), Some(0));
    assert_eq!(objects.depth(1, 9_999 - 127), Some(127));
    assert_eq!(objects.depth(1, 9_999 - 128), None);
    objects.record_use(2, 5);
    objects.retain(|tag| tag == 2, secs(1.0));
    objects.retain(|tag| tag == 2, secs(31.0));
    assert_eq!((objects.depth(1, 9_999), objects.depth(2, 5)), (None, Some(0)));
}

/// After an evacuation of ten seconds, targets are still recorded as holders of their objects. A
/// target that stays unusable is removed in the end, whether or not it was unusable before.
#[test]
fn objects_are_kept_during_an_evacuation() {
    let mut objects = CachedObjects::default();
    objects.record_use(1, 7);
    objects.retain(|_| false, secs(1.0));
    objects.retain(|_| false, secs(11.0));
    assert_eq!(objects.holders(7), [1]);
    objects.retain(|_| true, secs(12.0));
    objects.retain(|_| false, secs(13.0));
    objects.retain(|_| false, secs(40.0));
    assert_eq!(objects.holders(7), [1]);
    objects.retain(|_| false, secs(43.0));
    assert!(objects.holders(7).is_empty());
}

/// Targets cache 13 objects. The estimate converges to that from above and from below, although a
/// tenth of the runs are fast or slow by chance.
#[test]
fn cache_capacity_is_estimated() {
    for initial_hits in [0, 60] {
        let mut cache_capacity = CacheCapacity::default();
        (0..initial_hits).for_each(|_| cache_capacity.record_run(200, true));
        for run in 0..4_000_u32 {
            let depth = (run.wrapping_mul(0x9e37_79b9) >> 16) as usize % 40;
            let is_random = run % 10 == 0;
            cache_capacity.record_run(depth, (depth < 13) != is_random);
        }
        assert!((9.0..=17.0).contains(&cache_capacity.objects()), "{cache_capacity:?}");
    }
}
