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
pub struct Exchanged(pub Digest);

/// An exchange that this host began has ended.
#[derive(Debug)]
pub struct Merged {
    pub answer: crate::peer::Result<Digest>,
    /// By this host's clock, right before the question was sent.
    pub sent: Moment,
    pub turn: Turn,
}

/// Which exchange of a row it was.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turn {
    First,
    /// Begun at once, because the answer to the first asked for more.
    FollowUp,
}

/// A manifest came from the platform or from a peer, with the parts that came along.
#[derive(Debug)]
pub struct Offered {
    pub from: Source,
    pub parts: Vec<Part>,
    pub signed: SignedManifest,
}

/// Where a manifest came from, and so where its parts are.
#[derive(Clone, Copy, Debug)]
pub enum Source {
    Peer(SocketAddr),
    Platform,
}

/// The platform answered, or failed to.
#[derive(Clone, Copy, Debug)]
pub struct PlatformHeard {
    pub answered: bool,
}

/// Whether this host watches the platform for its zone.
#[derive(Clone, Copy, Debug)]
pub struct IsRelay;

/// The signed manifest in force.
#[derive(Clone, Copy, Debug)]
pub struct AskManifest;

/// A part of the manifest in force.
#[derive(Clone, Debug)]
pub struct AskPart(pub PartId);

/// A part of a stopping host's ledger.
#[derive(Debug)]
pub struct TakeHandover(pub HandoverChunk);

/// A request came under suspicion on this host: told to all at once.
#[derive(Clone, Copy, Debug)]
pub struct Marked;

/// Begin of a planned stop: told to all peers at once.
#[derive(Clone, Copy, Debug)]
pub struct Leave;

/// Hosts of the zone that may take over this host's ledger, best first.
#[derive(Clone, Copy, Debug)]
pub struct AskSuccessors;

/// What an operator is shown.
#[derive(Clone, Copy, Debug)]
pub struct AskStatus;

/// Why a request would go where it goes.
#[derive(Debug)]
pub struct AskExplain(pub ExplainRequest);

/// An operator drains.
#[derive(Debug)]
pub struct OrderDrain(pub DrainOrder);

/// An operator takes drains back.
#[derive(Debug)]
pub struct OrderUndrain(pub UndrainOrder);

/// Answer to `TakeHandover`.
pub type HandoverAnswer = crate::peer::Result<HandoverAck>;

/// Answer to `AskStatus`.
pub type StatusAnswer = crate::peer::Result<HostStatus>;

/// Answer to `AskExplain`.
pub type ExplainAnswer = crate::peer::Result<Explanation>;

/// Answer to `OrderDrain`.
pub type DrainAnswer = crate::peer::Result<DrainRecord>;

/// Answer to `OrderUndrain`.
pub type UndrainAnswer = crate::peer::Result<Vec<DrainRecord>>;
