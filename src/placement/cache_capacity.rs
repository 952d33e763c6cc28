//! How many objects a service's targets keep before they forget.

/// Objects that a target is taken to keep before any run was seen. Too high an assumption costs a
/// few runs that take longer than expected; too low a one hides targets that know the object.
const KEEPS_ASSUMED: f64 = 24.0;

/// Least number of objects that a target is taken to keep.
const KEEPS_LEAST: f64 = 2.0;

/// How far one run moves the estimate, in objects: it settles where runs beyond it are as often fast
/// as runs within it are slow, so that a few strange runs move it little.
const KEEPS_STEP: f64 = 0.5;

/// An estimate, in objects, learnt from which runs were fast.
#[derive(Clone, Copy, Debug)]
pub struct CacheCapacity(f64);

impl Default for CacheCapacity {
    fn default() -> Self {
        Self(KEEPS_ASSUMED)
    }
}

impl CacheCapacity {
    /// Whether a target is expected to know the object that lies at this depth.
    pub fn holds(self, depth: Option<usize>) -> bool {
        depth.is_some_and(|depth| (depth as f64) < self.0)
    }

    /// The estimate, in objects.
    pub fn count(self) -> f64 {
        self.0
    }

    /// A run was fast or slow; the object lay at that depth.
    pub fn learn(&mut self, depth: usize, was_known: bool) {
        let is_held = self.holds(Some(depth));
        if was_known && !is_held {
            self.0 += KEEPS_STEP;
        }
        if !was_known && is_held {
            self.0 = (self.0 - KEEPS_STEP).max(KEEPS_LEAST);
        }
    }
}
