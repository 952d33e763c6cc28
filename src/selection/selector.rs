//! The selector: one for a host, over the targets of all its services.

use std::collections::BTreeSet;

use rand::Rng;

use super::{Candidate, HealthSignal, LoadReport, Policy, SelectorOptions, Tier, health::Health};
use crate::{base::invariant, manifest::Weighing, prelude::*};

/// Above this many candidates only a random sample is weighed, so that a choice stays cheap.
const SAMPLE: usize = 16;

/// How much better a target of another zone of the region must be than one of the own zone. A hop
/// costs a few milliseconds, and what that target has running is only guessed here.
const FAR_FACTOR: f64 = 3.0;

/// A target left or joined the pool because of its failures.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EjectionChange {
    /// Out for a time after repeated failures.
    Ejected(TargetId),
    /// Back, at a concurrency of one.
    Returned(TargetId),
}

/// Chooses targets and keeps what is known of their condition.
#[derive(Debug)]
pub struct Selector {
    changes: Vec<EjectionChange>,
    /// Targets whose time out has not been ended.
    ejected: BTreeSet<TargetId>,
    policy: Policy,
    rules: SelectorOptions,
    targets: BTreeMap<TargetId, Health>,
    turns: BTreeMap<ServiceId, usize>,
}

impl Selector {
    /// A selector that knows no target yet.
    pub fn new(policy: Policy) -> Self {
        Self::with_options(policy, SelectorOptions::default())
    }

    /// A selector with some safeguards off, for measurements.
    pub fn with_options(policy: Policy, rules: SelectorOptions) -> Self {
        Self {
            changes: Vec::new(),
            ejected: BTreeSet::new(),
            policy,
            rules,
            targets: BTreeMap::new(),
            turns: BTreeMap::new(),
        }
    }

    /// Takes up a changed weighing; what is known of the targets stays.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Index of the target to use, or `None` when none has room. Ejected targets are used only
    /// where no other candidate exists: ejection never empties a pool.
    pub fn pick(
        &mut self,
        service: &ServiceId,
        candidates: &[Candidate],
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        self.readmit(now);
        let tier = self.nearest(candidates, self.policy.reach());
        if tier.is_empty() {
            return None;
        }
        let index = match self.policy {
            Policy::LeastInFlight => {
                lowest(&tier, rng, |index| f64::from(candidates[index].in_flight))
            }
            Policy::Random => tier[rng.random_range(0..tier.len())],
            Policy::ReportedLoad => {
                lowest(&tier, rng, |index| self.reported_share(&candidates[index].target))
            }
            Policy::RoundRobin => self.next_turn(service, &tier),
            Policy::TwoChoices => {
                let two = [0; 2].map(|_| tier[rng.random_range(0..tier.len())]);
                lowest(&two, rng, |index| self.cost(&candidates[index], Weighing::Latency, now))
            }
            Policy::Weighed(weighing) => {
                let sample = sample(tier, rng);
                lowest(&sample, rng, |index| self.cost(&candidates[index], weighing, now))
            }
        };
        check_room(&candidates[index]);
        Some(index)
    }

    /// A request was sent to `target`.
    pub fn record_start(&mut self, target: &TargetId, now: Moment) {
        self.health(target, now).started();
    }

    /// A request to `target` ended after `latency`.
    pub fn record_end(
        &mut self,
        target: &TargetId,
        signal: HealthSignal,
        latency: Duration,
        now: Moment,
    ) {
        let eject = self.health(target, now).ended(signal, latency, now) && self.rules.eject;
        if eject && self.ejected.insert(target.clone()) {
            self.changes.push(EjectionChange::Ejected(target.clone()));
        }
    }

    /// A load report of `target` came in.
    pub fn record_report(&mut self, target: &TargetId, report: LoadReport, now: Moment) {
        self.health(target, now).report(report, now);
    }

    /// Requests that may run on `target` at a time: from 1 when cold to `slots`, 0 when draining.
    pub fn concurrency_limit(&self, target: &TargetId, slots: u32, now: Moment) -> u32 {
        match self.targets.get(target) {
            Some(health) => health.limit(slots, self.rules, now),
            None if self.rules.ramp => slots.min(1),
            None => slots,
        }
    }

    /// Whether the target itself said that it retires.
    pub fn is_draining(&self, target: &TargetId) -> bool {
        self.targets.get(target).is_some_and(Health::is_draining)
    }

    /// Whether the target is out because of its failures.
    pub fn is_ejected(&self, target: &TargetId, now: Moment) -> bool {
        self.rules.eject && self.targets.get(target).is_some_and(|health| health.is_ejected(now))
    }

    /// Mean latency of the target's whole answers.
    pub fn mean_latency(&self, target: &TargetId) -> Option<Duration> {
        self.targets.get(target)?.measured_latency()
    }

    /// Forgets targets that are no longer in the manifest.
    pub fn retain(&mut self, is_known: impl Fn(&TargetId) -> bool) {
        self.targets.retain(|target, _| is_known(target));
        self.ejected.retain(|target| is_known(target));
    }

    /// Ejections and returns since the last call.
    pub fn take_changes(&mut self) -> Vec<EjectionChange> {
        std::mem::take(&mut self.changes)
    }

    fn health(&mut self, target: &TargetId, now: Moment) -> &mut Health {
        if !self.targets.contains_key(target) {
            self.targets.insert(target.clone(), Health::new(now));
        }
        self.targets.get_mut(target).expect("inserted above if it was missing")
    }

    fn readmit(&mut self, now: Moment) {
        let is_over = |target: &TargetId| {
            let health = self.targets.get(target);
            health.and_then(Health::ejected_until).is_none_or(|until| until <= now)
        };
        let over: Vec<TargetId> =
            self.ejected.iter().filter(|target| is_over(target)).cloned().collect();
        for target in over {
            self.ejected.remove(&target);
            if self.targets.get_mut(&target).is_some_and(|health| health.try_return(now)) {
                self.changes.push(EjectionChange::Returned(target));
            }
        }
    }

    /// Indices of the candidates with room, in the nearest tier that has any and up to `reach`.
    fn nearest(&self, candidates: &[Candidate], reach: Tier) -> Vec<usize> {
        let is_sound = |candidate: &Candidate| {
            candidate.limit != 0
                && (self.ejected.is_empty() || !self.ejected.contains(&candidate.target))
        };
        let any_sound = candidates.iter().any(is_sound);
        let usable =
            |candidate: &Candidate| candidate.has_room() && (!any_sound || is_sound(candidate));
        let nearest = candidates
            .iter()
            .filter(|candidate| usable(candidate))
            .map(|candidate| candidate.tier)
            .min();
        let in_tier = |index: &usize| {
            let candidate = &candidates[*index];
            let near = nearest.is_some_and(|nearest| candidate.tier <= nearest.max(reach));
            near && usable(candidate)
        };
        (0..candidates.len()).filter(in_tier).collect()
    }

    fn reported_share(&self, target: &TargetId) -> f64 {
        self.targets.get(target).map_or(0.5, Health::reported_share)
    }

    /// Expected cost of one more request; lower is better.
    fn cost(&self, candidate: &Candidate, weighing: Weighing, now: Moment) -> f64 {
        let load = f64::from(candidate.in_flight + 1) / f64::from(candidate.limit.max(1));
        let Some(health) = self.targets.get(&candidate.target) else { return load };
        let latency = match weighing {
            Weighing::Headroom => health.latency(now).sqrt(),
            Weighing::Latency => health.latency(now),
        };
        let way = if candidate.tier == Tier::Zone { 1.0 } else { FAR_FACTOR };
        load * way * latency * (1.0 + health.refusals(now)) / health.trust(now)
    }

    fn next_turn(&mut self, service: &ServiceId, tier: &[usize]) -> usize {
        let turn = self.turns.entry(service.clone()).or_default();
        *turn = turn.wrapping_add(1);
        tier[*turn % tier.len()]
    }
}

pub(super) fn check_room(chosen: &Candidate) {
    invariant::hold(chosen.has_room(), "selection-has-room", || format!("{chosen:?}"));
}

/// The index of least cost; ties fall evenly.
fn lowest(indices: &[usize], rng: &mut impl Rng, cost: impl Fn(usize) -> f64) -> usize {
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

fn sample(tier: Vec<usize>, rng: &mut impl Rng) -> Vec<usize> {
    if tier.len() <= SAMPLE {
        return tier;
    }
    (0..SAMPLE).map(|_| tier[rng.random_range(0..tier.len())]).collect()
}
