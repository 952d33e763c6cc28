//! Adopts the sealed ledgers of stopping hosts.

use super::{
    actor::ControlActor,
    messages::{GetSuccessors, HandoverResult, ReceiveHandover},
};
use crate::{
    ledger::{SealedLedger, SealedPart},
    peer::{HandoverAck, PeerError},
    view::HostView,
};

/// Ledgers that may be received at the same time.
const MAX_HANDOVERS: usize = 8;

impl ControlActor {
    fn receive_part(&mut self, part: SealedPart) -> HandoverResult {
        let (digest, index, of) = (part.digest.clone(), part.index, part.of);
        if !self.handovers.contains_key(&digest) && MAX_HANDOVERS <= self.handovers.len() {
            self.handovers.pop_first();
        }
        let parts = self.handovers.entry(digest.clone()).or_default();
        parts.retain(|part| part.index != index);
        parts.push(part);
        if parts.len() < usize::try_from(of).unwrap_or(usize::MAX) {
            return Ok(HandoverAck { complete: false, index });
        }
        let parts = self.handovers.remove(&digest).unwrap_or_default();
        let unavailable = |error: crate::ledger::Error| PeerError::Unavailable(error.to_string());
        let sealed = SealedLedger::join(parts).map_err(unavailable)?;
        let adopted = self.deps.traffic.adopt(sealed);
        adopted.map_err(unavailable)?;
        self.update_payload();
        self.publish();
        Ok(HandoverAck { complete: true, index })
    }
}

impl xtra::Handler<ReceiveHandover> for ControlActor {
    type Return = HandoverResult;

    async fn handle(
        &mut self,
        request: ReceiveHandover,
        _cx: &mut xtra::Context<Self>,
    ) -> HandoverResult {
        self.receive_part(request.0.part)
    }
}

impl xtra::Handler<GetSuccessors> for ControlActor {
    type Return = Vec<HostView>;

    async fn handle(
        &mut self,
        _request: GetSuccessors,
        _cx: &mut xtra::Context<Self>,
    ) -> Vec<HostView> {
        let own = self.deps.membership.own().clone();
        let hosts = self.deps.membership.hosts(self.now());
        let successors = hosts.into_iter().filter(|host| host.id != own.id && !host.leaving);
        let mut successors: Vec<HostView> = successors.collect();
        successors.sort_by_key(|host| (host.zone != own.zone, host.region != own.region));
        successors
    }
}
