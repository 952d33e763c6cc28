//! Selects the target of one request: the one with the lowest cost, which is the expected answer
//! time plus the cost that the choice imposes on other requests.
//!
//! A target that has the object cached is several times faster, so a request goes there as long as
//! its queue is shorter than the time that a cache miss elsewhere costs. If no target is known to
//! have the object cached, all hosts choose the same one by rendezvous hashing, without
//! coordination.
//!
//! A request whose expected answer time exceeds its limit is refused at once, since it would only
//! delay the requests behind it. The limit always applies, but matters mainly under overload, when
//! there are more requests than slots for several seconds: the wait at a target is then estimated
//! from the requests in flight there. A refused request is not sent to another target with free
//! slots: a cache miss there would occupy a slot several times as long and evict another object.

use super::{FirstRunRule, ObjectTag, ServiceEstimates, Tuning, target_index::rendezvous_weight};
use crate::{entry::KnownTarget, prelude::*};

/// Time of a request at a cold target, as a multiple of that at a warm one.
const COLD_WORK_FACTOR: f64 = 2.0;

/// Requests that may wait at a target for each of its slots; targets queue no more.
const MAX_QUEUE_PER_SLOT: f64 = 3.0;

/// Fraction of the remaining time that the expected answer may take. Estimates are means, which
/// many answers exceed.
const DEADLINE_FRACTION: f64 = 0.9;

/// Extra cost of a target in another zone of the region, for the traffic between zones.
const CROSS_ZONE_COST: Duration = Duration::from_millis(6);

/// Extra cost of a spill, that is, of a region other than the one selected by the shares: it adds
/// to the traffic shifted between regions.
const SPILL_COST: Duration = Duration::from_millis(150);

/// Rank from which the rank cost no longer rises; a few targets are enough for any object. The rank
/// is a target's position in the hash order of an object. Each rank adds `Tuning::rank_cost_secs`
/// to the cost, so that all hosts prefer the same few targets for the object.
const MAX_RANK: usize = 4;

/// Credit of a target that is to be asked whether its limit still holds; more than other targets
/// save by a free slot or a cached object.
const RECHECK_CREDIT: Duration = Duration::from_secs(1);

/// Cap on the expected answer time and on `Choice::Busy::free_in`, in seconds. Callers retry sooner
/// than that anyway.
const MAX_REPORTED_SECS: f64 = 60.0;

/// A target that may be selected for the request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The target started recently, or its zone was evacuated recently: its caches are empty and it
    /// is slower. See `KnownTarget::is_cold`.
    pub cold: bool,
    /// LRU depth of the object at the target: how many other objects were requested there since.
    /// `None` if this host knows of no request for it.
    pub depth: Option<usize>,
    /// The target should get a request, to learn whether its limit still holds.
    pub is_recheck_due: bool,
    /// Requests of all hosts in flight there.
    pub load: f64,
    /// The target takes no requests of this host now. By its `TargetHealth`, it is paused, has just
    /// refused a request as full, or is half-open with a request in flight; it is cold and
    /// `ColdTargetLimiter` has no token for this host; or it named a limit and this host may not
    /// send to it now. `choose` checks by `load` whether the target's queue is full.
    pub unavailable: bool,
    /// Time until an unavailable target takes a request of this host, if that is known.
    pub available_in: Option<Duration>,
    /// See `TargetHealth::slowdown_with_report`.
    pub slowdown: f64,
    pub target: &'a Arc<KnownTarget>,
    /// Round trip to the target's region.
    pub round_trip: Duration,
}

/// The request to select a target for.
#[derive(Clone, Debug)]
pub struct PlacementQuery<'a> {
    /// Region of this host.
    pub home_region: &'a RegionId,
    pub estimates: ServiceEstimates,
    /// First runs that are allowed in `region`.
    pub first_runs: FirstRunRule,
    /// Maximum expected answer time, if it does not follow from the objective.
    pub max_answer: Option<Duration>,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Whether the request may spill, that is, run outside `region`. A spilled request counts
    /// towards the maximum shift like any other that is sent to its region; see `SentTotals`.
    pub may_spill: bool,
    /// `None` if the request is about no object; all targets are then equally fast.
    pub object: Option<ObjectTag>,
    /// Answer time that the route aims for.
    pub objective: Duration,
    /// The region selected by the shares, where the request should run; not necessarily
    /// `home_region`.
    pub region: &'a RegionId,
    pub tuning: Tuning,
    /// Zone of this host, in `home_region`.
    pub zone: &'a ZoneId,
}

impl PlacementQuery<'_> {
    /// Maximum expected answer time.
    pub fn limit(&self) -> Duration {
        let limit = self.max_answer;
        let limit = limit.unwrap_or(self.objective.mul_f64(self.tuning.max_objective_multiple));
        limit.min(self.caller_limit())
    }

    /// Maximum expected answer time for which the caller is still there.
    fn caller_limit(&self) -> Duration {
        self.time_left.mul_f64(DEADLINE_FRACTION)
    }

    /// Extra time of a cache miss compared with a hit.
    fn miss_penalty(&self) -> Duration {
        self.estimates.work.miss().saturating_sub(self.estimates.work.hit())
    }

    /// Time saved by using a target that has the object cached. It is lower if all of these targets
    /// are slow: another target is then faster once it has cached the object.
    fn hit_value(&self, candidates: &[Candidate<'_>]) -> Duration {
        let in_region = candidates.iter().filter(|it| it.target.region == *self.region);
        let holders = in_region.filter(|it| self.estimates.cache_capacity.is_cached(it.depth));
        let Some(slowdown) = holders.map(|it| it.slowdown).min_by(f64::total_cmp) else {
            return self.miss_penalty();
        };
        self.estimates.work.miss().saturating_sub(self.estimates.work.hit().mul_f64(slowdown))
    }

    /// Probability that a candidate has the object cached.
    fn hit_probability(&self, candidate: &Candidate<'_>, is_primary_guess: bool) -> f64 {
        if self.object.is_none() || self.estimates.cache_capacity.is_cached(candidate.depth) {
            return 1.0;
        }
        if is_primary_guess { self.estimates.primary_hit_rate } else { 0.0 }
    }
}

/// Result of the selection.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    Send(CandidateEstimate),
    /// The cheapest usable target exceeds `PlacementQuery::limit`, or the queues of all usable
    /// targets are full. `best` is the candidate with the lowest cost, if any has space in its
    /// queue. `free_in` is the expected wait for a slot. It is `None` if the request may use none
    /// of the targets: they are unavailable (the queue of a paused target says nothing), or in
    /// other regions and `may_spill` is false.
    Busy {
        best: Option<CandidateEstimate>,
        /// Targets without the object were left out by `PlacementQuery::first_runs`.
        denied_first_run: bool,
        free_in: Option<Duration>,
    },
    /// The request may use none of the targets now. `available_in` is the time until the first one
    /// takes a request of this host, as the targets themselves said.
    Paused {
        available_in: Duration,
    },
    /// There are no candidates.
    NoTargets,
}

/// Whether targets of the region selected by the shares have the object cached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ObjectState {
    /// No request for it is known.
    None,
    /// Targets received requests for it but have probably evicted it since.
    Evicted,
    /// A target probably has it cached.
    Cached,
}

impl ObjectState {
    fn of(candidates: &[Candidate<'_>], query: &PlacementQuery<'_>) -> Self {
        let in_region = || candidates.iter().filter(|it| it.target.region == *query.region);
        if in_region().any(|it| query.estimates.cache_capacity.is_cached(it.depth)) {
            return Self::Cached;
        }
        if in_region().any(|it| it.depth.is_some()) { Self::Evicted } else { Self::None }
    }
}

/// What is expected of sending the request to one candidate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CandidateEstimate {
    /// Position of the candidate.
    pub index: usize,
    /// What candidates are compared by, in seconds: the answer time plus all extra costs.
    cost: f64,
    /// The time compared with `PlacementQuery::limit`, in seconds: the answer time without the run
    /// time while that has not been measured, and without the extra time of a cache miss if the
    /// request is to fill the primary target's cache.
    limited_secs: f64,
    /// No request for the object is known, and the target is assumed to have it cached only because
    /// it is the object's primary target, the first in hash order.
    pub is_primary_guess: bool,
    /// Probability that the target has the object cached.
    pub hit_probability: f64,
    /// Expected time of the answer, in seconds.
    answer_secs: f64,
    /// The target probably does not have the object cached, and the request is not the one that is to
    /// fill the primary target's cache.
    is_extra_first_run: bool,
    /// Expected wait for a slot, in seconds.
    wait_secs: f64,
    /// Time that the request occupies a slot at a target of normal speed.
    pub work: Duration,
}

impl CandidateEstimate {
    /// The estimate of another host.
    pub fn reported(expected: Duration, hit_probability: f64, is_primary_guess: bool) -> Self {
        let answer_secs = expected.as_secs_f64();
        Self {
            index: 0,
            cost: answer_secs,
            limited_secs: answer_secs,
            is_primary_guess,
            hit_probability,
            answer_secs,
            is_extra_first_run: false,
            wait_secs: 0.0,
            work: Duration::ZERO,
        }
    }

    /// Expected time of the answer.
    pub fn expected(&self) -> Duration {
        to_duration(self.answer_secs)
    }

    fn of(
        index: usize,
        candidate: &Candidate<'_>,
        rank: usize,
        object_state: ObjectState,
        hit_value: Duration,
        query: &PlacementQuery<'_>,
    ) -> Self {
        let is_primary = rank == 0 && query.object.is_some();
        let is_primary_guess = query.tuning.assume_primary_cached
            && is_primary
            && object_state == ObjectState::None
            && !candidate.cold;
        let hit_probability = query.hit_probability(candidate, is_primary_guess);
        let expected_penalty = query.miss_penalty().mul_f64(1.0 - hit_probability);
        let work_factor = if candidate.cold { COLD_WORK_FACTOR } else { 1.0 };
        let work = (query.estimates.work.hit() + expected_penalty).mul_f64(work_factor);
        let wait_secs = queue_wait(candidate, query);
        let round_trip = candidate.round_trip.as_secs_f64();
        let run_secs = work.as_secs_f64() * candidate.slowdown;
        let answer_secs = wait_secs * candidate.slowdown + run_secs + round_trip;
        // Before the first measurement, the default must not cause refusals, or nothing would ever
        // be measured. An object that no target has cached must run once: if requests were refused
        // for the time of a cache miss, it would never be cached and all its requests would be
        // refused. If the caller's deadline is too short for the miss, the request is refused all
        // the same, since nobody would receive the answer.
        let miss_secs = expected_penalty.as_secs_f64() * work_factor * candidate.slowdown;
        let caller_stays = answer_secs <= query.caller_limit().as_secs_f64();
        let is_cache_fill =
            is_primary && object_state != ObjectState::Cached && wait_secs <= 0.0 && caller_stays;
        let limited_secs = match query.estimates.work.is_measured() {
            false => answer_secs - run_secs,
            true if is_cache_fill => answer_secs - miss_secs,
            true => answer_secs,
        };
        let mut cost = answer_secs + rank.min(MAX_RANK) as f64 * query.tuning.rank_cost_secs;
        cost += hit_value.as_secs_f64() * (1.0 - hit_probability) * query.tuning.miss_cost_factor;
        let region = &candidate.target.region;
        if region == query.home_region && candidate.target.entry.zone != *query.zone {
            cost += CROSS_ZONE_COST.as_secs_f64();
        }
        if region != query.region {
            cost += SPILL_COST.as_secs_f64();
        }
        if candidate.is_recheck_due {
            cost -= RECHECK_CREDIT.as_secs_f64();
        }
        Self {
            index,
            cost,
            limited_secs,
            is_primary_guess,
            hit_probability,
            answer_secs,
            is_extra_first_run: hit_probability < 0.5 && !is_cache_fill,
            wait_secs,
            work,
        }
    }
}

/// Selects one of the candidates. `seed` takes the place of the object if the request has none.
pub fn choose(candidates: &[Candidate<'_>], query: &PlacementQuery<'_>, seed: ObjectTag) -> Choice {
    let ranks = ranks(candidates, query.object.unwrap_or(seed));
    let object_state = ObjectState::of(candidates, query);
    let hit_value = query.hit_value(candidates);
    let limit = query.limit().as_secs_f64();
    let mut best: Option<CandidateEstimate> = None;
    let mut best_within: Option<CandidateEstimate> = None;
    let mut min_wait_secs: Option<f64> = None;
    let mut available_in: Option<Duration> = None;
    let mut denied_first_run = false;
    for (index, candidate) in candidates.iter().enumerate() {
        let is_spill = candidate.target.region != *query.region;
        if candidate.unavailable || (is_spill && !query.may_spill) {
            // The queue of such a target says nothing about when it takes a request.
            if !is_spill || query.may_spill {
                available_in = available_in.into_iter().chain(candidate.available_in).min();
            }
            continue;
        }
        let estimate =
            CandidateEstimate::of(index, candidate, ranks[index], object_state, hit_value, query);
        min_wait_secs =
            Some(min_wait_secs.map_or(estimate.wait_secs, |min| min.min(estimate.wait_secs)));
        let capacity = f64::from(candidate.target.entry.slots) * (1.0 + MAX_QUEUE_PER_SLOT);
        if capacity <= candidate.load {
            continue;
        }
        let slots = candidate.target.entry.slots;
        if estimate.is_extra_first_run && query.first_runs.denies(candidate.load, slots) {
            denied_first_run = true;
            continue;
        }
        if best.is_none_or(|best| estimate.cost < best.cost) {
            best = Some(estimate);
        }
        let is_within = estimate.limited_secs <= limit;
        if is_within && best_within.is_none_or(|best| estimate.cost < best.cost) {
            best_within = Some(estimate);
        }
    }
    if let (None, None, Some(available_in)) = (best, min_wait_secs, available_in) {
        return Choice::Paused { available_in };
    }
    // Slots that only a first run can use are better used than left idle.
    if query.first_runs == FirstRunRule::SpareSlots {
        best = best_within.or(best);
    }
    match best {
        Some(estimate) if estimate.limited_secs <= limit => Choice::Send(estimate),
        _ if candidates.is_empty() => Choice::NoTargets,
        Some(estimate) => Choice::Busy {
            best: Some(estimate),
            denied_first_run,
            free_in: Some(to_duration(estimate.wait_secs)),
        },
        None => {
            Choice::Busy { best: None, denied_first_run, free_in: min_wait_secs.map(to_duration) }
        }
    }
}

fn to_duration(secs: f64) -> Duration {
    Duration::from_secs_f64(secs.min(MAX_REPORTED_SECS))
}

/// Expected wait for a slot, in seconds.
fn queue_wait(candidate: &Candidate<'_>, query: &PlacementQuery<'_>) -> f64 {
    let slots = f64::from(candidate.target.entry.slots.max(1));
    let queued = (candidate.load + 1.0 - slots).max(0.0);
    queued / slots * query.estimates.work.mean().as_secs_f64()
}

/// Rank of each candidate for an object among the available ones of its region, by rendezvous
/// weight; 0 is the primary target.
fn ranks(candidates: &[Candidate<'_>], object: ObjectTag) -> Vec<usize> {
    let weight = |index: &usize| rendezvous_weight(candidates[*index].target.tag, object);
    let available = (0..candidates.len()).filter(|index| !candidates[*index].unavailable);
    let mut order: Vec<(u64, usize)> = available.map(|index| (weight(&index), index)).collect();
    order.sort_unstable_by(|a, b| b.cmp(a));
    let mut next_ranks: BTreeMap<&RegionId, usize> = BTreeMap::new();
    let mut ranks = vec![MAX_RANK; candidates.len()];
    for (_, index) in order {
        let next = next_ranks.entry(&candidates[index].target.region).or_default();
        ranks[index] = *next;
        *next += 1;
    }
    ranks
}
