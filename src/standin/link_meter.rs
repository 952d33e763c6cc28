//! Counts what hosts tell each other.

use std::sync::atomic::{AtomicU64, Ordering};

use async_trait::async_trait;

use crate::{
    daemon::PeerLink,
    membership::Digest,
    peer::{HandoverAck, HandoverChunk, ManifestReply, PartReply, PartRequest, Result},
    prelude::*,
};

/// Calls between hosts so far.
#[derive(Debug, Default)]
pub struct LinkMeter {
    bytes: AtomicU64,
    exchanges: AtomicU64,
}

impl LinkMeter {
    /// Bytes of the messages of exchanges, and of manifests and parts that were fetched.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Exchanges that were answered.
    pub fn exchanges(&self) -> u64 {
        self.exchanges.load(Ordering::Relaxed)
    }

    fn count<T: Serialize>(&self, message: &T) {
        let bytes = serde_json::to_vec(message).map_or(0, |buf| buf.len());
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// A way to other hosts that is counted.
pub struct Metered<L> {
    inner: L,
    meter: Arc<LinkMeter>,
}

impl<L> Metered<L> {
    /// `inner`, counted by `meter`.
    pub fn new(inner: L, meter: Arc<LinkMeter>) -> Self {
        Self { inner, meter }
    }
}

#[async_trait]
impl<L: PeerLink> PeerLink for Metered<L> {
    async fn exchange(&self, to: SocketAddr, digest: &Digest) -> Result<Digest> {
        let answer = self.inner.exchange(to, digest).await?;
        self.meter.count(digest);
        self.meter.count(&answer);
        self.meter.exchanges.fetch_add(1, Ordering::Relaxed);
        Ok(answer)
    }

    async fn handover(&self, to: SocketAddr, chunk: &HandoverChunk) -> Result<HandoverAck> {
        self.inner.handover(to, chunk).await
    }

    async fn manifest(&self, to: SocketAddr) -> Result<ManifestReply> {
        let reply = self.inner.manifest(to).await?;
        self.meter.count(&reply);
        Ok(reply)
    }

    async fn part(&self, to: SocketAddr, request: &PartRequest) -> Result<PartReply> {
        let reply = self.inner.part(to, request).await?;
        self.meter.count(&reply);
        Ok(reply)
    }
}
