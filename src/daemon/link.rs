//! The border to other hosts' RPC servers.

use async_trait::async_trait;

use crate::{
    membership::Digest,
    peer::{HandoverAck, HandoverChunk, ManifestReply, PartReply, PartRequest, PeerClient, Result},
    prelude::*,
};

/// The calls that hosts make to each other.
#[async_trait]
pub trait PeerLink: Send + Sync {
    /// Tells a peer what this host knows; the answer is what it lacks.
    async fn exchange(&self, to: SocketAddr, digest: &Digest) -> Result<Digest>;

    /// Gives a peer a part of this host's sealed ledger.
    async fn handover(&self, to: SocketAddr, chunk: &HandoverChunk) -> Result<HandoverAck>;

    /// The signed manifest in force at a peer.
    async fn manifest(&self, to: SocketAddr) -> Result<ManifestReply>;

    /// A part of the manifest in force at a peer.
    async fn part(&self, to: SocketAddr, request: &PartRequest) -> Result<PartReply>;
}

#[async_trait]
impl PeerLink for PeerClient {
    async fn exchange(&self, to: SocketAddr, digest: &Digest) -> Result<Digest> {
        PeerClient::exchange(self, to, digest).await
    }

    async fn handover(&self, to: SocketAddr, chunk: &HandoverChunk) -> Result<HandoverAck> {
        PeerClient::handover(self, to, chunk).await
    }

    async fn manifest(&self, to: SocketAddr) -> Result<ManifestReply> {
        PeerClient::manifest(self, to).await
    }

    async fn part(&self, to: SocketAddr, request: &PartRequest) -> Result<PartReply> {
        PeerClient::part(self, to, request).await
    }
}
