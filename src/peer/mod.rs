//! RPC between the hosts of one member, and from operators to a host.
//!
//! Every message is sent in an `Envelope` with the protocol version and the member. A peer
//! authenticates with the member's peer key, an operator with the operator token, both as
//! `authorization: Bearer`. Fields may be added to messages: older hosts ignore them, newer hosts
//! use the default for a missing one. So hosts of two releases work together during a rolling
//! restart. A change that older hosts would misinterpret must increase `PROTOCOL_VERSION`.

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

/// Largest request or response, in bytes after decompression.
pub const MAX_MESSAGE_BYTES: u32 = 2 * 1024 * 1024;
