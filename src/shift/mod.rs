//! Limits on shifts. A shift is a request that is served outside its caller's home region: either
//! the home host sends it to another region, or, if the home hosts are gone, the caller reaches a
//! host of another region directly.
//!
//! A cap is a share of the traffic. If every home host keeps its own shifts within the cap's share
//! of its own traffic, the total stays within the cap as well, so hosts need not coordinate.

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
