//! Selects the target of a request: the nearest tier with room first, then by the member's weighing
//! of latency against headroom.
//!
//! In-flight counts are the host's own and exact. Load reports are delayed and can be wrong, so a
//! report may only lower a target's concurrency limit, and never below half of its slots.
//!
//! Used by hosts started with `run`. Entry hosts use `crate::placement`, which has a `Candidate`
//! and a `HealthSignal` of its own.

mod candidate;
mod health;
mod policy;
mod selector;
mod signal;
#[cfg(test)]
mod tests;

pub use self::{
    candidate::{Candidate, Tier},
    policy::{Policy, SelectorOptions},
    selector::{EjectionChange, Selector},
    signal::{HealthSignal, LoadReport},
};
