//! The decisions of one host about its requests, composed of the slices.
//!
//! `Router::handle(event, now, rng)` takes one event and returns the actions that the shell carries out.
//! It does no I/O and reads no clock, so that a recorded trace gives the same actions again.

mod action;
mod arrival;
mod attempt_end;
mod call;
mod event;
mod hedge;
mod owners;
mod read_latency;
mod region_load;
mod resume;
mod route;
mod router;
mod target_status;
#[cfg(test)]
mod tests;

pub use self::{
    action::{Action, Answer},
    event::{Arrival, Event, Outcome, Via},
    router::{Router, RouterLimits, RouterTuning, SlotUsage, TargetInFlight},
    target_status::TargetStatus,
};

/// Number of one request at this host, given by the shell; never used twice.
pub type CallId = u64;

/// Number of one attempt to have a request served, given by the decisions.
pub type AttemptId = u64;
