//! Slots of the targets that this host owns. A slot is room for one request on a target.

use std::collections::BTreeSet;

use crate::{base::invariant, prelude::*};

/// Concurrency on a target that this host owns provisionally.
const PROVISIONAL_LIMIT: u32 = 1;

/// Identifies one slot in use; unique within a host.
pub type SlotId = u64;

/// A target that this host owns and may send requests to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnedTarget {
    /// Another host owned it before, and may still have requests running on it.
    pub inherited: bool,
    /// The actual owner cannot be reached but may be alive: this host runs one request at a time.
    pub provisional: bool,
    pub slots: u32,
    pub target: TargetId,
}

/// Counts the requests on each owned target.
#[derive(Debug)]
pub struct Slots {
    max_run_time: Duration,
    next: SlotId,
    targets: BTreeMap<TargetId, TargetUsage>,
}

#[derive(Debug, Default)]
struct TargetUsage {
    /// The slot of a request that must run alone; no other request may start meanwhile.
    exclusive: Option<SlotId>,
    /// When this host became the owner; load reports requested before are ignored.
    owned_since: Moment,
    /// Slots that requests of a former owner may still occupy, until `inherited_until`.
    inherited: u32,
    inherited_until: Moment,
    owned: bool,
    provisional: bool,
    in_use: BTreeSet<SlotId>,
    slots: u32,
}

impl Slots {
    /// Requests of a former owner are counted for `max_run_time`, the maximum run time of a
    /// request.
    pub fn new(max_run_time: Duration) -> Self {
        Self { max_run_time, next: 0, targets: BTreeMap::new() }
    }

    /// Replaces the set of owned targets. Requests in flight on targets that are no longer owned
    /// are still counted.
    pub fn set_owned(&mut self, owned: &[OwnedTarget], now: Moment) {
        let owned_before: BTreeSet<TargetId> = self
            .targets
            .iter()
            .filter(|(_, usage)| usage.owned)
            .map(|(id, _)| id.clone())
            .collect();
        for usage in self.targets.values_mut() {
            usage.owned = false;
        }
        for target in owned {
            let was_owned = owned_before.contains(&target.target);
            let usage = self.targets.entry(target.target.clone()).or_default();
            usage.take_ownership(target, was_owned, self.max_run_time, now);
        }
        self.targets.retain(|_, usage| usage.owned || !usage.in_use.is_empty());
    }

    /// Takes a slot if fewer than `limit` and fewer than the target's slots are occupied.
    pub fn acquire(&mut self, target: &TargetId, limit: u32, now: Moment) -> Option<SlotId> {
        let usage = self.targets.get_mut(target)?;
        if usage.free(limit, now) == 0 {
            return None;
        }
        let slot = self.next;
        self.next += 1;
        usage.in_use.insert(slot);
        usage.check_invariants(target, now);
        Some(slot)
    }

    /// Takes a slot without checking whether one is free, to break the invariants in tests.
    #[cfg(test)]
    pub(super) fn acquire_unchecked(&mut self, target: &TargetId, now: Moment) {
        let usage = self.targets.get_mut(target).expect("owned");
        usage.in_use.insert(SlotId::MAX);
        usage.check_invariants(target, now);
    }

    /// Takes the whole target for one request if none is running there. For requests suspected of
    /// crashing a target: a second crash must not affect other requests.
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

    /// Releases a slot.
    pub fn release(&mut self, target: &TargetId, slot: SlotId, _now: Moment) {
        let Some(usage) = self.targets.get_mut(target) else {
            return invariant::check(false, "slot-released-once", || format!("{target}: {slot}"));
        };
        let was_held = usage.in_use.remove(&slot);
        usage.exclusive = usage.exclusive.filter(|&exclusive| exclusive != slot);
        invariant::check(was_held, "slot-released-once", || format!("{target}: {slot}"));
        if !usage.owned && usage.in_use.is_empty() {
            self.targets.remove(target);
        }
    }

    /// Number of slots that can be taken now.
    pub fn free(&self, target: &TargetId, limit: u32, now: Moment) -> u32 {
        self.targets.get(target).map_or(0, |usage| usage.free(limit, now))
    }

    /// This host's own requests in flight.
    pub fn in_flight(&self, target: &TargetId) -> u32 {
        self.targets.get(target).map_or(0, TargetUsage::in_flight)
    }

    /// This host's requests in flight and those that a former owner may still have.
    pub fn occupied(&self, target: &TargetId, now: Moment) -> u32 {
        self.targets.get(target).map_or(0, |usage| usage.occupied(now))
    }

    /// Whether this host owns the target.
    pub fn owns(&self, target: &TargetId) -> bool {
        self.targets.get(target).is_some_and(|usage| usage.owned)
    }

    /// Applies a load report: `busy` slots were in use; the report was requested at `taken`.
    ///
    /// A report requested before this host became the owner may be outdated, and one with fewer
    /// slots in use than this host's own requests is wrong; both are ignored.
    pub fn apply_report(&mut self, target: &TargetId, busy: u32, taken: Moment) {
        let Some(usage) = self.targets.get_mut(target) else { return };
        if taken <= usage.owned_since || busy < usage.in_flight() {
            return;
        }
        usage.inherited = usage.inherited.min(busy);
    }
}

impl TargetUsage {
    fn take_ownership(
        &mut self,
        target: &OwnedTarget,
        was_owned: bool,
        max_run_time: Duration,
        now: Moment,
    ) {
        let promoted = was_owned && self.provisional && !target.provisional;
        self.owned = true;
        self.provisional = target.provisional;
        self.slots = target.slots;
        if was_owned && !promoted {
            return;
        }
        self.owned_since = now;
        if target.inherited || promoted {
            self.inherited = target.slots.saturating_sub(self.in_flight());
            self.inherited_until = now + max_run_time;
        }
    }

    fn check_invariants(&self, target: &TargetId, now: Moment) {
        let (occupied, slots) = (self.occupied(now), self.slots);
        invariant::check(occupied <= slots, "slots-within-target", || {
            format!("{target}: {occupied} of {slots}")
        });
        let is_alone = self.exclusive.is_none() || self.in_use.len() == 1;
        invariant::check(is_alone, "exclusive-slot-alone", || format!("{target}"));
    }

    fn in_flight(&self) -> u32 {
        u32::try_from(self.in_use.len()).unwrap_or(u32::MAX)
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
