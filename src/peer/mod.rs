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
mod credentials;
mod envelope;
mod error;
mod handler;
mod messages;
mod request_compression;
mod server;
#[cfg(test)]
mod tests;

pub use self::{
    client::PeerClient,
    credentials::PeerCredentials,
    envelope::{Envelope, PROTOCOL_VERSION},
    error::{PeerError, Result},
    handler::PeerHandler,
    messages::{
        DrainOrder, EmptyRequest, ExplainRequest, HandoverAck, HandoverChunk, ManifestReply,
        PartReply, PartRequest, StatusRequest, UndrainOrder,
    },
    server::{MIN_COMPRESSED_BYTES, PeerServer},
};

/// Largest message in bytes, either way.
pub const MAX_MESSAGE_BYTES: u32 = 2 * 1024 * 1024;
