//! Datagrams between the hosts that ask for slots and the owners.

use std::io;

use super::{GroupNumber, ReservationId, SenderTag};
use crate::{
    placement::{NameTag, ObjectTag, TargetTag},
    prelude::*,
};

/// First byte of each datagram. Hosts ignore datagrams with another version.
const ENCODING: u8 = 0x01;

/// Most targets that an `Ask` leaves out, and most reservations that a `Refresh` names, so that
/// each fits in one packet.
pub const MAX_EXCLUDED: usize = 8;
pub const MAX_REFRESHED: usize = 96;

/// One datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    Ask(Ask),
    Reply {
        id: ReservationId,
        answer: Answer,
    },
    /// Requests whose targets the sender selected itself.
    Taken(Taken),
    Released(Released),
    /// Requests of the sender that still run.
    Refresh {
        sender: SenderTag,
        held: Vec<(ReservationId, TargetTag)>,
    },
}

impl Message {
    /// Encodes the datagram.
    pub fn encode(&self) -> io::Result<Vec<u8>> {
        postcard::to_extend(self, vec![ENCODING]).map_err(io::Error::other)
    }

    /// Decodes a datagram of another host.
    pub fn decode(bytes: &[u8]) -> io::Result<Self> {
        match bytes.split_first() {
            Some((&ENCODING, message)) => postcard::from_bytes(message).map_err(io::Error::other),
            _ => Err(io::Error::other("unsupported encoding version")),
        }
    }
}

/// Asks for a slot at a target of a group.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ask {
    pub sender: SenderTag,
    pub id: ReservationId,
    pub service: NameTag,
    pub group: GroupNumber,
    pub object: Option<ObjectTag>,
    /// Time until the answer is late for the caller.
    pub in_time_ms: u16,
    /// Time until the caller leaves.
    pub left_ms: u16,
    /// Latency objective of the route.
    pub route_objective_ms: u16,
    /// The caller was refused before and came back.
    pub is_return: bool,
    /// Rank of the route; 0 is the highest.
    pub priority: u8,
    /// Targets that were tried before, or that the sender cannot use.
    pub excluded: Vec<TargetTag>,
}

/// Answer of the owner.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Answer {
    Granted(Grant),
    Refused(Refusal),
    /// The host does not know the service or its targets.
    Unknown,
}

/// A target with room, and what the owner expects of the request there.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Grant {
    pub target: TargetTag,
    /// Requests of all hosts there, without this one.
    pub load: u16,
    pub expected_ms: u16,
    /// LRU depth of the object there; see `CachedObjects::depth`.
    pub depth: Option<u16>,
    pub hit_percent: u8,
    pub is_primary_guess: bool,
}

/// No target of the group can answer in time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Refusal {
    /// Time until the caller is to come back; `None` if there will be no room for it.
    pub return_in_ms: Option<u16>,
    /// The time is promised: there will be room then, so it is not to be varied.
    pub is_promised: bool,
    /// Slots of the group, and how many of them are busy.
    pub slots: u16,
    pub busy: u16,
    /// Targets were left out since they do not have the object cached.
    pub is_rationed: bool,
}

/// A request whose target its sender selected itself.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Taken {
    pub sender: SenderTag,
    pub id: ReservationId,
    pub target: TargetTag,
    pub object: Option<ObjectTag>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Released {
    pub sender: SenderTag,
    pub id: ReservationId,
    pub end: ReleasedEnd,
}

/// What the end of a request says of its target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReleasedEnd {
    /// Answered after this many milliseconds, without the time to connect.
    Answered(u16),
    /// The target failed or its answer was lost.
    Failed,
    /// The target refused the request as full.
    Full,
    /// Nothing can be concluded.
    Other,
}
