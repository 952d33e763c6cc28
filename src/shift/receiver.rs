//! Which shifted requests a receiving region accepts.

use crate::manifest::Share;

/// Whether a request from another region may take one of the `free` slots of a pool of `slots`: the
/// share `reserve` is kept for the region's own callers. The owner of the slots decides, because
/// its counts are exact; outdated measurements in other regions cannot overload this one.
pub fn accept_foreign(free: u32, slots: u32, reserve: Share) -> bool {
    let reserve = reserve.clamp(0.0, 1.0);
    // An owner's pool has only a few slots: rounding up would double a small reserve.
    let min_reserved = if reserve == 0.0 { 0.0 } else { 1.0 };
    let reserved = (f64::from(slots) * reserve).round().max(min_reserved);
    reserved < f64::from(free)
}
