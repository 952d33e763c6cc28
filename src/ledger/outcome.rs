//! Results of `Ledger::begin`, and the outcomes that are reported to `Ledger::end`.

use super::KeptAnswer;
use crate::prelude::*;

/// Whether a request may run. It may only on `Accepted`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BeginOutcome {
    /// The key was used before with a different request; this request was not run.
    Conflict,
    /// The generation was dropped, so whether the request ran is unknown.
    GenerationDropped,
    /// The entry is recorded. The request may be sent once, and `Ledger::end` must be called once.
    Accepted,
    /// The ledger has no room for another entry. The request was not run and never will be under
    /// this binding.
    Full,
    /// The request ran and this is its answer.
    Kept(Arc<KeptAnswer>),
    /// The request ran and was answered with this status, but the answer was not kept.
    AnswerNotKept { status: u16 },
    /// The caller was told that the request did not run. The key stays refused, so that a delayed
    /// copy cannot run and make that report false. A retry needs a new key.
    Refused,
    /// The request is running; wait for its end.
    Running,
    /// The ledger no longer accepts new keys and holds all keys that it accepted, so the request
    /// was not run.
    Sealed,
    /// The binding does not belong to this ledger, so whether the request ran is unknown here.
    UnknownBinding,
    /// The request was sent, and its outcome is unknown.
    OutcomeUnknown,
}

/// How a request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExecutionOutcome {
    /// The target ran it and answered.
    Answered(Arc<KeptAnswer>),
    /// The request provably did not run. The key is refused from then on.
    NotRun,
    /// The request may have run.
    Unknown,
}
