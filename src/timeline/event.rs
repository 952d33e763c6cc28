//! One event of the time line.

use crate::{manifest::DrainScope, prelude::*};

/// Hybrid logical time: wall-clock milliseconds and a counter that keeps cause before effect.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct HybridTime {
    pub millis: u64,
    pub count: u32,
}

/// One event, with where and when it came about.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Event {
    pub at: HybridTime,
    pub host: HostId,
    pub incarnation: Incarnation,
    pub kind: EventKind,
    pub member: MemberId,
    /// The request that it belongs to, if any.
    pub request: Option<RequestId>,
}

/// What came about.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum EventKind {
    Answered { ran: Ran, status: u16 },
    Arrived { hops: u8, service: ServiceId },
    BreakerMoved { open: bool },
    Dispatched { target: TargetId },
    DrainEnded { scope: DrainScope },
    DrainStarted { scope: DrainScope },
    Ended { error: Option<ErrorKind>, target: TargetId },
    Forwarded { to: HostId },
    HandoverDone { entries: u64, to: HostId },
    HandoverLost { entries: u64 },
    HostJoined { host: HostId },
    HostLeft { host: HostId },
    HostSuspected { host: HostId },
    InvariantBroken { detail: Arc<str>, name: Arc<str> },
    LeaseLost { zone: ZoneId },
    LeaseTaken { fence: u64, zone: ZoneId },
    LookedUp { service: ServiceId },
    ManifestInForce { sequence: Sequence },
    ManifestRefused { reason: Arc<str>, sequence: Sequence },
    Quarantined { fingerprint: Arc<str> },
    Refused { error: ErrorKind },
    Shifted { home: RegionId, service: ServiceId },
    Started,
    Stopped,
    TargetEjected { target: TargetId },
    TargetReturned { target: TargetId },
}
