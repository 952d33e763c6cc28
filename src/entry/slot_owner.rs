//! Decisions of a group's owner: which target runs a request, or why none does.

use super::{KnownTarget, TrafficState, View, service_state::ServiceState};
use crate::{
    admission::ReturnSchedule,
    placement::{
        Candidate, CandidateEstimate, Choice, FirstRunBudget, FirstRunRule, Forecast,
        PlacementQuery, SlotUse, TargetTag, choose, name_tag,
    },
    prelude::*,
    reservation::{Answer, Ask, Grant, GroupNumber, Pressure, Refusal, group_count, group_of},
};

/// The targets of a service in this host's region, by group. Kept until the targets change.
#[derive(Debug, Default)]
pub(super) struct TargetGroups {
    groups: Vec<Vec<Arc<KnownTarget>>>,
    source: Arc<[Arc<KnownTarget>]>,
}

impl TargetGroups {
    /// Divides the targets of a region anew if `targets` is a different list than before.
    fn update(&mut self, targets: &Arc<[Arc<KnownTarget>]>, region: &RegionId) {
        if Arc::ptr_eq(&self.source, targets) {
            return;
        }
        self.source = targets.clone();
        let local = || targets.iter().filter(|target| target.region == *region);
        let slots = local().map(|target| f64::from(target.entry.slots)).sum();
        let count = group_count(slots);
        self.groups = vec![Vec::new(); usize::from(count)];
        for target in local() {
            self.groups[usize::from(group_of(target.tag, count))].push(target.clone());
        }
    }
}

/// Cold rate where no target is cold.
const NO_COLD_RATE: f64 = 0.0;

/// Shortest time that a refused caller is told to stay away.
const MIN_RETURN: Duration = Duration::from_millis(80);

/// Fraction of the time that a caller has left for which it stays away when told so.
const RETURN_FRACTION: f64 = 1.0 / 3.0;

/// What an owner keeps of one group besides the counts.
#[derive(Debug, Default)]
pub(super) struct OwnedGroup {
    first_runs: FirstRunBudget,
    pressure: Pressure,
    returns: ReturnSchedule,
}

impl TrafficState {
    /// Number of groups of a service in a region.
    pub(super) fn group_count(
        &self,
        view: &View,
        service: &ServiceId,
        region: &RegionId,
    ) -> GroupNumber {
        let Some(targets) = view.targets.get(service) else { return 1 };
        let mut services = self.services.borrow_mut();
        let Some(state) = services.get_mut(service) else { return 1 };
        state.target_index.update(targets);
        group_count(state.target_index.slots_of(region))
    }

    /// Answers an ask for a slot.
    pub(super) fn grant(&self, view: &View, ask: &Ask) -> Answer {
        let found = view.targets.iter().find(|(service, _)| name_tag(service) == ask.service);
        let Some((service, targets)) = found else { return Answer::Unknown };
        let mut services = self.services.borrow_mut();
        let state = services.entry(service.clone()).or_default();
        state.groups.update(targets, &self.settings.region);
        let Some(group) = state.groups.groups.get(usize::from(ask.group)) else {
            return Answer::Unknown;
        };
        if group.is_empty() {
            return Answer::Unknown;
        }
        let group = group.clone();
        let candidates = self.group_candidates(view, &group, ask);
        let slot_use = slot_use(&candidates);
        let choice = self.choose_in_group(&candidates, state, ask, slot_use);
        match choice {
            Choice::Send(estimate) => {
                state.estimates.work.record_sent(estimate.work);
                drop(services);
                Answer::Granted(self.hold(&candidates[estimate.index], &estimate, ask))
            }
            Choice::Busy { denied_first_run, free_in, .. } => {
                let promised = self.promise_return(state, ask, slot_use);
                Answer::Refused(Refusal {
                    return_in_ms: promised.or(free_in).map(millis),
                    is_promised: promised.is_some(),
                    slots: slot_use.slots as u16,
                    busy: slot_use.busy as u16,
                    is_rationed: denied_first_run,
                })
            }
            Choice::Paused { available_in } => Answer::Refused(Refusal {
                return_in_ms: Some(millis(available_in)),
                is_promised: false,
                slots: slot_use.slots as u16,
                busy: slot_use.busy as u16,
                is_rationed: false,
            }),
            Choice::NoTargets => Answer::Unknown,
        }
    }

    fn group_candidates<'a>(
        &self,
        view: &View,
        group: &'a [Arc<KnownTarget>],
        ask: &Ask,
    ) -> Vec<Candidate<'a>> {
        let now = self.clock.now();
        let held = self.reservations.held.borrow();
        let cached = self.cached_objects.borrow();
        let notices = self.target_notices.borrow();
        // Two hosts share the rate of a cold or limited target, and send to it on their own.
        let is_allowed = |target: &&Arc<KnownTarget>| {
            !ask.excluded.contains(&target.tag)
                && !target.is_cold(now)
                && notices.limit(target.tag).is_none()
        };
        let candidates = group.iter().filter(is_allowed);
        let candidate = |target: &'a Arc<KnownTarget>| {
            let depth = ask.object.and_then(|object| cached.depth(target.tag, object));
            let load = f64::from(held.count(target.tag));
            Candidate { load, ..self.candidate(view, target, NO_COLD_RATE, depth, now) }
        };
        candidates.map(candidate).collect()
    }

    /// Chooses a target of the group.
    fn choose_in_group(
        &self,
        candidates: &[Candidate<'_>],
        state: &mut ServiceState,
        ask: &Ask,
        slot_use: SlotUse,
    ) -> Choice {
        let now = self.clock.now();
        let work = state.estimates.work;
        let group = state.owned_groups.entry(ask.group).or_default();
        group.first_runs.update(slot_use, 1.0, work.miss(), now);
        let requests: f64 = candidates.iter().map(|candidate| candidate.load).sum();
        group.pressure.record(requests, slot_use.slots, now);
        let is_short = group.first_runs.rule() != FirstRunRule::Unlimited;
        let rule = match is_short && self.parts.get().first_runs.is_on {
            true => FirstRunRule::SpareSlots,
            false => FirstRunRule::Unlimited,
        };
        match ask.is_return {
            true => group.returns.returned(now),
            false => group.returns.admitted(ask.priority, now),
        }
        let objective = Duration::from_millis(ask.route_objective_ms.into());
        let left = Duration::from_millis(ask.in_time_ms.into());
        let limit = group.pressure.max_answer(left, objective, work.hit());
        let region = &self.settings.region;
        let query = PlacementQuery {
            home_region: region,
            estimates: state.estimates,
            first_runs: rule,
            max_answer: Some(limit),
            time_left: Duration::from_millis(ask.left_ms.into()),
            may_spill: false,
            object: ask.object,
            objective,
            region,
            tuning: self.tuning,
            zone: &self.settings.zone,
        };
        let seed = ask.object.unwrap_or_else(rand::random);
        let choice = choose(candidates, &query, seed);
        let denied = matches!(choice, Choice::Busy { denied_first_run: true, .. });
        if let (true, Some(object)) = (denied, ask.object)
            && group.first_runs.take_exception(object, work.miss())
        {
            let query = PlacementQuery { first_runs: FirstRunRule::Unlimited, ..query };
            return choose(candidates, &query, seed);
        }
        choice
    }

    /// The time at which there will be room for a refused caller, counted with all that were refused
    /// before.
    fn promise_return(
        &self,
        state: &mut ServiceState,
        ask: &Ask,
        slot_use: SlotUse,
    ) -> Option<Duration> {
        if !self.parts.get().returns.is_on {
            return None;
        }
        let (now, mean) = (self.clock.now(), state.estimates.work.mean());
        let returns = &mut state.owned_groups.entry(ask.group).or_default().returns;
        returns.set_room(slot_use.slots, mean, now);
        let latest = Duration::from_millis(ask.left_ms.into()).mul_f64(RETURN_FRACTION);
        returns.promise(MIN_RETURN, latest, ask.priority, now)
    }

    /// Counts the request at its target, and describes the choice to the sender.
    fn hold(&self, candidate: &Candidate<'_>, estimate: &CandidateEstimate, ask: &Ask) -> Grant {
        let now = self.clock.now();
        let target: TargetTag = candidate.target.tag;
        let forecast = Forecast {
            depth: candidate.depth,
            expected: estimate.expected().div_f64(candidate.slowdown),
            has_free_slot: candidate.load < f64::from(candidate.target.entry.slots),
            is_primary_guess: estimate.is_primary_guess,
            hit_probability: estimate.hit_probability,
            object: ask.object,
            round_trip: Duration::ZERO,
        };
        let mut held = self.reservations.held.borrow_mut();
        held.hold(ask.sender, ask.id, target, Some(forecast), now);
        if let Some(object) = ask.object {
            self.cached_objects.borrow_mut().record_use(target, object);
        }
        Grant {
            target,
            load: candidate.load as u16,
            expected_ms: millis(estimate.expected()),
            depth: candidate.depth.map(|depth| depth.min(usize::from(u16::MAX)) as u16),
            hit_percent: (estimate.hit_probability * 100.0).round() as u8,
            is_primary_guess: estimate.is_primary_guess,
        }
    }
}

fn slot_use(candidates: &[Candidate<'_>]) -> SlotUse {
    let mut slot_use = SlotUse::default();
    for candidate in candidates.iter().filter(|candidate| !candidate.unavailable) {
        slot_use.add_target(candidate.target.entry.slots, candidate.load);
    }
    slot_use
}

fn millis(span: Duration) -> u16 {
    span.as_millis().min(u128::from(u16::MAX)) as u16
}
