//! What hosts know of the objects that targets have cached.

use std::collections::VecDeque;

use crate::placement::{CachedObjects, ObjectTag, TargetTag};

/// A request for an object that was sent to a target.
#[derive(Clone, Copy, Debug)]
struct Use {
    /// When the other hosts know of it, in milliseconds since the start.
    due: u64,
    host: usize,
    object: ObjectTag,
    target: TargetTag,
}

/// The uses that all hosts know, and for each host its own ones that are not reported yet. Keeping
/// the former once for all hosts lets the model run with hundreds of hosts.
#[derive(Debug)]
pub(super) struct KnownRuns {
    age_ms: u64,
    reported: CachedObjects,
    /// By host, the oldest first.
    unreported: Vec<VecDeque<(TargetTag, ObjectTag)>>,
    uses: VecDeque<Use>,
}

impl KnownRuns {
    /// Hosts that know the runs of the others after `age_ms` milliseconds.
    pub fn new(hosts: usize, age_ms: u64) -> Self {
        Self {
            age_ms,
            reported: CachedObjects::default(),
            unreported: vec![VecDeque::new(); hosts],
            uses: VecDeque::new(),
        }
    }

    /// Brings the knowledge to `now`, in milliseconds since the start.
    pub fn advance(&mut self, now: u64) {
        while let Some(it) = self.uses.front().copied().filter(|it| it.due <= now) {
            self.uses.pop_front();
            self.unreported[it.host].pop_front();
            self.reported.record_use(it.target, it.object);
        }
    }

    /// Records that a host sends a request to a target.
    pub fn record_use(&mut self, host: usize, target: TargetTag, object: ObjectTag, now: u64) {
        if self.age_ms == 0 {
            return self.reported.record_use(target, object);
        }
        self.uses.push_back(Use { due: now + self.age_ms, host, object, target });
        self.unreported[host].push_back((target, object));
    }

    /// LRU depth of the object at the target, as far as the host knows.
    pub fn depth(&self, host: usize, target: TargetTag, object: ObjectTag) -> Option<usize> {
        let own = self.unreported[host].iter().rev().filter(|(used, _)| *used == target);
        let own_depth = own.clone().position(|(_, used)| *used == object);
        own_depth.or_else(|| Some(self.reported.depth(target, object)? + own.count()))
    }

    /// Targets that received requests for the object, as far as the host knows.
    pub fn holders(&self, host: usize, object: ObjectTag) -> Vec<TargetTag> {
        let own = self.unreported[host].iter().filter(|(_, used)| *used == object);
        self.reported
            .holders(object)
            .iter()
            .copied()
            .chain(own.map(|(target, _)| *target))
            .collect()
    }
}
