//! Use of the slots of each region, and the ration of first runs that follows from it.

use super::{KnownTarget, Placement, TrafficState, View, service_state::ServiceState};
use crate::{
    placement::{FirstRunRule, ObjectTag, SlotUse},
    prelude::*,
};

/// Targets of a service that one update looks at; with more, an even sample of them. Bounds the
/// processor time of an update at thousands of targets.
const MAX_SAMPLED_TARGETS: usize = 256;

impl TrafficState {
    /// Updates the ration of first runs of all services.
    pub(super) fn update_first_runs(&self, view: &View, now: Moment) {
        let is_on = self.parts.get().first_runs.is_on;
        for (service, state) in self.services.borrow_mut().iter_mut() {
            if !is_on {
                state.first_runs.clear();
                continue;
            }
            let Some(targets) = view.targets.get(service) else { continue };
            let run = state.estimates.work.miss();
            for (region, slot_use) in self.sampled_slot_use(view, targets) {
                let hosts = view.hosts.iter().filter(|host| host.region == *region).count();
                let part = 1.0 / hosts.max(1) as f64;
                let budget = state.first_runs.entry(region.clone()).or_default();
                budget.update(slot_use, part, run, now);
            }
        }
    }

    /// Busy slots and all slots of each region, by a sample of the targets that is scaled up.
    fn sampled_slot_use<'a>(
        &self,
        view: &View,
        targets: &'a [Arc<KnownTarget>],
    ) -> BTreeMap<&'a RegionId, SlotUse> {
        let health = self.target_health.borrow();
        let mut regions: BTreeMap<&RegionId, SlotUse> = BTreeMap::new();
        let stride = targets.len().div_ceil(MAX_SAMPLED_TARGETS).max(1);
        for target in targets.iter().step_by(stride) {
            let own = health.get(&target.tag).map_or(0, |health| health.in_flight);
            let others = view.in_flight_elsewhere.get(&target.tag).copied().unwrap_or_default();
            let slot_use = regions.entry(&target.region).or_default();
            slot_use.add_target(target.entry.slots, f64::from(own + others));
        }
        let scale = stride as f64;
        regions.values_mut().for_each(|it| {
            it.busy *= scale;
            it.slots *= scale;
        });
        regions
    }
}

impl ServiceState {
    /// First runs that are allowed in a region.
    pub(super) fn first_run_rule(&self, region: &RegionId) -> FirstRunRule {
        self.first_runs.get(region).map_or(FirstRunRule::Unlimited, |budget| budget.rule())
    }

    /// Whether a request that was not placed for the ration of first runs may use the slots that it
    /// keeps open.
    pub(super) fn take_first_run(
        &mut self,
        placement: &Placement,
        object: Option<ObjectTag>,
    ) -> bool {
        let (true, Some(object)) = (placement.denied_first_run, object) else { return false };
        let run = self.estimates.work.miss();
        let budget = self.first_runs.get_mut(&placement.region);
        budget.is_some_and(|budget| budget.take_exception(object, run))
    }
}
