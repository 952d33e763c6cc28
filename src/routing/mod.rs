//! Routing of requests by one host: admission, choice of a target, retries and hedges.
//!
//! `Router::handle(event, now, rng)` takes one event and returns the actions for the I/O layer to
//! carry out. It does no I/O and reads no clock, so that the replay of a recorded trace gives the
//! same actions.
//!
//! Terms:
//!
//! - member: a customer with one manifest that shares the platform; not a node of the cluster.
//! - weighing: whether the member prefers short response times or spare slots; part of its
//!   manifest.
//! - policy: how a target is chosen among the usable ones, by default by the member's weighing.
//! - booking: a request that must run at most once.
//! - ledger: record of the bookings that one incarnation of a host has accepted. A binding names
//!   the ledger generation that may run a booking, and the booking's key names its entry there.
//! - owner: the one host that hands out the slots of a target; other hosts ask it for a slot.
//! - tenure: a host's lease on the targets that it owns.
//! - baseline: rate of requests to a service from the callers of one home region.

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

/// Number of one request at this host, assigned by the I/O layer; never reused.
pub type CallId = u64;

/// Number of one attempt to serve a request, assigned by the router.
pub type AttemptId = u64;
