//! Messages to the control actor.

use crate::{
    drain::DrainRecord,
    manifest::{Part, PartId, SignedManifest},
    membership::Digest,
    operator::{Explanation, HostStatus},
    peer::{DrainOrder, ExplainRequest, HandoverAck, HandoverChunk, UndrainOrder},
    prelude::*,
};

/// Sent once a second; triggers heartbeats, exchanges, failure detection and a new view.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

/// A peer's digest; the response holds what the peer lacks.
#[derive(Debug)]
pub struct ExchangeRequest(pub Digest);

/// The result of an exchange that this host started.
#[derive(Debug)]
pub struct ExchangeResult {
    pub result: crate::peer::Result<Digest>,
    /// By this host's clock, right before the request was sent.
    pub sent: Moment,
    pub round: ExchangeRound,
}

/// Whether an exchange was the first or a follow-up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExchangeRound {
    First,
    /// Started at once because the response to the first requested more.
    FollowUp,
}

/// A manifest received from the platform or a peer, with those parts that have been fetched.
#[derive(Debug)]
pub struct ManifestOffer {
    pub from: ManifestSource,
    pub parts: Vec<Part>,
    pub signed: SignedManifest,
}

/// Where a manifest came from; its parts are fetched from there.
#[derive(Clone, Copy, Debug)]
pub enum ManifestSource {
    Peer(SocketAddr),
    Platform,
}

/// Whether a call to the platform succeeded.
#[derive(Clone, Copy, Debug)]
pub struct PlatformCallResult {
    pub answered: bool,
}

/// Asks whether this host watches the platform for its zone.
#[derive(Clone, Copy, Debug)]
pub struct IsPlatformWatcher;

/// Reads the signed manifest in force.
#[derive(Clone, Copy, Debug)]
pub struct GetManifest;

/// Reads a part of the manifest in force.
#[derive(Clone, Debug)]
pub struct GetPart(pub PartId);

/// Delivers a part of a stopping host's ledger.
#[derive(Debug)]
pub struct ReceiveHandover(pub HandoverChunk);

/// A request was quarantined on this host; its mark is pushed to peers at once.
#[derive(Clone, Copy, Debug)]
pub struct MarkAdded;

/// A planned stop begins; this is pushed to peers at once.
#[derive(Clone, Copy, Debug)]
pub struct Leave;

/// Lists the hosts of the member that may adopt this host's ledger: those of its zone first, then
/// those of its region.
#[derive(Clone, Copy, Debug)]
pub struct GetSuccessors;

/// Reads the host's status for an operator.
#[derive(Clone, Copy, Debug)]
pub struct GetStatus;

/// Explains where a request would be routed and why.
#[derive(Debug)]
pub struct GetExplanation(pub ExplainRequest);

/// An operator's order to drain a scope.
#[derive(Debug)]
pub struct StartDrain(pub DrainOrder);

/// An operator's order to undo drains.
#[derive(Debug)]
pub struct UndoDrains(pub UndrainOrder);

/// Response to `ReceiveHandover`.
pub type HandoverResult = crate::peer::Result<HandoverAck>;

/// Response to `GetStatus`.
pub type StatusResult = crate::peer::Result<HostStatus>;

/// Response to `GetExplanation`.
pub type ExplainResult = crate::peer::Result<Explanation>;

/// Response to `StartDrain`.
pub type DrainResult = crate::peer::Result<DrainRecord>;

/// Response to `UndoDrains`.
pub type UndrainResult = crate::peer::Result<Vec<DrainRecord>>;
