//! All generations of one incarnation.

use super::{
    BeginOutcome, RequestDigest,
    digest::KeyDigest,
    generation::{GenerationTable, State},
    sealed::{SealedEntry, SealedGeneration, SealedHistory},
};
use crate::prelude::*;

/// What one incarnation has taken on, by generation.
#[derive(Clone, Debug)]
pub(super) struct History {
    pub(super) generations: BTreeMap<Generation, GenerationTable>,
    pub(super) host: HostId,
    /// The highest generation that was ever given out.
    pub(super) newest: Generation,
}

/// What a history knows of a key.
pub(super) enum Known {
    /// Nothing more is to be asked.
    Said(BeginOutcome),
    /// It never came before.
    Runnable,
}

impl History {
    pub(super) fn new(host: HostId) -> Self {
        Self { generations: BTreeMap::new(), host, newest: 0 }
    }

    pub(super) fn look(&self, number: Generation, key: &KeyDigest, body: &RequestDigest) -> Known {
        if self.newest < number {
            return Known::Said(BeginOutcome::UnknownBinding);
        }
        let Some(table) = self.generations.get(&number) else {
            return Known::Said(BeginOutcome::GenerationDropped);
        };
        match table.entries.get(key) {
            Some(entry) if entry.body != *body => Known::Said(BeginOutcome::Conflict),
            Some(entry) => Known::Said(entry.state.begin()),
            None if !table.open => Known::Said(BeginOutcome::GenerationDropped),
            None if table.closed => Known::Said(BeginOutcome::Full),
            None => Known::Runnable,
        }
    }

    pub(super) fn state_mut(&mut self, number: Generation, key: &KeyDigest) -> Option<&mut State> {
        let table = self.generations.get_mut(&number)?;
        table.entries.get_mut(key).map(|entry| &mut entry.state)
    }

    pub(super) fn len(&self) -> usize {
        self.generations.values().map(|table| table.entries.len()).sum()
    }

    /// Drops the generations whose time is over. Gives the numbers of those that are gone.
    pub(super) fn expire(&mut self, now: Moment) -> Vec<Generation> {
        let mut dropped = Vec::new();
        for (number, table) in &mut self.generations {
            if now < table.expires {
                continue;
            }
            table.drop_settled();
            dropped.push(*number);
        }
        self.generations.retain(|_, table| table.open || !table.entries.is_empty());
        dropped
    }

    pub(super) fn seal(&self, incarnation: Incarnation, now: Moment) -> SealedHistory {
        let open = self.generations.iter().filter(|(_, table)| table.open);
        let generations = open
            .map(|(number, table)| SealedGeneration {
                entries: table.seal(),
                left: table.expires.saturating_sub(now),
                number: *number,
            })
            .collect();
        SealedHistory { generations, host: self.host.clone(), incarnation, newest: self.newest }
    }

    /// Takes over one generation of a stopped host. What is settled beats what is not known:
    /// copies of the same sealed ledger may come in any order.
    pub(super) fn merge(&mut self, sealed: SealedGeneration, now: Moment, most: Duration) {
        let expires = now + sealed.left.min(most);
        let table =
            self.generations.entry(sealed.number).or_insert_with(|| GenerationTable::new(expires));
        for SealedEntry { body, key, state } in sealed.entries {
            let entry = super::generation::Entry { body, state: State::from(state) };
            let old = table.entries.entry(key).or_insert_with(|| entry.clone());
            if matches!(old.state, State::Unknown) {
                *old = entry;
            }
        }
    }
}
