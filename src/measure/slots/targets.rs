//! The true load of each target, and the slots of each group of targets.

use super::{line::Sent, names::NameId};
use crate::prelude::*;

/// The targets of a service in a region.
pub type Group = (NameId, NameId);

/// Slots and requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    pub slots: u64,
    /// Slots that are busy.
    pub used: u64,
    /// Requests at targets whose slots are all busy, beyond the slots.
    pub waiting: u64,
}

/// What was true of a target when a request was sent to it.
#[derive(Clone, Copy, Debug)]
pub struct Judgement {
    /// Another target of its service and region had a free slot.
    pub has_free_elsewhere: bool,
    pub is_full: bool,
    /// Requests at the target without this one.
    pub running: u32,
}

/// A change of a service's load.
#[derive(Clone, Copy, Debug)]
pub struct LoadChange {
    pub after: Load,
    pub before: Load,
    pub service: NameId,
}

/// A target counts from the first request sent to it until the last one has ended.
#[derive(Clone, Copy, Debug)]
struct Target {
    group: Group,
    /// Whether it was reached when an attempt last ended; a target that was not has no free slot.
    is_reached: bool,
    running: u32,
    slots: u32,
    /// Number of requests that are still to be sent to it.
    to_come: u32,
}

/// All targets.
#[derive(Debug, Default)]
pub struct Targets {
    groups: BTreeMap<Group, Load>,
    targets: BTreeMap<NameId, Target>,
    to_come: BTreeMap<NameId, u32>,
}

impl Targets {
    /// Takes the attempts that will be reported to `begin`.
    pub fn new(attempts: &[Sent]) -> Self {
        let mut targets = Self::default();
        for sent in attempts {
            *targets.to_come.entry(sent.target).or_default() += 1;
        }
        targets
    }

    /// Whether a target of this group has a free slot.
    pub fn has_free_slot(&self, group: Group) -> bool {
        self.groups.get(&group).is_some_and(|load| 0 < load.free())
    }

    /// Judges a request that is sent, without counting it.
    pub fn judge(&self, sent: &Sent) -> Judgement {
        let target = self.targets.get(&sent.target);
        let running = target.map_or(0, |target| target.running);
        let group = self.groups.get(&sent.group()).copied().unwrap_or_default();
        let own = target.filter(|target| target.group == sent.group()).map(Target::load);
        let has_free_elsewhere = own.unwrap_or_default().free() < group.free();
        Judgement { has_free_elsewhere, is_full: sent.slots <= running, running }
    }

    /// Counts a request that is sent.
    pub fn begin(&mut self, sent: &Sent) -> [LoadChange; 2] {
        let to_come = self.to_come.get(&sent.target).copied().unwrap_or_default();
        let new = Target {
            group: sent.group(),
            is_reached: true,
            running: 0,
            slots: sent.slots,
            to_come,
        };
        let old = self.targets.get(&sent.target).copied();
        let mut target = old.unwrap_or(new);
        target.group = sent.group();
        target.running += 1;
        target.slots = sent.slots;
        target.to_come = target.to_come.saturating_sub(1);
        self.replace(sent.target, old, target)
    }

    /// Counts the end of an attempt.
    pub fn end(&mut self, sent: &Sent, reached: Option<bool>) -> [LoadChange; 2] {
        let old = self.targets.get(&sent.target).copied();
        let mut target = old.expect("an attempt begins before it ends");
        target.running -= 1;
        target.is_reached = reached.unwrap_or(target.is_reached);
        self.replace(sent.target, old, target)
    }

    /// Replaces a target; a target that changes its group changes the load of two.
    fn replace(&mut self, id: NameId, old: Option<Target>, new: Target) -> [LoadChange; 2] {
        self.targets.insert(id, new);
        let old_group = old.map_or(new.group, |old| old.group);
        let removed = old.map(|old| old.load()).unwrap_or_default();
        [
            self.change(old_group, removed, Load::default()),
            self.change(new.group, Load::default(), new.load()),
        ]
    }

    fn change(&mut self, group: Group, before: Load, after: Load) -> LoadChange {
        let load = self.groups.entry(group).or_default();
        *load = load.replace(before, after);
        LoadChange { after, before, service: group.0 }
    }
}

impl Target {
    fn load(&self) -> Load {
        let slots = u64::from(self.slots);
        let running = u64::from(self.running);
        let used = running.min(slots);
        let is_gone = self.to_come == 0 && self.running == 0;
        let slots = if is_gone || !self.is_reached { used } else { slots };
        Load { slots, used, waiting: running - used }
    }
}

impl Load {
    /// Slots that are free.
    pub fn free(&self) -> u64 {
        self.slots - self.used
    }

    /// This sum with the part `before` replaced by `after`.
    pub fn replace(self, before: Self, after: Self) -> Self {
        Self {
            slots: self.slots - before.slots + after.slots,
            used: self.used - before.used + after.used,
            waiting: self.waiting - before.waiting + after.waiting,
        }
    }
}

impl Sent {
    /// The targets that the chosen one belongs to.
    pub fn group(&self) -> Group {
        (self.service, self.region)
    }
}
