//! Messages to the control actor.

use crate::{
    drain::DrainRecord,
    manifest::{Part, PartId, SignedManifest},
    membership::Digest,
    operator::{Explanation, HostStatus},
    peer::{DrainOrder, ExplainRequest, HandoverAck, HandoverChunk, UndrainOrder},
    prelude::*,
};

/// Once a second: heartbeat, exchanges, suspicion, a new view.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

/// A peer asks for an exchange; the answer is what it lacks.
#[derive(Debug)]
pub struct ExchangeRequest(pub Digest);

/// An exchange that this host began has ended.
#[derive(Debug)]
pub struct ExchangeResult {
    pub result: crate::peer::Result<Digest>,
    /// By this host's clock, right before the question was sent.
    pub sent: Moment,
    pub round: ExchangeRound,
}

/// Which exchange of a row it was.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExchangeRound {
    First,
    /// Begun at once, because the answer to the first asked for more.
    FollowUp,
}

/// A manifest came from the platform or from a peer, with the parts that came along.
#[derive(Debug)]
pub struct ManifestOffer {
    pub from: ManifestSource,
    pub parts: Vec<Part>,
    pub signed: SignedManifest,
}

/// Where a manifest came from, and so where its parts are.
#[derive(Clone, Copy, Debug)]
pub enum ManifestSource {
    Peer(SocketAddr),
    Platform,
}

/// The platform answered, or failed to.
#[derive(Clone, Copy, Debug)]
pub struct PlatformCallResult {
    pub answered: bool,
}

/// Whether this host watches the platform for its zone.
#[derive(Clone, Copy, Debug)]
pub struct IsPlatformWatcher;

/// The signed manifest in force.
#[derive(Clone, Copy, Debug)]
pub struct GetManifest;

/// A part of the manifest in force.
#[derive(Clone, Debug)]
pub struct GetPart(pub PartId);

/// A part of a stopping host's ledger.
#[derive(Debug)]
pub struct ReceiveHandover(pub HandoverChunk);

/// A request came under suspicion on this host: told to all at once.
#[derive(Clone, Copy, Debug)]
pub struct MarkAdded;

/// Begin of a planned stop: told to all peers at once.
#[derive(Clone, Copy, Debug)]
pub struct Leave;

/// Hosts of the zone that may take over this host's ledger, best first.
#[derive(Clone, Copy, Debug)]
pub struct GetSuccessors;

/// What an operator is shown.
#[derive(Clone, Copy, Debug)]
pub struct GetStatus;

/// Why a request would go where it goes.
#[derive(Debug)]
pub struct GetExplanation(pub ExplainRequest);

/// An operator drains.
#[derive(Debug)]
pub struct StartDrain(pub DrainOrder);

/// An operator takes drains back.
#[derive(Debug)]
pub struct UndoDrains(pub UndrainOrder);

/// Answer to `TakeHandover`.
pub type HandoverResult = crate::peer::Result<HandoverAck>;

/// Answer to `AskStatus`.
pub type StatusResult = crate::peer::Result<HostStatus>;

/// Answer to `AskExplain`.
pub type ExplainResult = crate::peer::Result<Explanation>;

/// Answer to `OrderDrain`.
pub type DrainResult = crate::peer::Result<DrainRecord>;

/// Answer to `OrderUndrain`.
pub type UndrainResult = crate::peer::Result<Vec<DrainRecord>>;
