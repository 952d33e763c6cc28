//! Model of the objects that each target has cached.
//!
//! A target that ran a request about an object runs the next one about it several times faster,
//! until the object is evicted. Targets evict the least recently used object. A host knows its own
//! requests and receives reports on those of others, so it can maintain the same LRU order.

use std::collections::HashMap;

use super::{ObjectTag, TargetTag};
use crate::prelude::*;

/// Maximum number of objects recorded for one target; limits memory to 1 KiB a target. A target
/// that caches more is assumed to have evicted the rest.
const MAX_OBJECTS_PER_TARGET: usize = 128;

/// Time for which the objects of an unusable target are kept; longer than most evacuations.
const UNUSABLE_RETENTION: Duration = Duration::from_secs(30);

/// The cached objects of all targets, in LRU order with the most recently used one last.
#[derive(Debug, Default)]
pub struct CachedObjects {
    /// Reverse index of `targets`: the targets that have each object.
    holders: HashMap<ObjectTag, Vec<TargetTag>>,
    targets: HashMap<TargetTag, Vec<ObjectTag>>,
    /// Since when each unusable target has been so.
    unusable_since: HashMap<TargetTag, Moment>,
}

impl CachedObjects {
    /// Records that a request about the object was sent to the target.
    pub fn record_use(&mut self, target: TargetTag, object: ObjectTag) {
        let objects = self.targets.entry(target).or_default();
        if let Some(position) = objects.iter().rposition(|it| *it == object) {
            objects[position..].rotate_left(1);
            return;
        }
        if objects.len() == MAX_OBJECTS_PER_TARGET {
            let evicted = objects.remove(0);
            remove_holder(&mut self.holders, evicted, target);
        }
        objects.push(object);
        self.holders.entry(object).or_default().push(target);
    }

    /// The targets that received requests for the object and may still have it cached.
    pub fn holders(&self, object: ObjectTag) -> &[TargetTag] {
        self.holders.get(&object).map_or(&[], Vec::as_slice)
    }

    /// LRU depth of the object at the target: how many other objects were requested there since.
    /// `None` if no request for it is recorded.
    pub fn depth(&self, target: TargetTag, object: ObjectTag) -> Option<usize> {
        if !self.holders(object).contains(&target) {
            return None;
        }
        self.targets.get(&target)?.iter().rev().position(|it| *it == object)
    }

    /// Removes targets that have been unusable for `UNUSABLE_RETENTION`.
    ///
    /// When an evacuated zone is taken back, its targets still have their objects cached. If they
    /// were removed at once, they would stay idle after their return, since other targets have
    /// cached their objects by then.
    pub fn retain(&mut self, is_usable: impl Fn(TargetTag) -> bool, now: Moment) {
        self.unusable_since.retain(|tag, _| !is_usable(*tag));
        for tag in self.targets.keys().copied().filter(|tag| !is_usable(*tag)) {
            self.unusable_since.entry(tag).or_insert(now);
        }
        let is_expired = |since: &Moment| UNUSABLE_RETENTION <= now.saturating_sub(*since);
        let expired = self.unusable_since.iter().filter(|(_, since)| is_expired(since));
        let expired: Vec<TargetTag> = expired.map(|(tag, _)| *tag).collect();
        for target in expired {
            self.unusable_since.remove(&target);
            for object in self.targets.remove(&target).unwrap_or_default() {
                remove_holder(&mut self.holders, object, target);
            }
        }
    }
}

fn remove_holder(
    holders: &mut HashMap<ObjectTag, Vec<TargetTag>>,
    object: ObjectTag,
    target: TargetTag,
) {
    let Some(targets) = holders.get_mut(&object) else { return };
    targets.retain(|it| *it != target);
    if targets.is_empty() {
        holders.remove(&object);
    }
}
