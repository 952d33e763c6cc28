//! Drains by operators: what is taken out of use, by whom, and how far it has come.
//!
//! Every host holds all drains of its member as a set that merges free of conflict, whatever the
//! order in which hosts hear of each other's records; so an order given to any host is in force
//! wherever hosts reach each other, also with the platform away. The platform settles who came
//! first: of two drains of one scope the one that is written first stays, the other is taken back
//! and its operator told.
//!
//! A drain is no match for a newer manifest: once a manifest above the one it was ordered under
//! lists the scope itself, or no longer has it, the pipeline decides alone and the drain ends. A
//! newer manifest that says nothing of the scope leaves the drain as it is, or an unrelated release
//! would send traffic back to a site that an operator has just emptied.

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
