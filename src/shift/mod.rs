//! Traffic served away from its home region: caps, ramps, and what a receiver accepts.
//!
//! A cap is a share, and shares compose: when every home host keeps its own shifts under the cap
//! of its own traffic, so does the sum, and no host asks another.

mod limiter;
mod options;
mod query;
mod ramp;
mod receiver;
mod sliding_window;
#[cfg(test)]
mod tests;

pub use self::{
    limiter::ShiftLimiter,
    options::ShiftOptions,
    query::{CompletedRequest, DirectQuery, ShiftQuery},
    receiver::accept_foreign,
};
