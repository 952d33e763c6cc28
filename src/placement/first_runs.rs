//! Rations first runs: requests that are sent to a target which does not have their object cached.
//!
//! Load pattern: for several seconds there are more requests than slots. A request that finds the
//! targets with its object busy goes to another target, occupies a slot there several times as long
//! and evicts another object, whose next request then does the same.
//!
//! While a region has room, first runs are unlimited. During a shortage, only an object that no
//! target has cached gets a first run, at its primary target once a slot is free there. A small part
//! of the slots stays open to other first runs, so that no object is left out for good.

use std::collections::HashMap;

use super::ObjectTag;
use crate::prelude::*;

/// Utilization from which a region is short of room: half of the requests for a target of three
/// slots then find all of them busy, and start to look for another one.
const SHORTAGE_UTILIZATION: f64 = 0.7;

/// Free slots that a target needs for a first run under `FirstRunRule::SpareSlots`: one is used, and
/// one is left.
const SPARE_SLOTS: f64 = 2.0;

/// Fraction of a region's slots that stays open to first runs during a shortage.
const MIN_FRACTION: f64 = 0.1;

/// First runs that may be saved up. A host with few requests would otherwise never collect the slot
/// time of a single one.
const MAX_SAVED_RUNS: f64 = 2.0;

/// Number of denied objects that are counted; limits memory to a few KiB a service and region.
const MAX_DENIED_OBJECTS: usize = 256;

/// Which first runs are allowed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum FirstRunRule {
    #[default]
    Unlimited,
    /// Only those of objects that no target has cached, at a free slot of the primary target.
    FillsOnly,
    /// The same, and others at targets that keep a slot free for requests for their own objects. For
    /// decisions by exact counts: such slots are idle, since nobody asks for what the target has.
    SpareSlots,
}

impl FirstRunRule {
    /// Whether a first run is denied at a target with `load` requests in flight, unless it is to fill
    /// the primary target's cache.
    pub(super) fn denies(self, load: f64, slots: u32) -> bool {
        match self {
            Self::Unlimited => false,
            Self::FillsOnly => true,
            Self::SpareSlots => f64::from(slots) < load + SPARE_SLOTS,
        }
    }
}

/// Use of a region's slots of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlotUse {
    pub busy: f64,
    pub slots: f64,
}

impl SlotUse {
    /// Adds a target with requests in flight there; those that wait occupy no slot.
    pub fn add_target(&mut self, slots: u32, in_flight: f64) {
        let slots = f64::from(slots);
        self.slots += slots;
        self.busy += in_flight.min(slots);
    }

    /// Fraction of the slots that are busy.
    pub fn utilization(self) -> f64 {
        if self.slots <= 0.0 { 1.0 } else { self.busy / self.slots }
    }
}

/// Budget of one service's first runs in one region, for the part of the requests that one host
/// places.
#[derive(Clone, Debug, Default)]
pub struct FirstRunBudget {
    /// Refusals of each object since its last first run.
    denied: HashMap<ObjectTag, u32>,
    rule: FirstRunRule,
    /// Slot time that may be used, in seconds.
    saved_secs: f64,
    updated_at: Moment,
}

impl FirstRunBudget {
    /// Updates the rule, and adds the slot time since the last call. `part` is the fraction of the
    /// region's requests that this host places, and `run` the slot time of a first run.
    pub fn update(&mut self, slot_use: SlotUse, part: f64, run: Duration, now: Moment) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        if slot_use.utilization() < SHORTAGE_UTILIZATION {
            self.rule = FirstRunRule::Unlimited;
            self.denied.clear();
            return;
        }
        self.rule = FirstRunRule::FillsOnly;
        let added = elapsed * slot_use.slots * MIN_FRACTION * part;
        self.saved_secs = (self.saved_secs + added).min(MAX_SAVED_RUNS * run.as_secs_f64());
    }

    /// The first runs that are allowed without being charged.
    pub fn rule(&self) -> FirstRunRule {
        self.rule
    }

    /// Whether a first run that the rule denies may use the slots kept open. If so, it is charged.
    /// Objects that were denied most come first.
    pub fn take_exception(&mut self, object: ObjectTag, run: Duration) -> bool {
        let most = self.denied.values().copied().max().unwrap_or_default();
        if MAX_DENIED_OBJECTS <= self.denied.len() && !self.denied.contains_key(&object) {
            self.denied.retain(|_, count| 1 < *count);
        }
        let denied = self.denied.entry(object).or_default();
        *denied = denied.saturating_add(1);
        if self.saved_secs < run.as_secs_f64() || *denied < most {
            return false;
        }
        self.saved_secs -= run.as_secs_f64();
        self.denied.remove(&object);
        true
    }
}
