//! Chooses the target for a request, from this host's measurements and the reports of other hosts.

use super::{
    KnownTarget, Route, Team, TrafficState, View,
    service_state::ServiceState,
    target_statements::{Readiness, unusable_slots},
};
use crate::{
    placement::{
        CachedObjects, Candidate, CandidateEstimate, Choice, FirstRunRule, Forecast, NameTag,
        ObjectTag, PlacementQuery, RegionLoad, RegionShares, ShortlistQuery, TargetHealth,
        TargetIndex, TargetNotices, choose, name_tag,
    },
    prelude::*,
};

/// Slots that a cold target is assumed to offer, as a fraction of its slots when warm.
const COLD_SLOT_FRACTION: f64 = 0.3;

/// Which targets are considered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Search {
    All,
    /// A shortlist first; all targets only if none on the shortlist can take the request.
    Shortlist,
}

/// The properties of a request that placement depends on.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    pub deadline: Moment,
    pub object: Option<ObjectTag>,
    pub route: Arc<Route>,
    pub service: ServiceId,
    pub team: Option<Arc<Team>>,
    pub tried_targets: Vec<u32>,
}

impl PlacementRequest {
    /// Whether the request may be sent to the target and was not sent there before.
    pub(super) fn allows(&self, target: &KnownTarget) -> bool {
        self.allows_region(&target.region) && !self.tried_targets.contains(&target.tag)
    }

    fn allows_region(&self, region: &RegionId) -> bool {
        allows_region(&self.route, self.team.as_deref(), region)
    }

    /// Regions with at least one target that the request may be sent to.
    fn eligible_regions(&self, index: &TargetIndex) -> Vec<RegionId> {
        let eligible = index.untried_regions(&self.tried_targets);
        eligible.filter(|region| self.allows_region(region)).cloned().collect()
    }
}

/// Whether a region may serve the requests of a team on a route.
pub(super) fn allows_region(route: &Route, team: Option<&Team>, region: &RegionId) -> bool {
    let allow = |regions: &[RegionId]| regions.is_empty() || regions.contains(region);
    allow(&route.allowed_regions) && team.is_none_or(|team| allow(&team.allowed_regions))
}

/// The chosen target, and the facts behind the choice, for the event log.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Number of considered targets that the route and team allow and that were not tried yet.
    pub candidates: usize,
    pub choice: Choice,
    /// Number of candidates that are cold.
    pub cold_candidates: usize,
    /// If all candidates are too busy: the best of them, and its expected response time, which is
    /// over the limit.
    pub best_busy: Option<(TargetId, Duration)>,
    /// Number of candidates with a free slot in a region other than `region`.
    pub free_elsewhere: usize,
    /// Longest expected response time that is acceptable.
    pub limit: Duration,
    /// Requests in flight at the chosen target, from all hosts.
    pub load: u32,
    /// Expected course of the attempt, to be compared with its outcome.
    pub forecast: Forecast,
    /// The region picked by the service's shares.
    pub region: RegionId,
    /// Number of candidates that accept no requests now.
    pub unavailable: usize,
    pub target: Option<Arc<KnownTarget>>,
    /// Mean time that a target takes for a request to the service.
    pub mean_work: Duration,
    /// Targets were left out since they do not have the object cached.
    pub denied_first_run: bool,
}

impl Placement {
    /// The placement for a service without a target that the request may be sent to.
    pub(super) fn empty(region: &RegionId) -> Self {
        Self {
            candidates: 0,
            choice: Choice::NoTargets,
            cold_candidates: 0,
            best_busy: None,
            free_elsewhere: 0,
            limit: Duration::ZERO,
            load: 0,
            forecast: Forecast::default(),
            region: region.clone(),
            unavailable: 0,
            target: None,
            mean_work: Duration::ZERO,
            denied_first_run: false,
        }
    }
}

fn is_free_elsewhere(candidate: &Candidate<'_>, region: &RegionId) -> bool {
    let target = candidate.target;
    target.region != *region
        && !candidate.unavailable
        && candidate.load < f64::from(target.entry.slots)
}

impl TrafficState {
    /// Chooses a target from the shortlist of the most promising ones, or from all if none of those
    /// can take the request.
    pub fn place(&self, view: &View, request: &PlacementRequest) -> Placement {
        self.place_with_search(Search::Shortlist, view, request)
    }

    /// Chooses a target with the given kind of search.
    pub fn place_with_search(
        &self,
        search: Search,
        view: &View,
        request: &PlacementRequest,
    ) -> Placement {
        let home = &self.settings.region;
        let Some(targets) = view.targets.get(&request.service) else {
            return Placement::empty(home);
        };
        let mut services = self.services.borrow_mut();
        let state = services.entry(request.service.clone()).or_default();
        state.target_index.update(targets);
        let seed = request.object.unwrap_or_else(rand::random);
        let eligible = request.eligible_regions(&state.target_index);
        let Some(region) = self.pick_region(view, state, request, seed, &eligible) else {
            return Placement::empty(home);
        };
        let cached = self.cached_objects.borrow();
        if search == Search::Shortlist {
            let picked_only = [region.clone()];
            let shortlist = state.target_index.shortlist(&ShortlistQuery {
                holders: request.object.map_or(&[], |object| cached.holders(object)),
                object: request.object,
                regions: if may_spill(state) { &eligible } else { &picked_only },
                offset: rand::random(),
            });
            let shortlisted = shortlist.into_iter().map(|at| &targets[at]);
            let shortlisted = self.candidates(view, request, shortlisted, &cached);
            let rule = state.first_run_rule(&region);
            let placement = self.choose_among(&shortlisted, state, request, seed, &region, rule);
            if placement.target.is_some() {
                return placement;
            }
        }
        let all = self.candidates(view, request, targets.iter(), &cached);
        let rule = state.first_run_rule(&region);
        let placement = self.choose_among(&all, state, request, seed, &region, rule);
        if !state.take_first_run(&placement, request.object) {
            return placement;
        }
        self.choose_among(&all, state, request, seed, &region, FirstRunRule::Unlimited)
    }

    /// The region that a request should run in, and the seed by which it was picked.
    pub(super) fn pick_request_region(
        &self,
        view: &View,
        request: &PlacementRequest,
    ) -> Option<(RegionId, ObjectTag)> {
        let targets = view.targets.get(&request.service)?;
        let mut services = self.services.borrow_mut();
        let state = services.entry(request.service.clone()).or_default();
        state.target_index.update(targets);
        let seed = request.object.unwrap_or_else(rand::random);
        let eligible = request.eligible_regions(&state.target_index);
        let region = self.pick_region(view, state, request, seed, &eligible)?;
        Some((region, seed))
    }

    /// The region that the request should run in; `None` if no region is eligible.
    fn pick_region(
        &self,
        view: &View,
        state: &mut ServiceState,
        request: &PlacementRequest,
        seed: ObjectTag,
        eligible: &[RegionId],
    ) -> Option<RegionId> {
        let home = &self.settings.region;
        if state.shares.is_none() {
            let now = self.clock.now();
            let notices = self.target_notices.borrow();
            let loads = region_loads(view, &request.service, state, &notices, now);
            let sent = self.initial_shares(&request.service);
            let shares =
                RegionShares::resume(home.clone(), &loads, sent.as_ref(), &self.tuning, now);
            state.shares = Some(shares);
        }
        let shares = state.shares.as_ref()?;
        region_for_seed(shares, seed, eligible, home, &self.capped_regions.borrow())
    }

    fn candidates<'a>(
        &self,
        view: &View,
        request: &PlacementRequest,
        targets: impl Iterator<Item = &'a Arc<KnownTarget>>,
        cached: &CachedObjects,
    ) -> Vec<Candidate<'a>> {
        let now = self.clock.now();
        let services = view.declaration.as_ref().map(|declaration| &declaration.services);
        let rules = services.and_then(|services| services.get(&request.service));
        let rate = rules.map_or(1.0, |rules| rules.cold_rate);
        let allowed = targets.filter(|target| request.allows(target));
        let candidate = |target: &'a Arc<KnownTarget>| {
            let depth = request.object.and_then(|object| cached.depth(target.tag, object));
            self.candidate(view, target, rate, depth, now)
        };
        allowed.map(candidate).collect()
    }

    /// Chooses one of the candidates and records the facts behind the choice.
    fn choose_among(
        &self,
        candidates: &[Candidate<'_>],
        state: &mut ServiceState,
        request: &PlacementRequest,
        seed: ObjectTag,
        region: &RegionId,
        first_runs: FirstRunRule,
    ) -> Placement {
        let query = PlacementQuery {
            home_region: &self.settings.region,
            estimates: state.estimates,
            first_runs,
            max_answer: None,
            time_left: request.deadline.saturating_sub(self.clock.now()),
            may_spill: may_spill(state),
            object: request.object,
            objective: request.route.objective,
            region,
            tuning: self.tuning,
            zone: &self.settings.zone,
        };
        let choice = choose(candidates, &query, seed);
        let (chosen, forecast) = match &choice {
            Choice::Send(estimate) => {
                state.estimates.work.record_sent(estimate.work);
                let candidate = &candidates[estimate.index];
                (Some(candidate), forecast(estimate, candidate, request.object))
            }
            _ => (None, Forecast::default()),
        };
        let best_busy = match &choice {
            Choice::Busy { best: Some(estimate), .. } => {
                Some((candidates[estimate.index].target.entry.id.clone(), estimate.expected()))
            }
            _ => None,
        };
        if chosen.is_some_and(|chosen| chosen.target.region != *region) {
            state.spill_credit -= 1.0;
        }
        Placement {
            candidates: candidates.len(),
            cold_candidates: candidates.iter().filter(|candidate| candidate.cold).count(),
            best_busy,
            free_elsewhere: candidates.iter().filter(|it| is_free_elsewhere(it, region)).count(),
            limit: query.limit(),
            load: chosen.map_or(0, |chosen| chosen.load as u32),
            forecast,
            region: region.clone(),
            unavailable: candidates.iter().filter(|candidate| candidate.unavailable).count(),
            target: chosen.map(|chosen| chosen.target.clone()),
            mean_work: query.estimates.work.mean(),
            denied_first_run: matches!(choice, Choice::Busy { denied_first_run: true, .. }),
            choice,
        }
    }

    pub(super) fn candidate<'a>(
        &self,
        view: &View,
        target: &'a Arc<KnownTarget>,
        cold_rate: f64,
        depth: Option<usize>,
        now: Moment,
    ) -> Candidate<'a> {
        let target_health = self.target_health.borrow();
        let health = target_health.get(&target.tag);
        let own_in_flight = health.map_or(0, |health| health.in_flight);
        let elsewhere = view.in_flight_elsewhere.get(&target.tag).copied().unwrap_or_default();
        let reported = view
            .slow_targets
            .get(&target.tag)
            .copied()
            .filter(|_| self.tuning.use_reported_slowness);
        let cold = target.is_cold(now);
        let cold_unavailable = cold
            && (!self.is_paced_sender(view, target)
                || !self.cold_target_limiter.borrow_mut().has_token(target, cold_rate, now));
        let readiness = self.readiness(view, target);
        let health_unavailable = health.is_some_and(|health| {
            health.is_paused(now)
                || health.is_full(now)
                || (health.is_half_open(now) && 0 < own_in_flight)
        });
        Candidate {
            available_in: match readiness {
                Readiness::Later(wait) => wait,
                Readiness::Ready => None,
            },
            cold,
            depth,
            is_recheck_due: self.target_notices.borrow().is_recheck_due(target.tag, now),
            load: f64::from(own_in_flight + elsewhere),
            unavailable: health_unavailable || cold_unavailable || readiness != Readiness::Ready,
            slowdown: health
                .unwrap_or(&TargetHealth::default())
                .slowdown_with_report(reported, now),
            target,
            round_trip: self.round_trips.borrow().get(&target.region, &self.settings.region),
        }
    }
}

/// Whether a request may spill, that is, be sent outside the region picked by the shares.
fn may_spill(state: &ServiceState) -> bool {
    1.0 <= state.spill_credit
}

/// The region that the shares assign to `seed`. If that region is capped, the home region replaces
/// it; if the result is not eligible, the eligible region with the largest share does.
fn region_for_seed(
    shares: &RegionShares,
    seed: ObjectTag,
    eligible: &[RegionId],
    home: &RegionId,
    capped_regions: &[NameTag],
) -> Option<RegionId> {
    let picked = shares.region_at(f64::from(seed) / f64::from(ObjectTag::MAX));
    let picked = picked.map(|region| {
        match capped_regions.contains(&name_tag(region)) && eligible.contains(home) {
            true => home,
            false => region,
        }
    });
    if let Some(region) = picked.filter(|region| eligible.contains(region)) {
        return Some(region.clone());
    }
    eligible.iter().max_by(|a, b| shares.get(a).total_cmp(&shares.get(b))).cloned()
}

fn forecast(
    estimate: &CandidateEstimate,
    candidate: &Candidate<'_>,
    object: Option<ObjectTag>,
) -> Forecast {
    let slots = f64::from(candidate.target.entry.slots);
    Forecast {
        depth: candidate.depth,
        expected: estimate.expected().div_f64(candidate.slowdown),
        has_free_slot: candidate.load < slots && !candidate.cold,
        is_primary_guess: estimate.is_primary_guess,
        hit_probability: estimate.hit_probability,
        object,
        round_trip: candidate.round_trip,
    }
}

/// Slots and demand of each region that has hosts, or targets of the service. Slots of targets
/// that limit their requests, rest or leave are left out as far as they cannot be filled.
pub(super) fn region_loads(
    view: &View,
    service: &ServiceId,
    state: &ServiceState,
    notices: &TargetNotices,
    now: Moment,
) -> Vec<RegionLoad> {
    let mut slots: BTreeMap<&RegionId, f64> = BTreeMap::new();
    for host in view.hosts.iter() {
        slots.entry(&host.region).or_default();
    }
    let index = &state.target_index;
    for (region, warm, cold) in index.slots(now) {
        *slots.entry(region).or_default() += warm + cold * COLD_SLOT_FRACTION;
    }
    for (region, unusable) in unusable_slots(index, notices, state.estimates.work.mean(), now) {
        let slots = slots.entry(region).or_default();
        *slots = (*slots - unusable).max(0.0);
    }
    let tag = name_tag(service);
    let demand = |region: &RegionId| {
        let key = (tag, name_tag(region));
        let sum = view.demand.get(&key).copied().unwrap_or_default() + state.demand.of(region);
        (0.0 < sum).then_some(sum)
    };
    slots
        .into_iter()
        .map(|(region, slots)| RegionLoad { demand: demand(region), region: region.clone(), slots })
        .collect()
}
