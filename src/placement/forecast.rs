//! What an attempt is expected to be when it is sent.

use super::ObjectTag;
use crate::prelude::*;

/// Kept with an attempt until it ends, so that its end can be held against it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    /// How many other objects the target was asked for since this one; `None` if it never was.
    pub depth: Option<usize>,
    /// Time of the answer at a target of usual speed.
    pub expected: Duration,
    /// It finds a free slot at a target that is not cold.
    pub has_free_slot: bool,
    /// Nothing was heard of the object; the target is its first by hash.
    pub is_primary_guess: bool,
    pub object: Option<ObjectTag>,
    /// Round trip to the target's region.
    pub round_trip: Duration,
    /// How likely the target is to know the object.
    pub hit_probability: f64,
}
