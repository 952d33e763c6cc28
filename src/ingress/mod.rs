//! What callers may take up of a host: connections, memory for request bodies, time in silence.
//!
//! A host is small and stands open to every caller of its member. Without bounds, callers that
//! connect and say nothing, or send bodies that never end, use up its descriptors and memory, and
//! it fails for all others.

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
