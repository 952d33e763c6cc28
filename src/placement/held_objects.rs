//! Which objects each target still knows.
//!
//! A target that ran a request about an object runs the next one about it several times faster,
//! until others have pushed the object out: it forgets the one that was not asked for longest. A
//! host sees its own requests and is told of those of others, so it can keep the same order.

use std::collections::HashMap;

use super::{ObjectTag, TargetTag};

/// Objects that are remembered of one target: a bound on memory, 1 KiB a target. A target that
/// keeps more is taken to have forgotten the rest.
const HELD_MOST: usize = 128;

/// The objects of each target, the one that was asked for last at the end.
#[derive(Debug, Default)]
pub struct HeldObjects {
    /// The targets that each object was asked for at, as `targets` has it.
    holders: HashMap<ObjectTag, Vec<TargetTag>>,
    targets: HashMap<TargetTag, Vec<ObjectTag>>,
}

impl HeldObjects {
    /// A request about the object went to the target.
    pub fn touched(&mut self, target: TargetTag, object: ObjectTag) {
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

    /// Forgets targets that are gone.
    pub fn retain(&mut self, is_known: impl Fn(TargetTag) -> bool) {
        let gone: Vec<TargetTag> =
            self.targets.keys().copied().filter(|tag| !is_known(*tag)).collect();
        for target in gone {
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
