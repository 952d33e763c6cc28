//! Limits the memory of kept answers by evicting the oldest first.

use std::collections::VecDeque;

use super::digest::KeyDigest;
use crate::prelude::*;

/// Identifies an entry of any own or adopted generation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct EntryId {
    pub(super) generation: Generation,
    pub(super) incarnation: Incarnation,
    pub(super) key: KeyDigest,
}

/// Tracks the bytes of kept answers and selects which to evict.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerBudget {
    bytes: usize,
    order: VecDeque<(EntryId, usize)>,
}

impl AnswerBudget {
    /// Reserves `cost` bytes for the answer of entry `id`. Returns the entries whose answers must
    /// be evicted so that all fit into `limit` bytes, or `None` if this answer alone exceeds it.
    pub(super) fn add(&mut self, id: EntryId, cost: usize, limit: usize) -> Option<Vec<EntryId>> {
        if limit < cost {
            return None;
        }
        let mut evicted = Vec::new();
        while limit < self.bytes + cost {
            let Some((oldest, freed)) = self.order.pop_front() else { break };
            self.bytes -= freed;
            evicted.push(oldest);
        }
        self.bytes += cost;
        self.order.push_back((id, cost));
        Some(evicted)
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Frees the bytes reserved for the entries that match `gone`.
    pub(super) fn release(&mut self, gone: impl Fn(&EntryId) -> bool) {
        let bytes = &mut self.bytes;
        self.order.retain(|(id, cost)| {
            let keep = !gone(id);
            if !keep {
                *bytes -= cost;
            }
            keep
        });
    }
}
