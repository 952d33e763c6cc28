//! The interface to other hosts' RPC servers.

use async_trait::async_trait;

use crate::{
    membership::Digest,
    peer::{HandoverAck, HandoverChunk, ManifestReply, PartReply, PartRequest, PeerClient, Result},
    prelude::*,
};

/// The calls that hosts make to each other.
#[async_trait]
pub trait PeerLink: Send + Sync {
    /// Sends this host's digest to a peer; the response holds what this host lacks.
    async fn exchange(&self, to: SocketAddr, digest: &Digest) -> Result<Digest>;

    /// Sends a part of this host's sealed ledger to a peer.
    async fn handover(&self, to: SocketAddr, chunk: &HandoverChunk) -> Result<HandoverAck>;

    /// Reads the signed manifest in force at a peer.
    async fn manifest(&self, to: SocketAddr) -> Result<ManifestReply>;

    /// Reads a part of the manifest in force at a peer.
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
