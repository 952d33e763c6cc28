//! Size and retention limits of a ledger.

use crate::prelude::*;

/// Size and retention limits of one ledger.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerLimits {
    /// Maximum number of entries adopted from stopped hosts.
    pub adopted_entries: usize,
    /// Maximum bytes of kept answers. Beyond it, the oldest answers are dropped and only their
    /// status is kept.
    pub answer_bytes: usize,
    /// Maximum number of own entries in all generations. Beyond it, new keys are rejected without
    /// running.
    pub entries: usize,
    /// How long bindings are issued for a generation. Callers may use a binding beyond the max-age
    /// of its look-up response; it can be answered for up to `generation_age * generations` after
    /// the generation starts.
    pub generation_age: Duration,
    /// Number of generations kept, including the current one; values below 2 act as 2.
    pub generations: usize,
}

impl LedgerLimits {
    /// How long a generation is kept, from its start.
    pub(super) fn generation_lifetime(&self) -> Duration {
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
