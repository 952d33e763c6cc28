//! What a host does with calls.

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

/// What a host does with calls. The server has checked key, version and member before. A call that
/// a handler does not serve is `Unavailable`.
#[async_trait]
pub trait PeerHandler: Send + Sync + 'static {
    /// Takes over what a peer tells and answers with what it lacks.
    async fn exchange(&self, _digest: Digest) -> Result<Digest> {
        Err(not_supported())
    }

    /// The signed manifest in force here.
    async fn manifest(&self) -> Result<ManifestReply> {
        Err(not_supported())
    }

    /// Client blocks of a large manifest.
    async fn part(&self, _request: PartRequest) -> Result<PartReply> {
        Err(not_supported())
    }

    /// Takes a part of a stopping host's ledger.
    async fn handover(&self, _chunk: HandoverChunk) -> Result<HandoverAck> {
        Err(not_supported())
    }

    /// Events of this host's time line.
    async fn events(&self, _filter: Filter) -> Result<Vec<Event>> {
        Err(not_supported())
    }

    /// What this host knows and does.
    async fn status(&self) -> Result<HostStatus> {
        Err(not_supported())
    }

    /// Where a request would go now, and why.
    async fn explain(&self, _request: ExplainRequest) -> Result<Explanation> {
        Err(not_supported())
    }

    /// Orders a drain; the same id twice is one drain.
    async fn drain(&self, _order: DrainOrder) -> Result<DrainRecord> {
        Err(not_supported())
    }

    /// Takes drains back and answers with them.
    async fn undrain(&self, _order: UndrainOrder) -> Result<Vec<DrainRecord>> {
        Err(not_supported())
    }
}

fn not_supported() -> PeerError {
    PeerError::Unavailable("this host does not serve the call".into())
}
