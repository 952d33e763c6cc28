//! The entries of one generation.

use super::{
    BeginOutcome, KeptAnswer, RequestDigest,
    digest::KeyDigest,
    sealed::{SealedEntry, SealedState},
};
use crate::prelude::*;

/// What is known of one key.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) body: RequestDigest,
    pub(super) state: State,
}

/// How far a request has come.
#[derive(Clone, Debug)]
pub(super) enum State {
    Answered(Arc<KeptAnswer>),
    Fact(u16),
    NotRun,
    Running,
    Unknown,
}

impl State {
    /// What a resend is told.
    pub(super) fn begin(&self) -> BeginOutcome {
        match self {
            State::Answered(answer) => BeginOutcome::Kept(answer.clone()),
            State::Fact(status) => BeginOutcome::AnswerNotKept { status: *status },
            State::NotRun => BeginOutcome::Refused,
            State::Running => BeginOutcome::Running,
            State::Unknown => BeginOutcome::OutcomeUnknown,
        }
    }
}

/// Entries of one generation.
#[derive(Clone, Debug)]
pub(super) struct GenerationTable {
    /// Refused a key for want of room, and takes no other ever again: the caller whose key was
    /// refused takes a new binding, and a late copy of its request must not run under this one.
    pub(super) closed: bool,
    pub(super) entries: BTreeMap<KeyDigest, Entry>,
    /// From then on its whole content is dropped, but for what is still running.
    pub(super) expires: Moment,
    /// Cleared when dropped: a key that is not found is then unknown.
    pub(super) open: bool,
}

impl GenerationTable {
    pub(super) fn new(expires: Moment) -> Self {
        Self { closed: false, entries: BTreeMap::new(), expires, open: true }
    }

    /// Drops all but what is still running: those requests may yet be asked for, and a second
    /// `begin` of one of them must not find its key gone.
    pub(super) fn drop_settled(&mut self) {
        self.open = false;
        self.entries.retain(|_, entry| matches!(entry.state, State::Running));
    }

    pub(super) fn seal(&self) -> Vec<SealedEntry> {
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
