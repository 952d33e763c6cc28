//! How much a ledger holds, and for how long.

use crate::prelude::*;

/// Bounds of one ledger.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerLimits {
    /// Entries taken over from stopped hosts, in all.
    pub adopted_entries: usize,
    /// Bytes of kept answers, in all. Past it the oldest answers go and their facts stay.
    pub answer_bytes: usize,
    /// Own entries, in all generations. Past it new keys are refused as not run.
    pub entries: usize,
    /// How long a generation is the current one. Callers may use a binding for longer than its
    /// look-up's max-age; it stays answerable for `generation_age * generations`.
    pub generation_age: Duration,
    /// Generations kept, the current one included; at least 2.
    pub generations: usize,
}

impl LedgerLimits {
    /// How long a generation is kept from its start.
    pub(super) fn lifetime(&self) -> Duration {
        self.generation_age
            .saturating_mul(u32::try_from(self.generations.max(2)).unwrap_or(u32::MAX))
    }
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            adopted_entries: 400_000,
            answer_bytes: 32 << 20,
            entries: 200_000,
            generation_age: Duration::from_secs(600),
            generations: 3,
        }
    }
}
