//! What the manager is told.

use super::object::ZoneTenure;
use crate::{prelude::*, store::Version};

/// One input.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A host of the zone answered an exchange that was sent at `sent`. `fence` is the one that it
    /// knows; `Heard` with its list, if it had a newer one, comes first.
    Acknowledged {
        fence: u64,
        host: HostId,
        sent: Moment,
    },
    /// A peer told of the zone's list.
    ListReceived(ZoneTenure),
    /// The live hosts of the zone as the membership sees them, this one included. At each tick.
    LiveHosts(Vec<ZoneHost>),
    /// This host is stopping.
    Leave,
    /// A `Read` that was sent at `sent` has ended.
    ReadDone {
        result: ReadResult,
        sent: Moment,
    },
    Tick,
    /// A `Write` that was sent at `sent` has ended.
    WriteDone {
        result: WriteResult,
        sent: Moment,
    },
}

/// A live host of the zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneHost {
    pub host: HostId,
    pub incarnation: Incarnation,
    pub leaving: bool,
}

/// What a read gave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadResult {
    Absent,
    /// No answer, or one that cannot be read.
    Failed,
    Found(ZoneTenure, Version),
}

/// What became of a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// Someone else wrote first.
    Conflict,
    /// Unknown: it may have taken effect.
    Failed,
    Written(Version),
}
