//! Where one request goes: the target that is expected to answer first, at the least cost to others.
//!
//! A target that knows an object is several times faster, so a request goes to a target that knows
//! its object as long as the wait there is shorter than what another one would lose. Where no target
//! is known to know it, all hosts choose the same one, by hash, without asking each other.
//!
//! Load pattern: more requests than slots for seconds on end. What is in attempt at a target bounds
//! the wait there; beyond the bound a request is refused at once, since it would only make those
//! behind it late as well. Another target may have room then, and yet the request does not go there:
//! it would keep a slot several times as long, and push out what that target knows.

use super::{ObjectTag, ServiceEstimates, Tuning, target_index::weight};
use crate::{entry::KnownTarget, prelude::*};

/// Work of a cold target as a multiple of a warm one's.
const COLD: f64 = 2.0;

/// Requests that may wait at a target, as a multiple of its slots: as many as targets queue.
const WAITING: f64 = 3.0;

/// Part of the time left that the expected answer may take: estimates are means.
const CERTAIN: f64 = 0.9;

/// Extra time that a request to another zone of the region is charged, for the bytes between zones.
const ZONE_CHARGE: Duration = Duration::from_millis(6);

/// Extra charge for a region other than the one that the shares name: such a move counts as a
/// shift.
const SPILL_CHARGE: Duration = Duration::from_millis(150);

/// Ranks that are told apart: a few targets are enough for any object.
const RANKS: usize = 4;

/// Longest wait that is told, in seconds; callers stay away for less anyway.
const ROOM_MOST: f64 = 60.0;

/// One target that could take the request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    pub cold: bool,
    /// How many other objects the target was asked for since this one; `None` if it never was, as
    /// far as this host was told.
    pub depth: Option<usize>,
    /// Requests in attempt there, of all hosts.
    pub load: f64,
    /// A cold target whose rate is used up, one that is paused or just had no room.
    pub unavailable: bool,
    /// See `Condition::stretch`.
    pub slowdown: f64,
    pub target: &'a Arc<KnownTarget>,
    /// Round trip to the target's region.
    pub round_trip: Duration,
}

/// What is asked.
#[derive(Clone, Debug)]
pub struct PlacementQuery<'a> {
    pub home_region: &'a RegionId,
    pub estimates: ServiceEstimates,
    /// Time that the caller still waits.
    pub time_left: Duration,
    pub may_spill: bool,
    /// `None` where the request is about no object: any target does it as fast.
    pub object: Option<ObjectTag>,
    /// Time within which the answer is worth most.
    pub objective: Duration,
    /// The region that the shares name.
    pub region: &'a RegionId,
    pub tuning: Tuning,
    pub zone: &'a ZoneId,
}

impl PlacementQuery<'_> {
    /// Longest time that an answer may be expected to take.
    pub fn limit(&self) -> Duration {
        self.objective.mul_f64(self.tuning.max_objective_multiple).min(self.patience_left())
    }

    /// Longest time that the caller can be expected to be there for.
    fn patience_left(&self) -> Duration {
        self.time_left.mul_f64(CERTAIN)
    }

    /// Time that knowing the object saves.
    fn saved(&self) -> Duration {
        self.estimates.work.miss().saturating_sub(self.estimates.work.hit())
    }

    /// Time that it saves where it is known, as far as the targets that know it are not slow: where all
    /// of these are, another target is better off with it after its first run.
    fn worth_of_knowing(&self, candidates: &[Candidate<'_>]) -> Duration {
        let near = candidates.iter().filter(|it| it.target.region == *self.region);
        let holders = near.filter(|it| self.estimates.cache_capacity.holds(it.depth));
        let Some(slowdown) = holders.map(|it| it.slowdown).min_by(f64::total_cmp) else {
            return self.saved();
        };
        self.estimates.work.miss().saturating_sub(self.estimates.work.hit().mul_f64(slowdown))
    }

    /// How likely a candidate is to know the object.
    fn hit_probability(&self, candidate: &Candidate<'_>, is_primary_guess: bool) -> f64 {
        if self.object.is_none() || self.estimates.cache_capacity.holds(candidate.depth) {
            return 1.0;
        }
        if is_primary_guess { self.estimates.primary_hit_rate } else { 0.0 }
    }
}

/// The outcome.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    Send(CandidateEstimate),
    /// There is no room in time where the request may go; there is after about that long, as far as
    /// it is known: a paused target's queue tells nothing. `crowded` is what it should have been
    /// sent to.
    Busy {
        best: Option<CandidateEstimate>,
        free_in: Option<Duration>,
    },
    /// No target is there at all.
    NoTargets,
}

/// What was heard of the object in the region that the shares name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Sighting {
    None,
    /// Targets were asked for it, and have forgotten it by now.
    Forgotten,
    /// A target is likely to know it.
    Known,
}

impl Sighting {
    fn of(candidates: &[Candidate<'_>], query: &PlacementQuery<'_>) -> Self {
        let near = || candidates.iter().filter(|it| it.target.region == *query.region);
        if near().any(|it| query.estimates.cache_capacity.holds(it.depth)) {
            return Self::Known;
        }
        if near().any(|it| it.depth.is_some()) { Self::Forgotten } else { Self::None }
    }
}

/// What sending to one candidate means.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CandidateEstimate {
    /// Position of the candidate.
    pub index: usize,
    /// What the choice goes by, in seconds: the time and what else the choice costs.
    charge: f64,
    /// What is held against the limit, in seconds.
    counts: f64,
    /// Nothing was heard of the object, and the target is its first by hash.
    pub is_primary_guess: bool,
    /// How likely the target is to know the object.
    pub hit_probability: f64,
    /// Expected time of the answer, in seconds.
    takes: f64,
    /// Expected wait for a slot, in seconds.
    wait: f64,
    /// Time that the request keeps a slot of a target of usual speed.
    pub work: Duration,
}

impl CandidateEstimate {
    /// Expected time of the answer.
    pub fn expected(&self) -> Duration {
        span(self.takes)
    }

    fn of(
        index: usize,
        candidate: &Candidate<'_>,
        rank: usize,
        sighting: Sighting,
        worth: Duration,
        query: &PlacementQuery<'_>,
    ) -> Self {
        let is_home = rank == 0 && query.object.is_some();
        let is_primary_guess = query.tuning.assume_primary_cached
            && is_home
            && sighting == Sighting::None
            && !candidate.cold;
        let hit_probability = query.hit_probability(candidate, is_primary_guess);
        let saved = query.saved().mul_f64(1.0 - hit_probability);
        let cold = if candidate.cold { COLD } else { 1.0 };
        let work = (query.estimates.work.hit() + saved).mul_f64(cold);
        let wait = wait(candidate, query);
        let round_trip = candidate.round_trip.as_secs_f64();
        let busy = work.as_secs_f64() * candidate.slowdown;
        let takes = wait * candidate.slowdown + busy + round_trip;
        // Where nothing was measured, an assumption must not refuse what would be measured. And an
        // object that no target knows must be run once: refused for the time of its first run, it
        // would stay unknown, and all its requests would be refused. A caller that can't stay for
        // its first run is refused all the same: nobody would hear the answer.
        let first_run = saved.as_secs_f64() * cold * candidate.slowdown;
        let can_stay = takes <= query.patience_left().as_secs_f64();
        let is_first = is_home && sighting != Sighting::Known && wait <= 0.0 && can_stay;
        let counts = match query.estimates.work.is_measured() {
            false => takes - busy,
            true if is_first => takes - first_run,
            true => takes,
        };
        let mut charge = takes + rank.min(RANKS) as f64 * query.tuning.rank_cost_secs;
        charge += worth.as_secs_f64() * (1.0 - hit_probability) * query.tuning.miss_cost_factor;
        let region = &candidate.target.region;
        if region == query.home_region && candidate.target.entry.zone != *query.zone {
            charge += ZONE_CHARGE.as_secs_f64();
        }
        if region != query.region {
            charge += SPILL_CHARGE.as_secs_f64();
        }
        Self { index, charge, counts, is_primary_guess, hit_probability, takes, wait, work }
    }
}

/// Chooses among the candidates. `seed` stands for the object where there is none.
pub fn choose(candidates: &[Candidate<'_>], query: &PlacementQuery<'_>, seed: ObjectTag) -> Choice {
    let ranks = ranks(candidates, query.object.unwrap_or(seed));
    let sighting = Sighting::of(candidates, query);
    let worth = query.worth_of_knowing(candidates);
    let mut best: Option<CandidateEstimate> = None;
    let mut least_wait: Option<f64> = None;
    for (at, candidate) in candidates.iter().enumerate() {
        let spills = candidate.target.region != *query.region;
        if candidate.unavailable || (spills && !query.may_spill) {
            // Told to come back for room that it may not use, a caller would only be refused again.
            continue;
        }
        let estimate = CandidateEstimate::of(at, candidate, ranks[at], sighting, worth, query);
        least_wait = Some(least_wait.map_or(estimate.wait, |least| least.min(estimate.wait)));
        let room = f64::from(candidate.target.entry.slots) * (1.0 + WAITING);
        if room <= candidate.load {
            continue;
        }
        if best.is_none_or(|best| estimate.charge < best.charge) {
            best = Some(estimate);
        }
    }
    let limit = query.limit().as_secs_f64();
    match best {
        Some(estimate) if estimate.counts <= limit => Choice::Send(estimate),
        _ if candidates.is_empty() => Choice::NoTargets,
        Some(estimate) => Choice::Busy { best: Some(estimate), free_in: Some(span(estimate.wait)) },
        None => Choice::Busy { best: None, free_in: least_wait.map(span) },
    }
}

fn span(secs: f64) -> Duration {
    Duration::from_secs_f64(secs.min(ROOM_MOST))
}

/// Expected wait for a slot, in seconds.
fn wait(candidate: &Candidate<'_>, query: &PlacementQuery<'_>) -> f64 {
    let slots = f64::from(candidate.target.entry.slots.max(1));
    let before = (candidate.load + 1.0 - slots).max(0.0);
    before / slots * query.estimates.work.mean().as_secs_f64()
}

/// Rank of each candidate for an object within its region, of those that take requests; 0 comes first.
fn ranks(candidates: &[Candidate<'_>], object: ObjectTag) -> Vec<usize> {
    let weight = |at: &usize| weight(candidates[*at].target.tag, object);
    let open = (0..candidates.len()).filter(|at| !candidates[*at].unavailable);
    let mut order: Vec<(u64, usize)> = open.map(|at| (weight(&at), at)).collect();
    order.sort_unstable_by(|a, b| b.cmp(a));
    let mut before: BTreeMap<&RegionId, usize> = BTreeMap::new();
    let mut ranks = vec![RANKS; candidates.len()];
    for (_, at) in order {
        let next = before.entry(&candidates[at].target.region).or_default();
        ranks[at] = *next;
        *next += 1;
    }
    ranks
}
