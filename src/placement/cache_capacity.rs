//! Estimate of how many objects the targets of a service cache before they evict any.

/// Initial estimate, in objects. If it is too high, a few runs take longer than expected; if it is
/// too low, targets that have the object cached are not used for it.
const DEFAULT_CAPACITY: f64 = 24.0;

/// Lowest estimate, in objects.
pub(super) const MIN_CAPACITY: f64 = 2.0;

/// Change of the estimate by one run, in objects. The estimate settles where hits beyond it are as
/// frequent as misses within it, so a few unusual runs change it little.
const STEP: f64 = 0.5;

/// Cache capacity of a service's targets, in objects, estimated from which runs were fast.
#[derive(Clone, Copy, Debug)]
pub struct CacheCapacity(f64);

impl Default for CacheCapacity {
    fn default() -> Self {
        Self(DEFAULT_CAPACITY)
    }
}

impl CacheCapacity {
    /// An estimate that begins from this number of objects.
    pub fn starting_from(objects: f64) -> Self {
        Self(objects.max(MIN_CAPACITY))
    }

    /// Whether an object at this LRU depth is expected to be cached.
    pub fn is_cached(self, depth: Option<usize>) -> bool {
        depth.is_some_and(|depth| (depth as f64) < self.0)
    }

    /// The estimate, in objects.
    pub fn objects(self) -> f64 {
        self.0
    }

    /// Records whether a request for an object at this LRU depth was a cache hit.
    pub fn record_run(&mut self, depth: usize, was_hit: bool) {
        let is_expected_hit = self.is_cached(Some(depth));
        if was_hit && !is_expected_hit {
            self.0 += STEP;
        }
        if !was_hit && is_expected_hit {
            self.0 = (self.0 - STEP).max(MIN_CAPACITY);
        }
    }
}
