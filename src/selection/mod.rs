//! Which target gets a request: nearest tier with room, then the member's weighing.
//!
//! In-flight counts are the host's own and exact. Reported load lags and misleads, so a report may
//! only lower what a target is trusted with, and never below half of its slots.

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
