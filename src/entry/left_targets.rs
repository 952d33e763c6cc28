//! Targets that left before the store was restored from a copy that may list them as ready.

use super::TargetEntry;
use crate::prelude::*;

/// Time after a restore of the store for which a target whose entry was gone, and is listed by the
/// copy, is not used. The entry of a target that no longer writes lapses within it.
const RESTORED_LEAVE_GRACE: Duration = Duration::from_secs(10);

/// Time for which a removed entry is remembered: longer than copies of the store are old.
const REMOVAL_RETENTION: Duration = Duration::from_secs(30);

/// A target that left. An entry of the same start that says otherwise comes from the copy.
#[derive(Clone, Debug)]
struct LeftTarget {
    started: u64,
    /// Until when entries are not believed; `None` until the target starts again.
    until: Option<Moment>,
    /// The entry that was not believed.
    withheld: Option<(TargetEntry, RegionId)>,
}

/// Targets that left, and removed entries that may come back with a copy.
#[derive(Debug, Default)]
pub struct LeftTargets {
    left: BTreeMap<TargetId, LeftTarget>,
    /// Entries that were removed lately: the start of the target, and when that was.
    removed: BTreeMap<TargetId, (u64, Moment)>,
}

impl LeftTargets {
    /// Records that the entry of a target was removed.
    pub fn record_removal(&mut self, entry: &TargetEntry, now: Moment) {
        self.removed.insert(entry.id.clone(), (entry.started, now));
    }

    /// Records that the store was restored. `draining` are the known targets that are not ready.
    pub fn store_restored<'a>(
        &mut self,
        draining: impl Iterator<Item = &'a TargetEntry>,
        now: Moment,
    ) {
        for entry in draining {
            let left = LeftTarget { started: entry.started, until: None, withheld: None };
            self.left.insert(entry.id.clone(), left);
        }
        for (id, (started, _)) in std::mem::take(&mut self.removed) {
            let until = Some(now + RESTORED_LEAVE_GRACE);
            self.left.entry(id).or_insert(LeftTarget { started, until, withheld: None });
        }
    }

    /// Returns a received entry, not ready if its target left before the store was restored.
    pub fn check(&mut self, mut entry: TargetEntry, region: &RegionId) -> TargetEntry {
        self.removed.remove(&entry.id);
        let Some(left) = self.left.get_mut(&entry.id) else { return entry };
        if left.started != entry.started {
            self.left.remove(&entry.id);
        } else if entry.ready {
            left.withheld = Some((entry.clone(), region.clone()));
            entry.ready = false;
        }
        entry
    }

    /// Forgets what no longer matters. Returns the entries that are believed from now on.
    pub fn expire(
        &mut self,
        is_listed: impl Fn(&TargetId) -> bool,
        now: Moment,
    ) -> Vec<(TargetEntry, RegionId)> {
        self.removed.retain(|_, (_, at)| now.saturating_sub(*at) < REMOVAL_RETENTION);
        let mut believed = Vec::new();
        self.left.retain(|id, left| match left.until {
            Some(until) if until <= now => {
                believed.extend(left.withheld.take());
                false
            }
            Some(_) => true,
            None => is_listed(id),
        });
        believed
    }
}
