//! The tags of all usable targets.

use std::collections::HashSet;

use super::UsableTargets;
use crate::placement::TargetTag;

/// Tags of the usable targets, collected again only after these have changed.
#[derive(Debug, Default)]
pub struct UsableTags {
    tags: HashSet<TargetTag>,
    targets: UsableTargets,
}

impl UsableTags {
    /// Collects the tags again if any list is another one than before.
    pub fn update(&mut self, targets: &UsableTargets) {
        let is_same = |(new, old): (&_, &_)| std::sync::Arc::ptr_eq(new, old);
        let is_unchanged = self.targets.len() == targets.len()
            && targets.values().zip(self.targets.values()).all(is_same);
        if is_unchanged {
            return;
        }
        self.targets.clone_from(targets);
        self.tags = targets.values().flat_map(|all| all.iter().map(|it| it.tag)).collect();
    }

    /// The tags.
    pub fn tags(&self) -> &HashSet<TargetTag> {
        &self.tags
    }
}
