//! Calls from peers and operators, handed to the actor.

use std::sync::OnceLock;

use async_trait::async_trait;
use xtra::Address;

use super::{
    actor::Control,
    messages::{
        AskExplain, AskManifest, AskPart, AskStatus, Exchanged, OrderDrain, OrderUndrain,
        TakeHandover,
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

/// Answers the RPC server's calls from the control actor and the time line. The server has to be
/// bound before the actor, which tells its address to the peers; until then calls are put off.
#[derive(Default)]
pub struct ControlHandler {
    parts: OnceLock<Parts>,
}

struct Parts {
    control: Address<Control>,
    recorder: Arc<Recorder>,
}

impl ControlHandler {
    /// From now on calls are answered.
    pub fn connect(&self, control: Address<Control>, recorder: Arc<Recorder>) {
        // A second call would find the same actor: there is one for a server.
        let _ = self.parts.set(Parts { control, recorder });
    }

    fn parts(&self) -> Result<&Parts> {
        self.parts.get().ok_or_else(|| PeerError::Unavailable("the host is starting".into()))
    }

    async fn ask<M>(&self, message: M) -> Result<<Control as xtra::Handler<M>>::Return>
    where
        Control: xtra::Handler<M>,
        M: Send + 'static,
    {
        let stopping = |_| PeerError::Unavailable("the host is stopping".into());
        self.parts()?.control.send(message).await.map_err(stopping)
    }
}

#[async_trait]
impl PeerHandler for ControlHandler {
    async fn exchange(&self, digest: Digest) -> Result<Digest> {
        self.ask(Exchanged(digest)).await
    }

    async fn manifest(&self) -> Result<ManifestReply> {
        self.ask(AskManifest).await
    }

    async fn part(&self, request: PartRequest) -> Result<PartReply> {
        self.ask(AskPart(request.id)).await
    }

    async fn handover(&self, chunk: HandoverChunk) -> Result<HandoverAck> {
        self.ask(TakeHandover(chunk)).await?
    }

    async fn events(&self, filter: Filter) -> Result<Vec<Event>> {
        Ok(self.parts()?.recorder.events(&filter))
    }

    async fn status(&self) -> Result<HostStatus> {
        self.ask(AskStatus).await?
    }

    async fn explain(&self, request: ExplainRequest) -> Result<Explanation> {
        self.ask(AskExplain(request)).await?
    }

    async fn drain(&self, order: DrainOrder) -> Result<DrainRecord> {
        self.ask(OrderDrain(order)).await?
    }

    async fn undrain(&self, order: UndrainOrder) -> Result<Vec<DrainRecord>> {
        self.ask(OrderUndrain(order)).await?
    }
}
