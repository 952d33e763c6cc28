//! What a receiving region accepts.

use crate::manifest::Share;

/// Whether a request from another region may take one of `free` of a pool's `slots`: the share
/// `reserve` stays for the region's own callers. Decided by the owner of the slots, whose counts
/// are exact, so that late measurements elsewhere can't tip this region over.
pub fn accept_foreign(free: u32, slots: u32, reserve: Share) -> bool {
    let reserve = reserve.clamp(0.0, 1.0);
    // Pools of an owner are a few slots: rounding up would double a small reserve.
    let least = if reserve == 0.0 { 0.0 } else { 1.0 };
    let kept = (f64::from(slots) * reserve).round().max(least);
    kept < f64::from(free)
}
