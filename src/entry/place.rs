//! Which target a request goes to, by what this host sees and others tell.

use super::{KnownTarget, Route, Team, TrafficState, View, service_state::ServiceState};
use crate::{
    placement::{
        CachedObjects, Candidate, CandidateEstimate, Choice, Forecast, NameTag, ObjectTag,
        PlacementQuery, RegionLoad, RegionShares, ShortlistQuery, TargetHealth, TargetIndex,
        choose, is_cold_sender, name_tag,
    },
    prelude::*,
};

/// Usual slots of a cold target, as a part of a warm one's.
const COLD_SLOT_FRACTION: f64 = 0.3;

/// How many targets are looked at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Search {
    All,
    /// A shortlist, and all where that has none to send to.
    Shortlist,
}

/// What a request is, as far as placement goes.
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
    /// Whether it may go to the target, and has not been there yet.
    fn allows(&self, target: &KnownTarget) -> bool {
        self.allows_region(&target.region) && !self.tried_targets.contains(&target.tag)
    }

    fn allows_region(&self, region: &RegionId) -> bool {
        let allow = |regions: &[RegionId]| regions.is_empty() || regions.contains(region);
        allow(&self.route.allowed_regions)
            && self.team.as_ref().is_none_or(|team| allow(&team.allowed_regions))
    }

    /// Regions with a target that it may go to.
    fn open_regions(&self, index: &TargetIndex) -> Vec<RegionId> {
        let open = index.untried_regions(&self.tried_targets);
        open.filter(|region| self.allows_region(region)).cloned().collect()
    }
}

/// Where a request goes, and what decided it.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Targets that the route allows and that were not tried yet.
    pub candidates: usize,
    pub choice: Choice,
    /// Of the candidates, how many are cold.
    pub cold: usize,
    /// The target that the request should have gone to, and the time its answer was expected to
    /// take, which is too long.
    pub crowded: Option<(TargetId, Duration)>,
    /// Of the candidates, how many have a free slot in another region than the one named.
    pub free_elsewhere: usize,
    /// Longest expected time that was acceptable.
    pub limit: Duration,
    /// Requests in flight at the chosen target, of all hosts.
    pub load: u32,
    /// What is expected of the attempt.
    pub forecast: Forecast,
    /// The region that the shares name.
    pub region: RegionId,
    /// Of the candidates, how many take nothing now.
    pub shut: usize,
    pub target: Option<Arc<KnownTarget>>,
    /// Usual time of an answer.
    pub work: Duration,
}

impl Placement {
    /// There is no target at all.
    fn no_targets(region: &RegionId) -> Self {
        Self {
            candidates: 0,
            choice: Choice::NoTargets,
            cold: 0,
            crowded: None,
            free_elsewhere: 0,
            limit: Duration::ZERO,
            load: 0,
            forecast: Forecast::default(),
            region: region.clone(),
            shut: 0,
            target: None,
            work: Duration::ZERO,
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
    /// Chooses a target: among the few that are likely to be the best, and among all before it
    /// refuses.
    pub fn place(&self, view: &View, request: &PlacementRequest) -> Placement {
        self.place_with_search(Search::Shortlist, view, request)
    }

    /// Chooses a target by one way of looking.
    pub fn place_with_search(
        &self,
        search: Search,
        view: &View,
        request: &PlacementRequest,
    ) -> Placement {
        let home = &self.settings.region;
        let Some(targets) = view.targets.get(&request.service) else {
            return Placement::no_targets(home);
        };
        let mut services = self.services.borrow_mut();
        let state = services.entry(request.service.clone()).or_default();
        state.target_index.update(targets);
        let seed = request.object.unwrap_or_else(rand::random);
        let open = request.open_regions(&state.target_index);
        let Some(region) = self.pick_region(view, state, request, seed, &open) else {
            return Placement::no_targets(home);
        };
        let held = self.held_objects.borrow();
        if search == Search::Shortlist {
            let near = [region.clone()];
            let shortlist = state.target_index.shortlist(&ShortlistQuery {
                holders: request.object.map_or(&[], |object| held.holders(object)),
                object: request.object,
                regions: if may_spill(state) { &open } else { &near },
                spread: rand::random(),
            });
            let shortlisted = shortlist.into_iter().map(|at| &targets[at]);
            let shortlisted = self.candidates(view, request, shortlisted, &held);
            let placement = self.choose_among(&shortlisted, state, request, seed, &region);
            if placement.target.is_some() {
                return placement;
            }
        }
        let all = self.candidates(view, request, targets.iter(), &held);
        self.choose_among(&all, state, request, seed, &region)
    }

    /// The region that the request should run in.
    fn pick_region(
        &self,
        view: &View,
        state: &mut ServiceState,
        request: &PlacementRequest,
        seed: ObjectTag,
        open: &[RegionId],
    ) -> Option<RegionId> {
        let home = &self.settings.region;
        if state.shares.is_none() {
            let now = self.clock.now();
            let targets = state.target_index.targets();
            let loads = region_loads(view, targets, &request.service, state.demand, home, now);
            let sent = self.region_sent.borrow().shares(name_tag(&request.service));
            let shares =
                RegionShares::resume(home.clone(), &loads, sent.as_ref(), &self.tuning, now);
            state.shares = Some(shares);
        }
        let shares = state.shares.as_ref()?;
        region_for_seed(shares, seed, open, home, &self.regions_at_shift_limit.borrow())
    }

    fn candidates<'a>(
        &self,
        view: &View,
        request: &PlacementRequest,
        targets: impl Iterator<Item = &'a Arc<KnownTarget>>,
        held: &CachedObjects,
    ) -> Vec<Candidate<'a>> {
        let now = self.clock.now();
        let services = view.declaration.as_ref().map(|declared| &declared.services);
        let rules = services.and_then(|services| services.get(&request.service));
        let rate = rules.map_or(1.0, |rules| rules.cold_rate);
        let allowed = targets.filter(|target| request.allows(target));
        let candidate = |target: &'a Arc<KnownTarget>| {
            let depth = request.object.and_then(|object| held.depth(target.tag, object));
            self.candidate(view, target, rate, depth, now)
        };
        allowed.map(candidate).collect()
    }

    /// Chooses among the candidates, and tells what decided it.
    fn choose_among(
        &self,
        candidates: &[Candidate<'_>],
        state: &mut ServiceState,
        request: &PlacementRequest,
        seed: ObjectTag,
        region: &RegionId,
    ) -> Placement {
        let query = PlacementQuery {
            home_region: &self.settings.region,
            estimates: state.learnt,
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
            Choice::Send(offer) => {
                state.learnt.work.record_sent(offer.work);
                let candidate = &candidates[offer.index];
                (Some(candidate), forecast(offer, candidate, request.object))
            }
            _ => (None, Forecast::default()),
        };
        let crowded = match &choice {
            Choice::Busy { best: Some(offer), .. } => {
                Some((candidates[offer.index].target.entry.id.clone(), offer.expected()))
            }
            _ => None,
        };
        if chosen.is_some_and(|chosen| chosen.target.region != *region) {
            state.spill_credit -= 1.0;
        }
        Placement {
            candidates: candidates.len(),
            choice,
            cold: candidates.iter().filter(|candidate| candidate.cold).count(),
            crowded,
            free_elsewhere: candidates.iter().filter(|it| is_free_elsewhere(it, region)).count(),
            limit: query.limit(),
            load: chosen.map_or(0, |chosen| chosen.load as u32),
            forecast,
            region: region.clone(),
            shut: candidates.iter().filter(|candidate| candidate.unavailable).count(),
            target: chosen.map(|chosen| chosen.target.clone()),
            work: query.estimates.work.mean(),
        }
    }

    fn candidate<'a>(
        &self,
        view: &View,
        target: &'a Arc<KnownTarget>,
        cold_rate: f64,
        depth: Option<usize>,
        now: Moment,
    ) -> Candidate<'a> {
        let conditions = self.conditions.borrow();
        let condition = conditions.get(&target.tag);
        let own = condition.map_or(0, |condition| condition.in_flight);
        let elsewhere = view.in_flight_elsewhere.get(&target.tag).copied().unwrap_or_default();
        let reported = view
            .slow_targets
            .get(&target.tag)
            .copied()
            .filter(|_| self.tuning.use_reported_slowness);
        let cold = target.is_cold(now);
        let cold_shut = cold
            && (!is_cold_sender(target, &self.settings.host, &view.hosts)
                || !self.cold_rates.borrow_mut().has_token(target, cold_rate, now));
        let shut = condition.is_some_and(|condition| {
            condition.is_paused(now)
                || condition.is_full(now)
                || (condition.is_half_open(now) && 0 < own)
        });
        Candidate {
            cold,
            depth,
            load: f64::from(own + elsewhere),
            unavailable: shut || cold_shut,
            slowdown: condition
                .unwrap_or(&TargetHealth::default())
                .slowdown_with_report(reported, now),
            target,
            round_trip: self.round_trips.borrow().get(&target.region, &self.settings.region),
        }
    }
}

/// Whether a request may leave the region that the shares name.
fn may_spill(state: &ServiceState) -> bool {
    1.0 <= state.spill_credit
}

/// The region that the shares name for an object, the home region if nothing more may be moved
/// there, or else the one with the largest share of those that are open.
fn region_for_seed(
    shares: &RegionShares,
    seed: ObjectTag,
    open: &[RegionId],
    home: &RegionId,
    at_shift_limit: &[NameTag],
) -> Option<RegionId> {
    let named = shares.region_at(f64::from(seed) / f64::from(ObjectTag::MAX));
    let named = named.map(|region| {
        match at_shift_limit.contains(&name_tag(region)) && open.contains(home) {
            true => home,
            false => region,
        }
    });
    if let Some(region) = named.filter(|region| open.contains(region)) {
        return Some(region.clone());
    }
    open.iter().max_by(|a, b| shares.get(a).total_cmp(&shares.get(b))).cloned()
}

fn forecast(
    offer: &CandidateEstimate,
    candidate: &Candidate<'_>,
    object: Option<ObjectTag>,
) -> Forecast {
    let slots = f64::from(candidate.target.entry.slots);
    Forecast {
        depth: candidate.depth,
        expected: offer.expected().div_f64(candidate.slowdown),
        has_free_slot: candidate.load < slots && !candidate.cold,
        is_primary_guess: offer.is_primary_guess,
        hit_probability: offer.hit_probability,
        object,
        round_trip: candidate.round_trip,
    }
}

/// Slots and demand of each region that has targets of a service.
pub(super) fn region_loads(
    view: &View,
    targets: &[Arc<KnownTarget>],
    service: &ServiceId,
    own_demand: f64,
    home: &RegionId,
    now: Moment,
) -> Vec<RegionLoad> {
    let mut slots: BTreeMap<&RegionId, f64> = BTreeMap::new();
    for host in &view.hosts {
        slots.entry(&host.region).or_default();
    }
    for target in targets {
        let fraction = if target.is_cold(now) { COLD_SLOT_FRACTION } else { 1.0 };
        *slots.entry(&target.region).or_default() += f64::from(target.entry.slots) * fraction;
    }
    let tag = name_tag(service);
    let demand = |region: &RegionId| {
        let reported = view.demand.get(&(region.clone(), tag)).copied().unwrap_or_default();
        let sum = if region == home { reported + own_demand } else { reported };
        (0.0 < sum).then_some(sum)
    };
    slots
        .into_iter()
        .map(|(region, slots)| RegionLoad { demand: demand(region), region: region.clone(), slots })
        .collect()
}
