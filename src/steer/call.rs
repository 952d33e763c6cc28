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
    /// The attempt under way, if any.
    pub current: Option<AttemptId>,
    /// Counted against the cap for callers whose own hosts are gone.
    pub direct: bool,
    /// Told to this host's own ledger, which must learn how it ends.
    pub in_ledger: bool,
    pub kind: ServiceKind,
    /// The last reason why it was not served.
    pub last_error: Option<ErrorKind>,
    pub queued: bool,
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
}

/// One attempt: where it went and what it holds.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub call: super::CallId,
    pub place: Place,
}

/// Where an attempt went.
#[derive(Clone, Debug)]
pub(super) enum Place {
    /// To a target of this host, in the given slot.
    Own { slot: SlotId, target: TargetId },
    /// To the owner of the binding.
    Owner,
    /// To another host, in the hope of that target.
    Peer { target: TargetId },
}

impl Place {
    pub fn target(&self) -> Option<&TargetId> {
        match self {
            Place::Own { target, .. } | Place::Peer { target } => Some(target),
            Place::Owner => None,
        }
    }

    pub fn via(&self) -> Via {
        match self {
            Place::Owner => Via::LedgerHop,
            Place::Own { .. } | Place::Peer { .. } => Via::SlotHop,
        }
    }
}
