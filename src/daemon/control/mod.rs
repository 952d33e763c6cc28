//! The control actor of a host, on a thread of its own.
//!
//! It keeps membership, manifest, drains and tenure, and publishes the resulting state to the
//! request handler as an immutable view. Calls to the platform and to peers run as separate tasks
//! and return their results as messages, so that a slow response never delays a heartbeat.

mod actor;
mod drains;
mod exchange;
mod handler;
mod handover;
mod manifest;
mod messages;
mod operator;
mod publish;
mod tenure;

pub use self::{
    actor::{ControlActor, ControlDependencies},
    handler::ControlHandler,
    manifest::follow_platform,
    messages::{GetSuccessors, Leave, Tick},
};
