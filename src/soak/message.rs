//! What travels between the parts of a run.

use super::fixture::{HOSTS, ZONES, region_of_zone, zone_of_host};
use crate::{
    ledger::{IdempotencyKey, SealedLedger},
    manifest::SignedManifest,
    membership::Digest,
    prelude::*,
    routing::{Answer, AttemptId, Outcome, Via},
    tenure,
};

/// Number of a booking or read as its caller means it: it must run at most once, whatever bindings
/// and copies it is sent under.
pub(super) type Intent = usize;

/// One process on one host: messages to a process that is gone are dropped.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Process {
    pub(super) host: usize,
    pub(super) incarnation: Incarnation,
}

/// One request message.
#[derive(Clone, Debug)]
pub(super) struct Copy {
    pub(super) binding: Option<Binding>,
    pub(super) deadline: Duration,
    pub(super) intent: Intent,
    /// A request that may run at most once.
    pub(super) key: Option<IdempotencyKey>,
    pub(super) via: Via,
}

/// Who waits for the end of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Origin {
    Caller { intent: Intent, send: u32 },
    Host { attempt: AttemptId, process: Process },
}

/// What a caller hears of one send.
#[derive(Clone, Debug)]
pub(super) enum Told {
    /// An answer with its body.
    Answer(Answer, Option<Intent>),
    /// The connection broke, or none was made.
    Nothing,
}

/// One item of the agenda.
#[derive(Clone, Debug)]
pub(super) enum Item {
    /// A copy of a request reaches a host.
    Arrive {
        copy: Copy,
        host: usize,
        origin: Origin,
    },
    AtTarget {
        copy: Copy,
        attempt: AttemptId,
        by: Process,
        target: usize,
    },
    /// The origin of a call is gone.
    Cancel {
        host: usize,
        origin: Origin,
    },
    /// A caller begins something new.
    CallerNext {
        poison: bool,
        region: usize,
        rival: bool,
    },
    CallerResend {
        intent: Intent,
    },
    CallerTimeout {
        intent: Intent,
        send: u32,
    },
    Ended {
        attempt: AttemptId,
        body: Option<Intent>,
        outcome: Outcome,
        process: Process,
    },
    Exchange {
        digest: Box<Digest>,
        from: Process,
        sent: Moment,
        to: usize,
    },
    Exchanged {
        digest: Box<Digest>,
        from: usize,
        sent: Moment,
        to: Process,
    },
    Fault(usize),
    FaultEnd(usize),
    Handover {
        from: Process,
        sealed: SealedLedger,
        to: usize,
    },
    HandoverDone {
        from: usize,
        to: Process,
    },
    /// A copy of the accepted manifest reaches a host.
    Manifest {
        signed: SignedManifest,
        to: Process,
    },
    /// A pipeline's conditional write reaches the platform.
    ManifestWrite {
        expect: u64,
        signed: SignedManifest,
    },
    PlatformRead {
        by: Process,
        sent: Moment,
    },
    PlatformWrite {
        by: Process,
        expect: u64,
        object: tenure::ZoneTenure,
        sent: Moment,
    },
    Report {
        target: usize,
    },
    Start {
        host: usize,
    },
    StopStep {
        process: Process,
    },
    TargetBack {
        target: usize,
    },
    TargetDone {
        target: usize,
        work: u64,
    },
    Tenure {
        event: tenure::Event,
        to: Process,
    },
    Tick {
        process: Process,
    },
    Told {
        intent: Intent,
        send: u32,
        told: Told,
    },
}

impl Item {
    /// The host that handles it; a paused one does so when it goes on.
    pub(super) fn host(&self) -> Option<usize> {
        match self {
            Item::Arrive { host, .. } | Item::Cancel { host, .. } => Some(*host),
            Item::Ended { process, .. }
            | Item::StopStep { process }
            | Item::Tick { process }
            | Item::Exchanged { to: process, .. }
            | Item::HandoverDone { to: process, .. }
            | Item::Manifest { to: process, .. }
            | Item::Tenure { to: process, .. } => Some(process.host),
            Item::Exchange { to, .. } | Item::Handover { to, .. } => Some(*to),
            _ => None,
        }
    }
}

/// Where a message starts or ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Place {
    Caller { region: usize },
    Host(usize),
    Platform,
    Zone(usize),
}

impl Place {
    pub(super) fn zone(self) -> Option<usize> {
        match self {
            Place::Host(host) if host < HOSTS => Some(zone_of_host(host)),
            Place::Zone(zone) if zone < ZONES.len() => Some(zone),
            _ => None,
        }
    }

    fn region(self) -> Option<usize> {
        match self {
            Place::Caller { region } => Some(region),
            _ => self.zone().map(region_of_zone),
        }
    }

    /// One-way delay to another place, in microseconds.
    pub(super) fn delay_to(self, other: Place) -> u64 {
        let caller = matches!(self, Place::Caller { .. }) || matches!(other, Place::Caller { .. });
        let last_mile = if caller { 8_000 } else { 0 };
        let way = match (self.zone(), other.zone()) {
            (Some(here), Some(there)) if here == there => 300,
            _ if self.region().is_some() && self.region() == other.region() => 1_500,
            _ if self == Place::Platform || other == Place::Platform => 4_000,
            _ => 55_000,
        };
        last_mile + way
    }
}
