//! Expectations of an attempt at the time it is sent.

use super::ObjectTag;
use crate::prelude::*;

/// Expectations kept with an attempt until it ends, to compare its result with.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// LRU depth of the object at the target: how many other objects were requested there since.
    /// `None` if no request for it is known.
    pub depth: Option<usize>,
    /// Answer time at a target of normal speed.
    pub expected: Duration,
    /// The target is not cold and has a free slot.
    pub has_free_slot: bool,
    /// No request for the object is known, and the target is assumed to have it cached only because
    /// it is the object's primary target, the first in hash order.
    pub is_primary_guess: bool,
    pub object: Option<ObjectTag>,
    /// Round trip to the target's region.
    pub round_trip: Duration,
    /// Probability that the target has the object cached.
    pub hit_probability: f64,
}
