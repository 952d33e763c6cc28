//! The generations of one incarnation.

use super::{
    BeginOutcome, RequestDigest,
    digest::KeyDigest,
    generation::{EntryState, GenerationTable},
    sealed::{SealedEntry, SealedGeneration, SealedHistory},
};
use crate::prelude::*;

/// Entries of one incarnation, by generation.
#[derive(Clone, Debug)]
pub(super) struct History {
    pub(super) generations: BTreeMap<Generation, GenerationTable>,
    pub(super) host: HostId,
    /// The highest generation that was issued in a binding.
    pub(super) newest: Generation,
}

/// What a history knows about a key.
pub(super) enum KeyStatus {
    /// The result of `Ledger::begin` is settled.
    Decided(BeginOutcome),
    /// The key was never used in this generation.
    New,
}

impl History {
    pub(super) fn new(host: HostId) -> Self {
        Self { generations: BTreeMap::new(), host, newest: 0 }
    }

    pub(super) fn find(
        &self,
        generation: Generation,
        key: &KeyDigest,
        body: &RequestDigest,
    ) -> KeyStatus {
        if self.newest < generation {
            return KeyStatus::Decided(BeginOutcome::UnknownBinding);
        }
        let Some(table) = self.generations.get(&generation) else {
            return KeyStatus::Decided(BeginOutcome::GenerationDropped);
        };
        match table.entries.get(key) {
            Some(entry) if entry.body != *body => KeyStatus::Decided(BeginOutcome::Conflict),
            Some(entry) => KeyStatus::Decided(entry.state.resend_outcome()),
            None if !table.complete => KeyStatus::Decided(BeginOutcome::GenerationDropped),
            None if table.closed => KeyStatus::Decided(BeginOutcome::Full),
            None => KeyStatus::New,
        }
    }

    pub(super) fn state_mut(
        &mut self,
        generation: Generation,
        key: &KeyDigest,
    ) -> Option<&mut EntryState> {
        let table = self.generations.get_mut(&generation)?;
        table.entries.get_mut(key).map(|entry| &mut entry.state)
    }

    pub(super) fn len(&self) -> usize {
        self.generations.values().map(|table| table.entries.len()).sum()
    }

    /// Drops the entries of expired generations, except those of running requests. Returns the
    /// numbers of the expired generations.
    pub(super) fn expire(&mut self, now: Moment) -> Vec<Generation> {
        let mut dropped = Vec::new();
        for (number, table) in &mut self.generations {
            if now < table.expires_at {
                continue;
            }
            table.drop_finished();
            dropped.push(*number);
        }
        self.generations.retain(|_, table| table.complete || !table.entries.is_empty());
        dropped
    }

    pub(super) fn seal(&self, incarnation: Incarnation, now: Moment) -> SealedHistory {
        let complete = self.generations.iter().filter(|(_, table)| table.complete);
        let generations = complete
            .map(|(number, table)| SealedGeneration {
                entries: table.sealed_entries(),
                left: table.expires_at.saturating_sub(now),
                number: *number,
            })
            .collect();
        SealedHistory { generations, host: self.host.clone(), incarnation, newest: self.newest }
    }

    /// Merges one generation of a stopped host. A known outcome replaces an unknown one, since
    /// copies of the same sealed ledger may arrive in any order.
    pub(super) fn merge(&mut self, sealed: SealedGeneration, now: Moment, max_retention: Duration) {
        let expires_at = now + sealed.left.min(max_retention);
        let table = self
            .generations
            .entry(sealed.number)
            .or_insert_with(|| GenerationTable::new(expires_at));
        for SealedEntry { body, key, state } in sealed.entries {
            let entry = super::generation::Entry { body, state: EntryState::from(state) };
            let old = table.entries.entry(key).or_insert_with(|| entry.clone());
            if matches!(old.state, EntryState::Unknown) {
                *old = entry;
            }
        }
    }
}
