//! What the ledger says when a request begins, and what it is told when the request ends.

use super::KeptAnswer;
use crate::prelude::*;

/// Whether a request may run. Only `Fresh` lets it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BeginOutcome {
    /// The key came with another body before: this one was not run.
    Conflict,
    /// The generation is gone: whether the request ran is unknown.
    GenerationDropped,
    /// The entry is made; the request may be sent, once, and `end` must be called once.
    Accepted,
    /// No room for another entry: not run, and never to be run under this binding.
    Full,
    /// It ran; this is its answer.
    Kept(Arc<KeptAnswer>),
    /// It ran and was answered with this status; the answer was not kept.
    AnswerNotKept { status: u16 },
    /// Told before that it was not run, and never to be run: an earlier copy that comes late must
    /// not make that untrue. Another try needs another key.
    Refused,
    /// It is running: wait for it.
    Running,
    /// This ledger takes no new keys any more, and knows all that it ever took: not run.
    Sealed,
    /// The binding is not of this ledger: whether the request ran is unknown here.
    UnknownBinding,
    /// It was sent, and how it ended is not known.
    OutcomeUnknown,
}

/// How a request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExecutionOutcome {
    /// The target ran it and answered.
    Answered(Arc<KeptAnswer>),
    /// Proven not to have run. The key is refused from then on.
    NotRun,
    /// It may have run.
    Unknown,
}
