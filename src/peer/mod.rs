//! RPC between the hosts of one member, and from operators to a host.
//!
//! Every message travels in an `Envelope` with the protocol version and the member. A peer proves
//! itself with the member's peer key, an operator with the operator token, both as
//! `authorization: Bearer`. Fields may be added to messages (older hosts skip them, newer ones take
//! the default), so hosts of two releases work together during a rolling restart; a change that
//! older hosts would misread raises `PROTOCOL_VERSION`.

mod api;
mod auth;
mod client;
mod compress;
mod envelope;
mod error;
mod handler;
mod keys;
mod messages;
mod server;
#[cfg(test)]
mod tests;

pub use self::{
    client::PeerClient,
    envelope::{Envelope, PROTOCOL_VERSION},
    error::{PeerError, Result},
    handler::PeerHandler,
    keys::PeerKeys,
    messages::{
        DrainOrder, ExplainRequest, HandoverAck, HandoverChunk, ManifestReply, Nothing, PartReply,
        PartRequest, StatusRequest, UndrainOrder,
    },
    server::{COMPRESSED_FROM, PeerServer},
};

/// Largest message in bytes, either way.
pub const MAX_MESSAGE: u32 = 2 * 1024 * 1024;
