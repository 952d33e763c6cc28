//! Drains ordered by operators: what is taken out of use, by whom, and the progress.
//!
//! Every host holds all drains of its member as a conflict-free replicated set: merging records
//! gives the same result in any order. An order given to any host therefore takes effect on all
//! hosts that can reach each other, even while the platform is unavailable. The platform resolves
//! conflicts: of two drains of the same scope the one written to it first stays; the other is
//! undone and its operator is told.
//!
//! A newer manifest takes precedence over a drain: once a manifest with a higher sequence than the
//! one under which the drain was ordered lists the scope as drained, or no longer contains it, the
//! drain ends. A newer manifest that does not mention the scope leaves the drain in force;
//! otherwise an unrelated release would send traffic back to a site that an operator has just
//! drained.

mod capacity;
mod drain_set;
mod error;
mod platform_sync;
mod progress;
mod record;
#[cfg(test)]
mod tests;

pub use self::{
    capacity::{ServiceLoad, wait_reason},
    drain_set::DrainSet,
    error::{DrainError, Result},
    platform_sync::{merge_with_platform, object_key, sync_with_platform},
    progress::{DrainProgress, ProgressTracker},
    record::{DrainId, DrainRecord, Undrain},
};
