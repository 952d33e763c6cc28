//! Which objects each target still knows.
//!
//! A target that ran a request about an object runs the next one about it several times faster,
//! until others have pushed the object out: it forgets the one that was not asked for longest. A
//! host sees its own requests and is told of those of others, so it can keep the same order.

use std::collections::HashMap;

use super::{ObjectTag, TargetTag};
use crate::prelude::*;

/// Objects that are remembered of one target: a bound on memory, 1 KiB a target. A target that
/// keeps more is taken to have forgotten the rest.
const HELD_MOST: usize = 128;

/// Time for which the objects of a target that is not usable are remembered: longer than most
/// evacuations.
const HELD_WHILE_UNUSABLE: Duration = Duration::from_secs(30);

/// The objects of each target, the one that was asked for last at the end.
#[derive(Debug, Default)]
pub struct CachedObjects {
    /// The targets that each object was asked for at, as `targets` has it.
    holders: HashMap<ObjectTag, Vec<TargetTag>>,
    targets: HashMap<TargetTag, Vec<ObjectTag>>,
    /// Since when targets have not been usable.
    unusable: HashMap<TargetTag, Moment>,
}

impl CachedObjects {
    /// A request about the object went to the target.
    pub fn record_use(&mut self, target: TargetTag, object: ObjectTag) {
        let held = self.targets.entry(target).or_default();
        if let Some(at) = held.iter().rposition(|it| *it == object) {
            held[at..].rotate_left(1);
            return;
        }
        if held.len() == HELD_MOST {
            let forgotten = held.remove(0);
            release(&mut self.holders, forgotten, target);
        }
        held.push(object);
        self.holders.entry(object).or_default().push(target);
    }

    /// The targets that were asked for the object and may still know it.
    pub fn holders(&self, object: ObjectTag) -> &[TargetTag] {
        self.holders.get(&object).map_or(&[], Vec::as_slice)
    }

    /// How many other objects were asked for there since this one; `None` if it never was.
    pub fn depth(&self, target: TargetTag, object: ObjectTag) -> Option<usize> {
        if !self.holders(object).contains(&target) {
            return None;
        }
        self.targets.get(&target)?.iter().rev().position(|it| *it == object)
    }

    /// Forgets targets that have not been usable for a while.
    ///
    /// A zone is evacuated and taken back, and its targets still know what they knew. Forgotten at
    /// once, they would be left idle after their return, since others know their objects by then.
    pub fn retain(&mut self, is_usable: impl Fn(TargetTag) -> bool, now: Moment) {
        self.unusable.retain(|tag, _| !is_usable(*tag));
        for tag in self.targets.keys().copied().filter(|tag| !is_usable(*tag)) {
            self.unusable.entry(tag).or_insert(now);
        }
        let is_gone = |since: &Moment| HELD_WHILE_UNUSABLE <= now.saturating_sub(*since);
        let gone = self.unusable.iter().filter(|(_, since)| is_gone(since));
        let gone: Vec<TargetTag> = gone.map(|(tag, _)| *tag).collect();
        for target in gone {
            self.unusable.remove(&target);
            for object in self.targets.remove(&target).unwrap_or_default() {
                release(&mut self.holders, object, target);
            }
        }
    }
}

fn release(holders: &mut HashMap<ObjectTag, Vec<TargetTag>>, object: ObjectTag, target: TargetTag) {
    let Some(of) = holders.get_mut(&object) else { return };
    of.retain(|it| *it != target);
    if of.is_empty() {
        holders.remove(&object);
    }
}
