//! The control side of a host: one actor on a thread of its own.
//!
//! It keeps membership, manifest, drains and tenure, and publishes what follows from them as an
//! immutable view to the traffic side. Calls to the platform and to peers run beside it and come
//! back as messages, so that a slow answer never holds up a heartbeat.

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
