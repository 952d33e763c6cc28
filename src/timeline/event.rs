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
    Answered {
        ran: Ran,
        status: u16,
    },
    Arrived {
        hops: u8,
        service: ServiceId,
    },
    BreakerMoved {
        open: bool,
    },
    Dispatched {
        target: TargetId,
    },
    DrainEnded {
        scope: DrainScope,
    },
    DrainStarted {
        scope: DrainScope,
    },
    Ended {
        error: Option<ErrorKind>,
        target: TargetId,
    },
    Forwarded {
        to: HostId,
    },
    HandoverDone {
        entries: u64,
        to: HostId,
    },
    HandoverLost {
        entries: u64,
    },
    /// A second attempt was made beside one that takes long on that target.
    Hedged {
        target: TargetId,
    },
    HostJoined {
        host: HostId,
    },
    HostLeft {
        host: HostId,
    },
    HostSuspected {
        host: HostId,
    },
    InvariantBroken {
        detail: Arc<str>,
        name: Arc<str>,
    },
    LeaseLost {
        zone: ZoneId,
    },
    LeaseTaken {
        fence: u64,
        zone: ZoneId,
    },
    LookedUp {
        service: ServiceId,
    },
    ManifestInForce {
        sequence: Sequence,
    },
    ManifestRefused {
        reason: Arc<str>,
        sequence: Sequence,
    },
    Quarantined {
        fingerprint: Arc<str>,
    },
    Refused {
        error: ErrorKind,
    },
    Shifted {
        home: RegionId,
        service: ServiceId,
    },
    Started,
    Stopped,
    TargetEjected {
        target: TargetId,
    },
    TargetReturned {
        target: TargetId,
    },
    /// A kind that a newer version writes. Without it one new kind would make a whole page of
    /// events unreadable to an older client during a rolling upgrade.
    #[serde(other)]
    Unknown,
}

impl HybridTime {
    /// The smallest time after this one.
    pub fn next(self) -> Self {
        match self.count.checked_add(1) {
            Some(count) => Self { count, ..self },
            None => Self { millis: self.millis + 1, count: 0 },
        }
    }
}

impl EventKind {
    /// The name of every kind, as it stands in the `kind` field.
    pub const NAMES: [&'static str; 28] = [
        "answered",
        "arrived",
        "breaker-moved",
        "dispatched",
        "drain-ended",
        "drain-started",
        "ended",
        "forwarded",
        "handover-done",
        "handover-lost",
        "hedged",
        "host-joined",
        "host-left",
        "host-suspected",
        "invariant-broken",
        "lease-lost",
        "lease-taken",
        "looked-up",
        "manifest-in-force",
        "manifest-refused",
        "quarantined",
        "refused",
        "shifted",
        "started",
        "stopped",
        "target-ejected",
        "target-returned",
        "unknown",
    ];

    /// The name of the kind.
    pub fn name(&self) -> &'static str {
        match self {
            EventKind::Answered { .. } => "answered",
            EventKind::Arrived { .. } => "arrived",
            EventKind::BreakerMoved { .. } => "breaker-moved",
            EventKind::Dispatched { .. } => "dispatched",
            EventKind::DrainEnded { .. } => "drain-ended",
            EventKind::DrainStarted { .. } => "drain-started",
            EventKind::Ended { .. } => "ended",
            EventKind::Forwarded { .. } => "forwarded",
            EventKind::HandoverDone { .. } => "handover-done",
            EventKind::HandoverLost { .. } => "handover-lost",
            EventKind::Hedged { .. } => "hedged",
            EventKind::HostJoined { .. } => "host-joined",
            EventKind::HostLeft { .. } => "host-left",
            EventKind::HostSuspected { .. } => "host-suspected",
            EventKind::InvariantBroken { .. } => "invariant-broken",
            EventKind::LeaseLost { .. } => "lease-lost",
            EventKind::LeaseTaken { .. } => "lease-taken",
            EventKind::LookedUp { .. } => "looked-up",
            EventKind::ManifestInForce { .. } => "manifest-in-force",
            EventKind::ManifestRefused { .. } => "manifest-refused",
            EventKind::Quarantined { .. } => "quarantined",
            EventKind::Refused { .. } => "refused",
            EventKind::Shifted { .. } => "shifted",
            EventKind::Started => "started",
            EventKind::Stopped => "stopped",
            EventKind::TargetEjected { .. } => "target-ejected",
            EventKind::TargetReturned { .. } => "target-returned",
            EventKind::Unknown => "unknown",
        }
    }

    /// The target that the event is about, if any.
    pub fn target(&self) -> Option<&TargetId> {
        match self {
            EventKind::Dispatched { target }
            | EventKind::Ended { target, .. }
            | EventKind::Hedged { target }
            | EventKind::TargetEjected { target }
            | EventKind::TargetReturned { target } => Some(target),
            EventKind::DrainEnded { scope } | EventKind::DrainStarted { scope } => match scope {
                DrainScope::Target(target) => Some(target),
                _ => None,
            },
            _ => None,
        }
    }
}
