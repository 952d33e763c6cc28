//! When learned values are written to the store, and by which host.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{LearnedState, name_tag};
use crate::prelude::*;

/// Minimum time between two writes of a host, and from its start to its first write. A host that
/// has just started does not know the others yet and would write next to them.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(30);

/// Schedule of one host's writes.
#[derive(Clone, Debug)]
pub struct LearnedWrites {
    not_before: Moment,
    /// What the store holds, as far as this host knows.
    stored: LearnedState,
}

impl LearnedWrites {
    /// Creates the schedule of a host that starts now.
    pub fn new(now: Moment) -> Self {
        Self { not_before: now + MIN_WRITE_INTERVAL, stored: LearnedState::default() }
    }

    /// Records what the store holds, after a read or a write.
    pub fn record_stored(&mut self, stored: LearnedState) {
        self.stored = stored;
    }

    /// Records that a write begins, whether it succeeds or not.
    pub fn record_attempt(&mut self, now: Moment) {
        self.not_before = now + MIN_WRITE_INTERVAL;
    }

    /// What is to be written now; `None` if no write is due. `measured` is what this host has
    /// measured. Services that it has not measured keep the values that were read, as long as these
    /// may be used. `now_ms` is the wall-clock time.
    pub fn due(
        &self,
        measured: &LearnedState,
        is_known: impl Fn(&ServiceId) -> bool,
        now_ms: u64,
        now: Moment,
    ) -> Option<LearnedState> {
        if now < self.not_before {
            return None;
        }
        let mut state = measured.clone();
        state.services.retain(|name, _| is_known(name));
        state.services.values_mut().for_each(|service| service.measured_ms = now_ms);
        let mut services = state.services.iter();
        let has_changed = services.any(|(name, service)| {
            self.stored.services.get(name).is_none_or(|stored| service.differs_from(stored))
        });
        if !has_changed {
            return None;
        }
        state.add_missing(&self.stored, is_known, now_ms);
        Some(state)
    }
}

/// Whether a host writes for its region: the first by rendezvous hash among it and its `rivals`, the
/// other hosts of the region that could write. No message is needed for that.
pub fn is_learned_writer<'a>(
    region: &RegionId,
    host: &HostId,
    mut rivals: impl Iterator<Item = &'a HostId>,
) -> bool {
    let seed = u64::from(name_tag(region));
    let weight = |host: &HostId| xxh3_64_with_seed(host.as_bytes(), seed);
    let own = (weight(host), host);
    rivals.all(|rival| (weight(rival), rival) < own)
}
