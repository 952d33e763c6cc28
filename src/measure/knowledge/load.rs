//! Sizes of the region, and the arrivals, which are the same for all ways.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{placement::ObjectTag, prelude::*};

/// Slots of a target.
pub(super) const SLOTS: u32 = 3;

/// Time that a request occupies a slot of a target that has its object cached, in milliseconds.
pub(super) const HIT_MS: u64 = 93;

/// The same for a target that does not have the object cached.
pub(super) const MISS_MS: u64 = 310;

/// Objects for each target: 205 for 58 targets. Their number grows with the targets, since an
/// object that needs more slots than a target has is another load than the one that was measured.
const OBJECTS_PER_TARGET: f64 = 205.0 / 58.0;

/// Load of the time before the counted one, as a fraction of the slots. It fills the caches and
/// gives the hosts their first estimates.
const WARM_UP_LOAD: f64 = 0.5;

/// Multiplier that spreads the tags of objects over all values: 2^32 divided by the golden ratio.
const TAG_MULTIPLIER: u32 = 0x9e37_79b9;

/// One region of three.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Size {
    pub hosts: usize,
    pub targets: usize,
    /// Time before the counted one, in milliseconds.
    pub warm_up_ms: u64,
    /// Time in which arriving requests are counted, in milliseconds.
    pub counted_ms: u64,
}

impl Size {
    /// A third of 24, 69 and 985 hosts. The last one has as many targets and requests per host as
    /// 23 hosts have, and runs for a quarter of the time: it has 14 times as many requests.
    pub const ALL: [Self; 3] = [
        Self { hosts: 8, targets: 58, warm_up_ms: 5_000, counted_ms: 20_000 },
        Self { hosts: 23, targets: 58, warm_up_ms: 5_000, counted_ms: 20_000 },
        Self { hosts: 328, targets: 827, warm_up_ms: 3_000, counted_ms: 5_000 },
    ];

    /// A run that takes a second.
    pub const QUICK: Self = Self { hosts: 8, targets: 58, warm_up_ms: 2_000, counted_ms: 2_000 };

    /// When requests stop arriving, in milliseconds.
    pub(super) fn end_ms(self) -> u64 {
        self.warm_up_ms + self.counted_ms
    }

    /// Objects that callers request.
    fn objects(self) -> u32 {
        (self.targets as f64 * OBJECTS_PER_TARGET).round() as u32
    }

    /// Requests per millisecond that the slots can serve with cached objects alone.
    fn capacity_per_ms(self) -> f64 {
        self.targets as f64 * f64::from(SLOTS) / HIT_MS as f64
    }
}

/// A request that reaches a host.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    /// Time since the start, in milliseconds.
    pub at: u64,
    pub host: usize,
    pub object: ObjectTag,
}

/// Draws the arrivals: a Poisson process with hosts and objects that are equally frequent. `load`
/// is a fraction of what the slots can serve with cached objects alone.
pub(super) fn arrivals(size: Size, load: f64, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut at_ms = 0.0;
    loop {
        let is_warm_up = at_ms < size.warm_up_ms as f64;
        let load = if is_warm_up { WARM_UP_LOAD } else { load };
        let rate = load * size.capacity_per_ms();
        at_ms += -(1.0 - rng.random::<f64>()).ln() / rate;
        if size.end_ms() as f64 <= at_ms {
            return arrivals;
        }
        arrivals.push(Arrival {
            at: at_ms as u64,
            host: rng.random_range(0..size.hosts),
            object: rng.random_range(0..size.objects()).wrapping_mul(TAG_MULTIPLIER),
        });
    }
}
