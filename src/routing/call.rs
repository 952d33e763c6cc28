//! One request while this host is busy with it.

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
    /// The head of an answer is on its way to the caller: no other attempt may follow.
    pub begun: bool,
    /// Counted against the cap for callers whose own hosts are gone.
    pub direct: bool,
    /// A second attempt beside a slow one was made, or weighed and found to be unwise.
    pub hedged: bool,
    /// Told to this host's own ledger, which must learn how it ends.
    pub in_ledger: bool,
    /// The beginning of a file has gone to the caller: only the rest may follow.
    pub interrupted: bool,
    pub kind: ServiceKind,
    /// The last reason why it was not served.
    pub last_error: Option<ErrorKind>,
    /// From then on a booking is not sent to a target, and nothing waits for a slot.
    pub latest_start: Moment,
    pub queued: bool,
    /// The attempts under way: one, or two while a hedge runs.
    pub running: Vec<AttemptId>,
    pub shift_cap: Share,
    /// A shift was counted against the home region's cap for the attempt under way.
    pub shifted: bool,
    pub timeout: Duration,
    /// A shift was tried for it.
    pub tried_away: bool,
    pub tried: Vec<TargetId>,
    /// Why it cannot run by this host's manifest; only its ledger is asked.
    pub unfit: Option<ErrorKind>,
    /// Waits for another call with the same binding and key.
    pub waiting: bool,
}

impl Call {
    pub fn is_booking(&self) -> bool {
        !self.kind.is_repeatable()
    }

    /// Whether a caller at home sent it here, and it may run more than once. Other reads are the
    /// first host's to hedge, or run where spare slots are scarce.
    pub fn is_home_read(&self) -> bool {
        let away = self.direct || self.shifted;
        self.arrival.via == Via::Caller && !self.is_booking() && !away
    }

    /// Takes an ended attempt off; false if it was not one of this call's.
    pub fn end_attempt(&mut self, attempt: AttemptId) -> bool {
        let before = self.running.len();
        self.running.retain(|running| *running != attempt);
        self.running.len() < before
    }
}

/// Longest time that is kept for the run and for the answer's way back.
const MAX_RESERVE: Duration = Duration::from_millis(500);

/// Part of a request's time that is kept for them where that is less.
const RESERVE_PART: u32 = 8;

/// When a request that came now is no longer to be sent to a target. One that starts in its last
/// moments runs for a caller that has hung up, and all that anybody hears is `unknown`; refused a
/// little earlier, it is proven not to have run, and the caller hears that in time.
pub(super) fn latest_start(deadline: Moment, now: Moment) -> Moment {
    let left = deadline.saturating_sub(now);
    deadline.saturating_sub(MAX_RESERVE.min(left / RESERVE_PART))
}

/// One attempt: where it went and what it holds.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub call: super::CallId,
    /// The first one of its call.
    pub first: bool,
    pub place: Place,
    pub since: Moment,
}

/// Where an attempt went.
#[derive(Clone, Debug)]
pub(super) enum Place {
    /// To a target of this host, in the given slot.
    Own { slot: SlotId, target: TargetId },
    /// To the owner of the binding.
    Owner,
    /// To another host, in the hope of that target.
    Peer { target: TargetId, via: Via },
}

impl Place {
    pub fn target(&self) -> Option<&TargetId> {
        match self {
            Place::Own { target, .. } | Place::Peer { target, .. } => Some(target),
            Place::Owner => None,
        }
    }

    pub fn via(&self) -> Via {
        match self {
            Place::Owner => Via::LedgerHop,
            Place::Own { .. } => Via::SlotHop,
            Place::Peer { via, .. } => *via,
        }
    }
}
