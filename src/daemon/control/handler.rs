//! Passes RPC calls from peers and operators to the control actor.

use std::sync::OnceLock;

use async_trait::async_trait;
use xtra::Address;

use super::{
    actor::ControlActor,
    messages::{
        ExchangeRequest, GetExplanation, GetManifest, GetPart, GetStatus, ReceiveHandover,
        StartDrain, UndoDrains,
    },
};
use crate::{
    drain::DrainRecord,
    membership::Digest,
    operator::{Explanation, HostStatus},
    peer::{
        DrainOrder, ExplainRequest, HandoverAck, HandoverChunk, ManifestReply, PartReply,
        PartRequest, PeerError, PeerHandler, Result, UndrainOrder,
    },
    prelude::*,
    timeline::{Event, Filter, Recorder},
};

/// Serves RPC calls with the control actor and the time line.
///
/// The server is bound before the actor exists, as the actor publishes the server's address. Until
/// `connect` is called, calls fail with `PeerError::Unavailable`.
#[derive(Default)]
pub struct ControlHandler {
    backend: OnceLock<Backend>,
}

struct Backend {
    control: Address<ControlActor>,
    recorder: Arc<Recorder>,
}

impl ControlHandler {
    /// Sets the actor and the time line that serve calls from now on.
    pub fn connect(&self, control: Address<ControlActor>, recorder: Arc<Recorder>) {
        // A second call would pass the same actor, since there is one per server.
        let _ = self.backend.set(Backend { control, recorder });
    }

    fn backend(&self) -> Result<&Backend> {
        self.backend.get().ok_or_else(|| PeerError::Unavailable("the host is starting".into()))
    }

    async fn call<M>(&self, message: M) -> Result<<ControlActor as xtra::Handler<M>>::Return>
    where
        ControlActor: xtra::Handler<M>,
        M: Send + 'static,
    {
        let stopping = |_| PeerError::Unavailable("the host is stopping".into());
        self.backend()?.control.send(message).await.map_err(stopping)
    }
}

#[async_trait]
impl PeerHandler for ControlHandler {
    async fn exchange(&self, digest: Digest) -> Result<Digest> {
        self.call(ExchangeRequest(digest)).await
    }

    async fn manifest(&self) -> Result<ManifestReply> {
        self.call(GetManifest).await
    }

    async fn part(&self, request: PartRequest) -> Result<PartReply> {
        self.call(GetPart(request.id)).await
    }

    async fn handover(&self, chunk: HandoverChunk) -> Result<HandoverAck> {
        self.call(ReceiveHandover(chunk)).await?
    }

    async fn events(&self, filter: Filter) -> Result<Vec<Event>> {
        Ok(self.backend()?.recorder.events(&filter))
    }

    async fn status(&self) -> Result<HostStatus> {
        self.call(GetStatus).await?
    }

    async fn explain(&self, request: ExplainRequest) -> Result<Explanation> {
        self.call(GetExplanation(request)).await?
    }

    async fn drain(&self, order: DrainOrder) -> Result<DrainRecord> {
        self.call(StartDrain(order)).await?
    }

    async fn undrain(&self, order: UndrainOrder) -> Result<Vec<DrainRecord>> {
        self.call(UndoDrains(order)).await?
    }
}
