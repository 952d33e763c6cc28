//! The decisions of one host about its requests, composed of the slices.
//!
//! `Steer::on(event, now, rng)` takes one event and returns the actions that the shell carries out.
//! It does no I/O and reads no clock, so that a recorded trace gives the same actions again.

mod action;
mod arrive;
mod call;
mod event;
mod hedge;
mod loads;
mod machine;
mod owners;
mod pace;
mod place;
mod resume;
mod settle;
mod survey;
#[cfg(test)]
mod tests;

pub use self::{
    action::{Action, Answer},
    event::{Arrival, Event, Outcome, Via},
    machine::{BusyTarget, Steer, SteerLimits, Tuning, Usage},
    survey::Surveyed,
};

/// Number of one request at this host, given by the shell; never used twice.
pub type CallId = u64;

/// Number of one attempt to have a request served, given by the decisions.
pub type AttemptId = u64;
