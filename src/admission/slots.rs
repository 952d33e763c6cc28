//! Slots of the targets that this host owns.

use std::collections::BTreeSet;

use crate::{base::invariant, prelude::*};

/// Concurrency at a target that this host only stands in for.
const PROVISIONAL_LIMIT: u32 = 1;

/// One slot in use; unique within a host.
pub type SlotId = u64;

/// A target that this host may send to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnedTarget {
    /// Another host owned it before, so its requests may still be running there.
    pub inherited: bool,
    /// The owner is silent and may be alive: one request at a time.
    pub provisional: bool,
    pub slots: u32,
    pub target: TargetId,
}

/// Counts what runs on each owned target.
#[derive(Debug)]
pub struct Slots {
    hold: Duration,
    next: SlotId,
    targets: BTreeMap<TargetId, TargetUsage>,
}

#[derive(Debug, Default)]
struct TargetUsage {
    /// The slot of a request that must run alone; nothing may start beside it.
    exclusive: Option<SlotId>,
    /// Since when this host owns it; reports taken earlier prove nothing.
    gained_at: Moment,
    /// Slots that a former owner's requests may still take, until `inherited_until`.
    inherited: u32,
    inherited_until: Moment,
    owned: bool,
    provisional: bool,
    running: BTreeSet<SlotId>,
    slots: u32,
}

impl Slots {
    /// Inherited requests count for `hold`: the longest time that one may run.
    pub fn new(hold: Duration) -> Self {
        Self { hold, next: 0, targets: BTreeMap::new() }
    }

    /// Replaces the set of owned targets. Requests in flight on a lost one are still counted.
    pub fn set_owned(&mut self, owned: &[OwnedTarget], now: Moment) {
        let before: BTreeSet<TargetId> = self
            .targets
            .iter()
            .filter(|(_, usage)| usage.owned)
            .map(|(id, _)| id.clone())
            .collect();
        for usage in self.targets.values_mut() {
            usage.owned = false;
        }
        for target in owned {
            let known = before.contains(&target.target);
            let usage = self.targets.entry(target.target.clone()).or_default();
            usage.gain(target, known, self.hold, now);
        }
        self.targets.retain(|_, usage| usage.owned || !usage.running.is_empty());
    }

    /// Takes a slot if fewer than `limit` and fewer than the target's slots are occupied.
    pub fn acquire(&mut self, target: &TargetId, limit: u32, now: Moment) -> Option<SlotId> {
        let usage = self.targets.get_mut(target)?;
        if usage.free(limit, now) == 0 {
            return None;
        }
        let slot = self.next;
        self.next += 1;
        usage.running.insert(slot);
        usage.check(target, now);
        Some(slot)
    }

    /// Takes a slot without asking whether one is free, to see the invariants fire.
    #[cfg(test)]
    pub(super) fn acquire_unchecked(&mut self, target: &TargetId, now: Moment) {
        let usage = self.targets.get_mut(target).expect("owned");
        usage.running.insert(SlotId::MAX);
        usage.check(target, now);
    }

    /// Takes the whole target for one request, if nothing runs there: for suspects of a crash,
    /// whose second crash must hit nobody else.
    pub fn acquire_exclusive(
        &mut self,
        target: &TargetId,
        limit: u32,
        now: Moment,
    ) -> Option<SlotId> {
        if self.occupied(target, now) != 0 {
            return None;
        }
        let slot = self.acquire(target, limit, now)?;
        self.targets.get_mut(target)?.exclusive = Some(slot);
        Some(slot)
    }

    /// Gives a slot back.
    pub fn release(&mut self, target: &TargetId, slot: SlotId, _now: Moment) {
        let Some(usage) = self.targets.get_mut(target) else {
            return invariant::hold(false, "slot-released-once", || format!("{target}: {slot}"));
        };
        let held = usage.running.remove(&slot);
        usage.exclusive = usage.exclusive.filter(|&exclusive| exclusive != slot);
        invariant::hold(held, "slot-released-once", || format!("{target}: {slot}"));
        if !usage.owned && usage.running.is_empty() {
            self.targets.remove(target);
        }
    }

    /// Slots that could be taken now.
    pub fn free(&self, target: &TargetId, limit: u32, now: Moment) -> u32 {
        self.targets.get(target).map_or(0, |usage| usage.free(limit, now))
    }

    /// This host's own requests in flight.
    pub fn in_flight(&self, target: &TargetId) -> u32 {
        self.targets.get(target).map_or(0, TargetUsage::in_flight)
    }

    /// Own requests in flight and those that a former owner may still have.
    pub fn occupied(&self, target: &TargetId, now: Moment) -> u32 {
        self.targets.get(target).map_or(0, |usage| usage.occupied(now))
    }

    /// Whether this host may send to the target.
    pub fn owns(&self, target: &TargetId) -> bool {
        self.targets.get(target).is_some_and(|usage| usage.owned)
    }

    /// A load report: `busy` slots in use when it was asked for at `taken`.
    ///
    /// One that was asked for before the target changed hands says nothing about it, and one that
    /// counts fewer than this host's own requests is wrong; both are ignored.
    pub fn apply_report(&mut self, target: &TargetId, busy: u32, taken: Moment) {
        let Some(usage) = self.targets.get_mut(target) else { return };
        if taken <= usage.gained_at || busy < usage.in_flight() {
            return;
        }
        usage.inherited = usage.inherited.min(busy);
    }
}

impl TargetUsage {
    fn gain(&mut self, target: &OwnedTarget, known: bool, hold: Duration, now: Moment) {
        let promoted = known && self.provisional && !target.provisional;
        self.owned = true;
        self.provisional = target.provisional;
        self.slots = target.slots;
        if known && !promoted {
            return;
        }
        self.gained_at = now;
        if target.inherited || promoted {
            self.inherited = target.slots.saturating_sub(self.in_flight());
            self.inherited_until = now + hold;
        }
    }

    fn check(&self, target: &TargetId, now: Moment) {
        let (occupied, slots) = (self.occupied(now), self.slots);
        invariant::hold(occupied <= slots, "slots-within-target", || {
            format!("{target}: {occupied} of {slots}")
        });
        let alone = self.exclusive.is_none() || self.running.len() == 1;
        invariant::hold(alone, "exclusive-slot-alone", || format!("{target}"));
    }

    fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    fn inherited(&self, now: Moment) -> u32 {
        if now < self.inherited_until { self.inherited } else { 0 }
    }

    fn occupied(&self, now: Moment) -> u32 {
        self.in_flight().saturating_add(self.inherited(now))
    }

    fn free(&self, limit: u32, now: Moment) -> u32 {
        if !self.owned || self.exclusive.is_some() {
            return 0;
        }
        let cap = if self.provisional { PROVISIONAL_LIMIT } else { self.slots };
        limit.min(cap).min(self.slots).saturating_sub(self.occupied(now))
    }
}
