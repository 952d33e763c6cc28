//! Limits what callers may use of a host: connections, memory for request bodies and idle time.
//!
//! A host has few resources and accepts every caller of its member. Without limits, callers that
//! connect and send nothing, or send bodies that never end, would use up its file descriptors and
//! memory, and the host would fail for all other callers.

mod body;
mod connections;
mod limits;
#[cfg(test)]
mod tests;

pub use self::{
    body::{BodyMemory, BodyReservation, read_body},
    connections::{RemoteAddr, serve},
    limits::IngressLimits,
};
