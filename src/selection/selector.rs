//! The selector. Each host has one, for the targets of all services.

use std::collections::BTreeSet;

use rand::Rng;

use super::{Candidate, HealthSignal, LoadReport, Policy, SelectorOptions, Tier, health::Health};
use crate::{base::invariant, manifest::Weighing, prelude::*};

/// If there are more candidates than this, only a random sample is compared, so that a choice stays
/// cheap.
const MAX_COMPARED: usize = 16;

/// Cost of a target in another zone of the region, relative to one in this host's zone. The hop
/// takes a few milliseconds, and the load of such a target is only estimated here.
const CROSS_ZONE_COST_FACTOR: f64 = 3.0;

/// A target was ejected because of its failures, or readmitted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EjectionChange {
    /// Not used for a time after repeated failures.
    Ejected(TargetId),
    /// Readmitted, at a concurrency of one.
    Returned(TargetId),
}

/// Chooses targets and tracks their health.
#[derive(Debug)]
pub struct Selector {
    changes: Vec<EjectionChange>,
    /// Ejected targets, until they are readmitted.
    ejected: BTreeSet<TargetId>,
    policy: Policy,
    options: SelectorOptions,
    targets: BTreeMap<TargetId, Health>,
    round_robin_positions: BTreeMap<ServiceId, usize>,
}

impl Selector {
    pub fn new(policy: Policy) -> Self {
        Self::with_options(policy, SelectorOptions::default())
    }

    /// A selector with some safeguards disabled, for measurements.
    pub fn with_options(policy: Policy, options: SelectorOptions) -> Self {
        Self {
            changes: Vec::new(),
            ejected: BTreeSet::new(),
            policy,
            options,
            targets: BTreeMap::new(),
            round_robin_positions: BTreeMap::new(),
        }
    }

    /// Changes the policy and keeps the health of the targets.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Index of the candidate to use, or `None` if none has room. Ejected targets are used only if
    /// there is no other candidate, so that ejection never leaves a service without targets.
    pub fn pick(
        &mut self,
        service: &ServiceId,
        candidates: &[Candidate],
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        self.readmit_targets(now);
        let indices = self.usable_candidates(candidates, self.policy.max_tier());
        if indices.is_empty() {
            return None;
        }
        let index = match self.policy {
            Policy::LeastInFlight => {
                lowest_cost(&indices, rng, |index| f64::from(candidates[index].in_flight))
            }
            Policy::Random => indices[rng.random_range(0..indices.len())],
            Policy::ReportedLoad => lowest_cost(&indices, rng, |index| {
                self.reported_utilization(&candidates[index].target)
            }),
            Policy::RoundRobin => self.next_round_robin(service, &indices),
            Policy::TwoChoices => {
                let pair = [0; 2].map(|_| indices[rng.random_range(0..indices.len())]);
                lowest_cost(&pair, rng, |index| {
                    self.cost(&candidates[index], Weighing::Latency, now)
                })
            }
            Policy::Weighed(weighing) => {
                let sampled = random_sample(indices, rng);
                lowest_cost(&sampled, rng, |index| self.cost(&candidates[index], weighing, now))
            }
        };
        check_has_room(&candidates[index]);
        Some(index)
    }

    /// Records that a request was sent to `target`.
    pub fn record_start(&mut self, target: &TargetId, now: Moment) {
        self.health(target, now).record_start();
    }

    /// Records that a request to `target` ended after `latency`.
    pub fn record_end(
        &mut self,
        target: &TargetId,
        signal: HealthSignal,
        latency: Duration,
        now: Moment,
    ) {
        let eject = self.health(target, now).record_end(signal, latency, now) && self.options.eject;
        if eject && self.ejected.insert(target.clone()) {
            self.changes.push(EjectionChange::Ejected(target.clone()));
        }
    }

    /// Records a load report from `target`.
    pub fn record_report(&mut self, target: &TargetId, report: LoadReport, now: Moment) {
        self.health(target, now).report(report, now);
    }

    /// Number of requests that may run on `target` at the same time: from 1 if it is cold up to
    /// `slots`; 0 if it is draining.
    pub fn concurrency_limit(&self, target: &TargetId, slots: u32, now: Moment) -> u32 {
        match self.targets.get(target) {
            Some(health) => health.limit(slots, self.options, now),
            None if self.options.ramp => slots.min(1),
            None => slots,
        }
    }

    /// Whether the target reports that it is draining.
    pub fn is_draining(&self, target: &TargetId) -> bool {
        self.targets.get(target).is_some_and(Health::is_draining)
    }

    /// Whether the target is ejected because of its failures.
    pub fn is_ejected(&self, target: &TargetId, now: Moment) -> bool {
        self.options.eject && self.targets.get(target).is_some_and(|health| health.is_ejected(now))
    }

    /// Mean latency of the target as of its last sample, without decay.
    pub fn mean_latency(&self, target: &TargetId) -> Option<Duration> {
        self.targets.get(target)?.measured_latency()
    }

    /// Removes the targets for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&TargetId) -> bool) {
        self.targets.retain(|target, _| is_known(target));
        self.ejected.retain(|target| is_known(target));
    }

    /// Ejections and readmissions since the last call.
    pub fn take_changes(&mut self) -> Vec<EjectionChange> {
        std::mem::take(&mut self.changes)
    }

    fn health(&mut self, target: &TargetId, now: Moment) -> &mut Health {
        if !self.targets.contains_key(target) {
            self.targets.insert(target.clone(), Health::new(now));
        }
        self.targets.get_mut(target).expect("inserted above if it was missing")
    }

    fn readmit_targets(&mut self, now: Moment) {
        let is_expired = |target: &TargetId| {
            let health = self.targets.get(target);
            health.and_then(Health::ejected_until).is_none_or(|until| until <= now)
        };
        let expired: Vec<TargetId> =
            self.ejected.iter().filter(|target| is_expired(target)).cloned().collect();
        for target in expired {
            self.ejected.remove(&target);
            if self.targets.get_mut(&target).is_some_and(|health| health.try_readmit(now)) {
                self.changes.push(EjectionChange::Returned(target));
            }
        }
    }

    /// Indices of the candidates with room: those in the nearest tier that has any, and in further
    /// tiers up to `max_tier`.
    fn usable_candidates(&self, candidates: &[Candidate], max_tier: Tier) -> Vec<usize> {
        let is_healthy = |candidate: &Candidate| {
            candidate.limit != 0
                && (self.ejected.is_empty() || !self.ejected.contains(&candidate.target))
        };
        let any_healthy = candidates.iter().any(is_healthy);
        let usable =
            |candidate: &Candidate| candidate.has_room() && (!any_healthy || is_healthy(candidate));
        let nearest_tier = candidates
            .iter()
            .filter(|candidate| usable(candidate))
            .map(|candidate| candidate.tier)
            .min();
        let in_tier = |index: &usize| {
            let candidate = &candidates[*index];
            let is_in_reach = nearest_tier
                .is_some_and(|nearest_tier| candidate.tier <= nearest_tier.max(max_tier));
            is_in_reach && usable(candidate)
        };
        (0..candidates.len()).filter(in_tier).collect()
    }

    fn reported_utilization(&self, target: &TargetId) -> f64 {
        self.targets.get(target).map_or(0.5, Health::reported_utilization)
    }

    /// Relative cost of one more request.
    fn cost(&self, candidate: &Candidate, weighing: Weighing, now: Moment) -> f64 {
        let load = f64::from(candidate.in_flight + 1) / f64::from(candidate.limit.max(1));
        let Some(health) = self.targets.get(&candidate.target) else { return load };
        let latency = match weighing {
            Weighing::Headroom => health.latency(now).sqrt(),
            Weighing::Latency => health.latency(now),
        };
        let distance_factor =
            if candidate.tier == Tier::Zone { 1.0 } else { CROSS_ZONE_COST_FACTOR };
        load * distance_factor * latency * (1.0 + health.recent_sheds(now))
            / health.report_trust(now)
    }

    fn next_round_robin(&mut self, service: &ServiceId, indices: &[usize]) -> usize {
        let position = self.round_robin_positions.entry(service.clone()).or_default();
        *position = position.wrapping_add(1);
        indices[*position % indices.len()]
    }
}

pub(super) fn check_has_room(chosen: &Candidate) {
    invariant::check(chosen.has_room(), "selection-has-room", || format!("{chosen:?}"));
}

/// The index with the lowest cost; ties are broken at random.
fn lowest_cost(indices: &[usize], rng: &mut impl Rng, cost: impl Fn(usize) -> f64) -> usize {
    let mut best = indices[0];
    let mut best_cost = cost(best);
    let mut ties = 1_u32;
    for &index in &indices[1..] {
        let cost = cost(index);
        if cost < best_cost {
            (best, best_cost, ties) = (index, cost, 1);
        } else if cost == best_cost {
            ties += 1;
            if rng.random_range(0..ties) == 0 {
                best = index;
            }
        }
    }
    best
}

fn random_sample(indices: Vec<usize>, rng: &mut impl Rng) -> Vec<usize> {
    if indices.len() <= MAX_COMPARED {
        return indices;
    }
    (0..MAX_COMPARED).map(|_| indices[rng.random_range(0..indices.len())]).collect()
}
