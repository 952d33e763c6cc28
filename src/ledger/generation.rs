//! The entries of one generation.

use super::{
    BeginOutcome, KeptAnswer, RequestDigest,
    digest::KeyDigest,
    sealed::{SealedEntry, SealedState},
};
use crate::prelude::*;

/// What the ledger knows about one key.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// Digest of the request, to detect a key that is reused for another request.
    pub(super) body: RequestDigest,
    pub(super) state: EntryState,
}

/// State of the request that used a key.
#[derive(Clone, Debug)]
pub(super) enum EntryState {
    Answered(Arc<KeptAnswer>),
    /// Answered with this status; the answer was too large or was evicted.
    AnswerNotKept(u16),
    /// The request provably did not run.
    NotRun,
    Running,
    /// The request was sent, and its outcome is unknown.
    Unknown,
}

impl EntryState {
    /// Result of `Ledger::begin` for a resend of the same request.
    pub(super) fn resend_outcome(&self) -> BeginOutcome {
        match self {
            EntryState::Answered(answer) => BeginOutcome::Kept(answer.clone()),
            EntryState::AnswerNotKept(status) => BeginOutcome::AnswerNotKept { status: *status },
            EntryState::NotRun => BeginOutcome::Refused,
            EntryState::Running => BeginOutcome::Running,
            EntryState::Unknown => BeginOutcome::OutcomeUnknown,
        }
    }
}

/// Entries of one generation.
#[derive(Clone, Debug)]
pub(super) struct GenerationTable {
    /// Accepts no new keys, because one was rejected when the ledger was full. Never reset: the
    /// caller retries under a new binding, and a delayed copy of its first request must not run
    /// under this one as well.
    pub(super) closed: bool,
    pub(super) entries: BTreeMap<KeyDigest, Entry>,
    /// When all entries are dropped, except those of requests that are still running.
    pub(super) expires_at: Moment,
    /// Whether all accepted keys are still held. False once the generation has expired: whether a
    /// missing key was accepted is then unknown.
    pub(super) complete: bool,
}

impl GenerationTable {
    pub(super) fn new(expires_at: Moment) -> Self {
        Self { closed: false, entries: BTreeMap::new(), expires_at, complete: true }
    }

    /// Drops all entries except those of running requests: a resend of one of them must still find
    /// its key.
    pub(super) fn drop_finished(&mut self) {
        self.complete = false;
        self.entries.retain(|_, entry| matches!(entry.state, EntryState::Running));
    }

    pub(super) fn sealed_entries(&self) -> Vec<SealedEntry> {
        let entries = self.entries.iter();
        entries
            .map(|(key, entry)| SealedEntry {
                body: entry.body,
                key: *key,
                state: SealedState::from(&entry.state),
            })
            .collect()
    }
}
