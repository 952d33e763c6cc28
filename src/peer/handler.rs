//! What a host does with calls.

use async_trait::async_trait;

use super::{
    error::Result,
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

/// What a host does with calls. The server has checked key, version and member before.
#[async_trait]
pub trait PeerHandler: Send + Sync + 'static {
    /// Takes over what a peer tells and answers with what it lacks.
    async fn exchange(&self, digest: Digest) -> Result<Digest>;

    /// The signed manifest in force here.
    async fn manifest(&self) -> Result<ManifestReply>;

    /// Client blocks of a large manifest.
    async fn part(&self, request: PartRequest) -> Result<PartReply>;

    /// Takes a part of a stopping host's ledger.
    async fn handover(&self, chunk: HandoverChunk) -> Result<HandoverAck>;

    /// Events of this host's time line.
    async fn events(&self, filter: Filter) -> Result<Vec<Event>>;

    /// What this host knows and does.
    async fn status(&self) -> Result<HostStatus>;

    /// Where a request would go now, and why.
    async fn explain(&self, request: ExplainRequest) -> Result<Explanation>;

    /// Orders a drain; the same id twice is one drain.
    async fn drain(&self, order: DrainOrder) -> Result<DrainRecord>;

    /// Takes drains back and answers with them.
    async fn undrain(&self, order: UndrainOrder) -> Result<Vec<DrainRecord>>;
}
