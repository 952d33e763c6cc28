//! Traffic served away from its home region: caps, ramps, and what a receiver accepts.
//!
//! A cap is a share, and shares compose: when every home host keeps its own shifts under the cap
//! of its own traffic, so does the sum, and no host asks another.

mod ask;
mod caps;
mod meter;
mod ramp;
mod receiver;
mod rules;
#[cfg(test)]
mod tests;

pub use self::{
    ask::{DirectAsk, ShiftAsk, ShiftEnd},
    caps::ShiftCaps,
    receiver::accept_foreign,
    rules::ShiftRules,
};
