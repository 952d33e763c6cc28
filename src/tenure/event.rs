//! Inputs of the tenure state machine.

use super::object::ZoneTenure;
use crate::{prelude::*, store::Version};

/// What the caller reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A host of the zone responded to an exchange that was sent at `sent`. `fence` is that of the
    /// newest list it knows; if it sent a newer list, `ListReceived` comes first.
    Acknowledged { fence: u64, host: HostId, sent: Moment },
    /// A peer sent the zone's list.
    ListReceived(ZoneTenure),
    /// The live hosts of the zone according to the membership, including this one. Sent before each
    /// tick.
    LiveHosts(Vec<ZoneHost>),
    /// This host is stopping.
    Leave,
    /// An `Action::Read` that was sent at `sent` has ended.
    ReadDone { result: ReadResult, sent: Moment },
    /// One second has passed.
    Tick,
    /// An `Action::Write` that was sent at `sent` has ended.
    WriteDone { result: WriteResult, sent: Moment },
}

/// A live host of the zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneHost {
    pub host: HostId,
    pub incarnation: Incarnation,
    pub leaving: bool,
}

/// Result of a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadResult {
    Absent,
    /// No response, or one that cannot be decoded.
    Failed,
    Found(ZoneTenure, Version),
}

/// Result of a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// Another host wrote first.
    Conflict,
    /// The outcome is unknown: the write may have taken effect.
    Failed,
    Written(Version),
}
