//! One ask for a slot: whom to ask, and what to make of the answer.

use super::{
    PlacementRequest, TrafficState, View, place::Placement, reservations::Owner,
    target_statements::Readiness,
};
use crate::{
    placement::{CandidateEstimate, Choice, Forecast, TargetTag, name_tag},
    prelude::*,
    reservation::{Ask, Grant, GroupNumber, MAX_EXCLUDED, Refusal, object_groups},
};

/// An ask that is about to be sent, and the request that it is for.
#[derive(Clone, Debug)]
pub(super) struct SlotRequest {
    pub ask: Ask,
    pub owner: Owner,
    pub region: RegionId,
    pub request: PlacementRequest,
    /// The group to ask if the first one has no room.
    second: Option<GroupNumber>,
}

impl TrafficState {
    /// The ask for a request, if it is to run in this host's region and the group has an owner.
    /// `None` if this host selects the target itself. `in_time_for` is the time until the answer is
    /// late for the caller.
    pub(super) fn slot_request(
        &self,
        view: &View,
        request: PlacementRequest,
        in_time_for: Duration,
        is_return: bool,
    ) -> Option<SlotRequest> {
        if !self.parts.get().reservations.is_on {
            return None;
        }
        let region = self.settings.region.clone();
        let (picked, seed) = self.pick_request_region(view, &request)?;
        if picked != region || self.selects_paced_target(view, &request) {
            return None;
        }
        let service = name_tag(&request.service);
        let count = self.group_count(view, &request.service, &region);
        let (group, second) = object_groups(seed, count);
        let owner = self.group_owner(view, (service, name_tag(&region), group))?;
        let left = request.deadline.saturating_sub(self.clock.now());
        let ask = Ask {
            sender: 0,
            id: 0,
            service,
            group,
            object: request.object,
            in_time_ms: millis(in_time_for),
            left_ms: millis(left),
            route_objective_ms: millis(request.route.objective),
            is_return,
            priority: request.route.priority.min(u32::from(u8::MAX)) as u8,
            excluded: self.excluded_targets(&request),
        };
        Some(SlotRequest { ask, owner, region, request, second })
    }

    /// Whether this host, by what it knows, would send the request to a target whose rate is
    /// limited. Owners leave these to the two hosts that share the rate.
    fn selects_paced_target(&self, view: &View, request: &PlacementRequest) -> bool {
        let now = self.clock.now();
        let Some(targets) = view.targets.get(&request.service) else { return false };
        let has_limits = self.target_notices.borrow().limited_tags().next().is_some();
        if !has_limits && !targets.iter().any(|target| target.is_cold(now)) {
            return false;
        }
        let placement = self.place(view, request);
        let limited = |tag| self.target_notices.borrow().limit(tag).is_some();
        placement.target.is_some_and(|target| target.is_cold(now) || limited(target.tag))
    }

    /// Targets that were tried, and those that this host finds paused, or that leave, limit their
    /// requests or ask it for a rest.
    fn excluded_targets(&self, request: &PlacementRequest) -> Vec<TargetTag> {
        let now = self.clock.now();
        let mut excluded = request.tried_targets.clone();
        let health = self.target_health.borrow();
        let paused = health.iter().filter(|(_, health)| health.is_paused(now));
        let mut paused: Vec<TargetTag> = paused.map(|(tag, _)| *tag).collect();
        let notices = self.target_notices.borrow();
        paused.extend(
            notices
                .tags()
                .filter(|tag| notices.is_leaving(*tag) || notices.rest(*tag, now).is_some())
                .chain(notices.limited_tags()),
        );
        let services = self.services.borrow();
        let index = services.get(&request.service).map(|state| &state.target_index);
        let is_local = |tag: &TargetTag| {
            let target = index.and_then(|index| index.get(*tag));
            target.is_some_and(|target| target.region == self.settings.region)
        };
        paused.retain(is_local);
        paused.sort_unstable();
        paused.dedup();
        excluded.extend(paused);
        excluded.truncate(MAX_EXCLUDED);
        excluded
    }
}

impl SlotRequest {
    /// Directs the ask to the object's second group. False if there is none or it has no owner.
    pub(super) fn use_second_group(&mut self, state: &TrafficState) -> bool {
        let (Some(group), Some(view)) = (self.second.take(), state.view()) else { return false };
        let owner = state.group_owner(&view, (self.ask.service, name_tag(&self.region), group));
        let Some(owner) = owner else { return false };
        self.ask.group = group;
        self.owner = owner;
        true
    }

    /// The placement that an owner has granted; `None` if the target is not known here, the request
    /// may not run there, or the target told this host that it does not take it now.
    pub(super) fn granted_placement(
        &self,
        state: &TrafficState,
        view: &View,
        grant: &Grant,
    ) -> Option<Placement> {
        let targets = view.targets.get(&self.request.service)?;
        let target = targets.iter().find(|target| target.tag == grant.target)?;
        let is_ready = state.readiness(view, target) == Readiness::Ready;
        if !self.request.allows(target) || !is_ready || target.is_cold(state.clock.now()) {
            return None;
        }
        let expected = Duration::from_millis(grant.expected_ms.into());
        let hit_probability = f64::from(grant.hit_percent) / 100.0;
        let estimate =
            CandidateEstimate::reported(expected, hit_probability, grant.is_primary_guess);
        let mut placement = Placement::empty(&self.region);
        placement.choice = Choice::Send(estimate);
        placement.load = u32::from(grant.load);
        placement.forecast = Forecast {
            depth: grant.depth.map(usize::from),
            expected,
            has_free_slot: u32::from(grant.load) < target.entry.slots,
            is_primary_guess: grant.is_primary_guess,
            hit_probability,
            object: self.request.object,
            round_trip: Duration::ZERO,
        };
        placement.target = Some(target.clone());
        Some(placement)
    }

    /// The placement of a request that the owner has refused.
    pub(super) fn refused_placement(&self, refusal: &Refusal) -> Placement {
        let mut placement = Placement::empty(&self.region);
        placement.choice = Choice::Busy {
            best: None,
            denied_first_run: refusal.is_rationed,
            free_in: refusal.return_in_ms.map(|ms| Duration::from_millis(ms.into())),
        };
        placement.candidates = usize::from(refusal.slots);
        placement.denied_first_run = refusal.is_rationed;
        placement.limit = Duration::from_millis(self.ask.in_time_ms.into());
        placement
    }
}

fn millis(span: Duration) -> u16 {
    span.as_millis().min(u128::from(u16::MAX)) as u16
}
