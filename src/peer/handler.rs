//! Interface between the RPC server and the host that serves the calls.

use async_trait::async_trait;

use super::{
    error::{PeerError, Result},
    messages::{
        DrainOrder, ExplainRequest, HandoverAck, HandoverChunk, ManifestReply, PartReply,
        PartRequest, UndrainOrder,
    },
};
use crate::{
    drain::DrainRecord,
    membership::Digest,
    operator::{Explanation, HostStatus},
    timeline::{Event, Filter},
};

/// Serves RPC calls after the server has checked key, version and member. The default methods
/// return `Unavailable`.
#[async_trait]
pub trait PeerHandler: Send + Sync + 'static {
    /// Applies a peer's digest and returns what the peer lacks.
    async fn exchange(&self, _digest: Digest) -> Result<Digest> {
        Err(not_supported())
    }

    /// Returns the signed manifest in force at this host.
    async fn manifest(&self) -> Result<ManifestReply> {
        Err(not_supported())
    }

    /// Returns one part of a manifest's client blocks.
    async fn part(&self, _request: PartRequest) -> Result<PartReply> {
        Err(not_supported())
    }

    /// Receives a part of a stopping host's ledger.
    async fn handover(&self, _chunk: HandoverChunk) -> Result<HandoverAck> {
        Err(not_supported())
    }

    /// Returns the events of this host's timeline that match the filter.
    async fn events(&self, _filter: Filter) -> Result<Vec<Event>> {
        Err(not_supported())
    }

    /// Returns the status of this host.
    async fn status(&self) -> Result<HostStatus> {
        Err(not_supported())
    }

    /// Returns which target would be chosen for a request now, and why.
    async fn explain(&self, _request: ExplainRequest) -> Result<Explanation> {
        Err(not_supported())
    }

    /// Starts a drain. Idempotent: a repeated id is the same drain.
    async fn drain(&self, _order: DrainOrder) -> Result<DrainRecord> {
        Err(not_supported())
    }

    /// Undoes drains and returns their records.
    async fn undrain(&self, _order: UndrainOrder) -> Result<Vec<DrainRecord>> {
        Err(not_supported())
    }
}

fn not_supported() -> PeerError {
    PeerError::Unavailable("this host does not serve the call".into())
}
