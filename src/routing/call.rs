//! State of one request until its final answer, and of its attempts.

use super::{Arrival, AttemptId, Via};
use crate::{
    admission::SlotId,
    manifest::{ServiceKind, Share},
    prelude::*,
};

/// A request that has no final answer yet.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub arrival: Arrival,
    pub attempts: u32,
    /// The head of an answer was passed to the caller, so no other attempt may follow.
    pub answer_begun: bool,
    /// Counted against the shift cap for callers whose home region has no live host.
    pub direct_shift: bool,
    /// A hedge was sent or decided against; it is considered only once per call.
    pub hedge_considered: bool,
    /// Has an entry in this host's ledger, which must be told how the call ends.
    pub in_ledger: bool,
    /// The beginning of a file was passed to the caller; further attempts serve only the rest.
    pub interrupted: bool,
    pub kind: ServiceKind,
    /// Error of the latest attempt that failed.
    pub last_error: Option<ErrorKind>,
    /// From this moment on a booking is no longer sent to a target, and no request stays queued.
    pub latest_start: Moment,
    pub queued: bool,
    /// Attempts in progress: one, or two during a hedge.
    pub running_attempts: Vec<AttemptId>,
    pub shift_cap: Share,
    /// A shift is counted against the home region's cap for the attempt in progress.
    pub shifted: bool,
    pub timeout: Duration,
    /// A shift to another region was attempted.
    pub shift_attempted: bool,
    pub tried_targets: Vec<TargetId>,
    /// Why this host's manifest does not allow the request. Set only for a booking, whose ledger is
    /// still consulted.
    pub manifest_error: Option<ErrorKind>,
    /// Waits for another call with the same binding and key to end.
    pub awaits_copy: bool,
}

impl Call {
    pub fn is_booking(&self) -> bool {
        !self.kind.is_idempotent()
    }

    /// Whether this is a repeatable request that came directly from its caller and was not shifted.
    /// Only these are hedged: a forwarded read is hedged by the host that received it first, and a
    /// shifted one runs in a region where spare slots are scarce.
    pub fn is_home_read(&self) -> bool {
        let away = self.direct_shift || self.shifted;
        self.arrival.via == Via::Caller && !self.is_booking() && !away
    }

    /// Removes an ended attempt; returns false if the call does not have it.
    pub fn remove_attempt(&mut self, attempt: AttemptId) -> bool {
        let before = self.running_attempts.len();
        self.running_attempts.retain(|running| *running != attempt);
        self.running_attempts.len() < before
    }
}

/// Upper limit of the time reserved for running a request and returning its answer.
const MAX_COMPLETION_TIME: Duration = Duration::from_millis(500);

/// Divisor of a request's remaining time that gives the reserved time, if that is below the limit.
const COMPLETION_TIME_DIVISOR: u32 = 8;

/// The latest moment at which a request that arrives now may be sent to a target. Started later, it
/// would run for a caller that has timed out, and its outcome would be `unknown`. Refused by then,
/// it provably did not run, and the caller is told so before its deadline.
pub(super) fn latest_start(deadline: Moment, now: Moment) -> Moment {
    let left = deadline.saturating_sub(now);
    deadline.saturating_sub(MAX_COMPLETION_TIME.min(left / COMPLETION_TIME_DIVISOR))
}

/// One attempt to serve a call.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub call: super::CallId,
    /// Whether it is the first attempt of its call.
    pub is_first: bool,
    pub destination: Destination,
    pub started_at: Moment,
}

/// Where an attempt was sent.
#[derive(Clone, Debug)]
pub(super) enum Destination {
    /// A target that this host owns, in the given slot.
    OwnTarget { slot: SlotId, target: TargetId },
    /// The host that owns the binding's ledger.
    LedgerOwner,
    /// The host that owns the target. It may choose another of its targets.
    PeerTarget { target: TargetId, via: Via },
}

impl Destination {
    pub fn target(&self) -> Option<&TargetId> {
        match self {
            Destination::OwnTarget { target, .. } | Destination::PeerTarget { target, .. } => {
                Some(target)
            }
            Destination::LedgerOwner => None,
        }
    }

    pub fn via(&self) -> Via {
        match self {
            Destination::LedgerOwner => Via::LedgerHop,
            Destination::OwnTarget { .. } => Via::SlotHop,
            Destination::PeerTarget { via, .. } => *via,
        }
    }
}
