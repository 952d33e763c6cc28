//! Which objects each target still knows.
//!
//! A target that ran a request about an object runs the next one about it several times faster,
//! until others have pushed the object out: it forgets the one that was not asked for longest. A
//! host sees its own requests and is told of those of others, so it can keep the same order.

use std::collections::HashMap;

use super::{ObjectTag, TargetTag};

/// Objects that are remembered of one target: a bound on memory, 512 bytes a target. A target that
/// keeps more is taken to have forgotten the rest.
const HELD_MOST: usize = 128;

/// The objects of each target, the one that was asked for last at the end.
#[derive(Debug, Default)]
pub struct HeldObjects {
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
            held.remove(0);
        }
        held.push(object);
    }

    /// How many other objects were asked for there since this one; `None` if it never was.
    pub fn depth(&self, target: TargetTag, object: ObjectTag) -> Option<usize> {
        self.targets.get(&target)?.iter().rev().position(|it| *it == object)
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, is_known: impl Fn(TargetTag) -> bool) {
        self.targets.retain(|tag, _| is_known(*tag));
    }
}
