//! Bytes of kept answers, oldest first.

use std::collections::VecDeque;

use super::digest::KeyDigest;
use crate::prelude::*;

/// Where an entry stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Place {
    pub(super) generation: Generation,
    pub(super) incarnation: Incarnation,
    pub(super) key: KeyDigest,
}

/// Counts the bytes of kept answers and says which must go.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerBudget {
    bytes: usize,
    order: VecDeque<(Place, usize)>,
}

impl AnswerBudget {
    /// Takes `cost` bytes for the answer at `place` and gives the places of the answers that have
    /// to go so that all fit into `limit`, or `None` when this answer alone is too large.
    pub(super) fn add(&mut self, place: Place, cost: usize, limit: usize) -> Option<Vec<Place>> {
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
        self.order.push_back((place, cost));
        Some(evicted)
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Gives back what the places that `gone` names have taken.
    pub(super) fn release(&mut self, gone: impl Fn(&Place) -> bool) {
        let bytes = &mut self.bytes;
        self.order.retain(|(place, cost)| {
            let keep = !gone(place);
            if !keep {
                *bytes -= cost;
            }
            keep
        });
    }
}
