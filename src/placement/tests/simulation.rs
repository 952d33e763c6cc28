//! Simulation of hosts and targets that runs loads against the real placement decisions.
//!
//! Two hosts of a region accept requests and exchange their state every 100 ms. Targets have slots,
//! a queue and an LRU cache of objects. Time advances in milliseconds.

use std::collections::VecDeque;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{known, secs};
use crate::{
    entry::KnownTarget,
    placement::{
        CachedObjects, Candidate, Choice, FirstRunBudget, FirstRunRule, Forecast, HealthSignal,
        LimitedTargetPacer, ObjectTag, Pace, PlacementQuery, ServiceEstimates, SlotUse,
        SlowdownReport, TargetHealth, TargetTag, Tuning, choose,
    },
    prelude::*,
};

const OBJECTS: u32 = 40;
/// Objects that a target caches.
const CACHE_CAPACITY: usize = 13;
const TARGETS: usize = 6;
/// Slots of a target; see `known`.
const SLOTS: usize = 3;
/// Time of a cache hit and of a miss at a target, in milliseconds.
const HIT_MS: u64 = 264;
const MISS_MS: u64 = 880;
const OBJECTIVE_MS: u64 = 600;
const DEADLINE_MS: u64 = 4_000;
/// Slowdown from which a target's answers are left out of the estimates of work times.
const MAX_STEADY_SLOWDOWN: f64 = 1.5;
/// Interval of heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 100;

/// Counts of requests by outcome. Refusals count when the request arrives, misses when its run
/// starts, and answers, in time or late, when the run ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub misses: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

impl Tally {
    /// Fraction of all requests that were answered in time.
    pub fn in_time_fraction(&self) -> f64 {
        f64::from(self.in_time) / f64::from((self.in_time + self.late + self.refused).max(1))
    }

    /// Fraction of the runs that were cache hits. Runs count at their end and misses at their
    /// start, so runs in progress at either end of the simulated span make it slightly inexact.
    pub fn hit_fraction(&self) -> f64 {
        let runs = self.in_time + self.late;
        1.0 - f64::from(self.misses) / f64::from(runs.max(1))
    }
}

struct Run {
    /// Time of arrival, in milliseconds since the start of the simulation.
    arrived: u64,
    forecast: Forecast,
    /// Number of host restarts before it was sent.
    restarts: u32,
    host: usize,
    object: ObjectTag,
}

#[derive(Default)]
struct Target {
    cache: VecDeque<ObjectTag>,
    queue: VecDeque<Run>,
    running: Vec<(u64, Run)>,
}

#[derive(Default)]
struct Host {
    health: [TargetHealth; TARGETS],
    cached_objects: CachedObjects,
    in_flight: [u32; TARGETS],
    pacer: LimitedTargetPacer,
    estimates: ServiceEstimates,
    first_runs: FirstRunBudget,
    unreported_runs: Vec<(TargetTag, ObjectTag)>,
    /// Requests that the other hosts reported in flight.
    reported_in_flight: [u32; TARGETS],
    reported_slowdowns: [Option<SlowdownReport>; TARGETS],
}

/// The pace of one of two senders.
fn sender_pace(limit: f64) -> Pace {
    Pace { confirmed_at: Moment::ZERO, hosts: 2, limit, may_be_split: false, rank: Some(0) }
}

/// Simulated hosts and targets.
pub struct Simulation {
    hosts: Vec<Host>,
    known_targets: Vec<Arc<KnownTarget>>,
    /// Limits of targets, known to all hosts, in requests per second.
    limits: [Option<f64>; TARGETS],
    /// Time since the start of the simulation, in milliseconds.
    now: u64,
    rng: ChaCha8Rng,
    /// Factor by which each target is slowed down.
    slowdowns: [u64; TARGETS],
    is_rationed: bool,
    restarts: u32,
    tally: Tally,
    targets: Vec<Target>,
    tuning: Tuning,
}

impl Simulation {
    /// Two hosts and idle targets.
    pub fn new(seed: u64, tuning: Tuning) -> Self {
        Self {
            hosts: (0..2).map(|_| Host::default()).collect(),
            known_targets: (0..TARGETS)
                .map(|index| known(&format!("t-{seed}-{index}"), "north"))
                .collect(),
            limits: [None; TARGETS],
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            slowdowns: [1; TARGETS],
            is_rationed: false,
            restarts: 0,
            tally: Tally::default(),
            targets: (0..TARGETS).map(|_| Target::default()).collect(),
            tuning,
        }
    }

    /// Sends requests at `rate` per second over all hosts, and returns the outcomes of those that
    /// ended.
    pub fn simulate(&mut self, span: Duration, rate: f64) -> Tally {
        self.tally = Tally::default();
        for _ in 0..span.as_millis() {
            self.now += 1;
            for host in 0..self.hosts.len() {
                if self.rng.random_bool(rate / 1_000.0 / self.hosts.len() as f64) {
                    self.place_request(host);
                }
            }
            (0..TARGETS).for_each(|index| self.advance_target(index));
            if self.now.is_multiple_of(HEARTBEAT_MS) {
                self.exchange_reports();
            }
        }
        self.tally
    }

    /// Restarts all hosts without any state, while targets continue.
    pub fn restart_hosts(&mut self) {
        self.restarts += 1;
        self.hosts.iter_mut().for_each(|host| *host = Host::default());
    }

    /// Adds hosts without any state.
    pub fn add_hosts(&mut self, hosts: usize) {
        self.hosts.extend((0..hosts).map(|_| Host::default()));
    }

    /// Slows a target down by a factor from now on.
    pub fn slow_down(&mut self, target: usize, factor: u64) {
        self.slowdowns[target] = factor;
    }

    /// Rations first runs from now on.
    pub fn ration_first_runs(&mut self) {
        self.is_rationed = true;
    }

    /// Limits a target to `per_second` requests from now on. Both hosts may send to it.
    pub fn limit(&mut self, target: usize, per_second: f64) {
        self.limits[target] = Some(per_second);
    }

    fn place_request(&mut self, host: usize) {
        // The multiplier, 2^32 divided by the golden ratio, spreads the tags over all values.
        let object = self.rng.random_range(0..OBJECTS).wrapping_mul(0x9e37_79b9);
        let now = Duration::from_millis(self.now);
        let it = &mut self.hosts[host];
        let candidates: Vec<Candidate<'_>> = (0..TARGETS)
            .map(|index| Candidate {
                available_in: None,
                cold: false,
                is_recheck_due: false,
                depth: it.cached_objects.depth(self.known_targets[index].tag, object),
                load: f64::from(it.in_flight[index] + it.reported_in_flight[index]),
                unavailable: self.limits[index].is_some_and(|limit| {
                    !it.pacer.may_send(self.known_targets[index].tag, &sender_pace(limit), now)
                }),
                slowdown: it.health[index].slowdown_with_report(it.reported_slowdowns[index], now),
                target: &self.known_targets[index],
                round_trip: Duration::ZERO,
            })
            .collect();
        let (region, zone) = ("north".into(), "north-a".into());
        let query = PlacementQuery {
            home_region: &region,
            estimates: it.estimates,
            first_runs: it.first_runs.rule(),
            max_answer: None,
            time_left: Duration::from_millis(DEADLINE_MS),
            may_spill: false,
            object: Some(object),
            objective: Duration::from_millis(OBJECTIVE_MS),
            region: &region,
            tuning: self.tuning,
            zone: &zone,
        };
        let mut choice = choose(&candidates, &query, object);
        let run = it.estimates.work.miss();
        if matches!(choice, Choice::Busy { denied_first_run: true, .. })
            && it.first_runs.take_exception(object, run)
        {
            let query = PlacementQuery { first_runs: FirstRunRule::Unlimited, ..query };
            choice = choose(&candidates, &query, object);
        }
        let Choice::Send(estimate) = choice else {
            self.tally.refused += 1;
            return;
        };
        let chosen = &candidates[estimate.index];
        let forecast = Forecast {
            depth: chosen.depth,
            expected: estimate.expected().div_f64(chosen.slowdown),
            has_free_slot: chosen.load < SLOTS as f64,
            is_primary_guess: estimate.is_primary_guess,
            hit_probability: estimate.hit_probability,
            object: Some(object),
            round_trip: Duration::ZERO,
        };
        if let Some(limit) = self.limits[estimate.index] {
            it.pacer.charge(self.known_targets[estimate.index].tag, &sender_pace(limit), now);
        }
        it.estimates.work.record_sent(estimate.work);
        it.cached_objects.record_use(self.known_targets[estimate.index].tag, object);
        it.unreported_runs.push((self.known_targets[estimate.index].tag, object));
        it.in_flight[estimate.index] += 1;
        let run = Run { arrived: self.now, forecast, restarts: self.restarts, host, object };
        self.targets[estimate.index].queue.push_back(run);
    }

    fn advance_target(&mut self, index: usize) {
        let target = &mut self.targets[index];
        let (ended, running) = target.running.drain(..).partition(|(end, _)| *end <= self.now);
        target.running = running;
        while target.running.len() < SLOTS {
            let Some(run) = target.queue.pop_front() else { break };
            let cached = target.cache.iter().position(|object| *object == run.object);
            if let Some(position) = cached {
                target.cache.remove(position);
            }
            target.cache.push_front(run.object);
            target.cache.truncate(CACHE_CAPACITY);
            self.tally.misses += u32::from(cached.is_none());
            let duration = if cached.is_some() { HIT_MS } else { MISS_MS };
            target.running.push((self.now + duration * self.slowdowns[index], run));
        }
        ended.into_iter().for_each(|(_, run)| self.finish_run(index, run));
    }

    fn finish_run(&mut self, index: usize, run: Run) {
        let took = self.now - run.arrived;
        match took <= OBJECTIVE_MS {
            true => self.tally.in_time += 1,
            false => self.tally.late += 1,
        }
        if run.restarts != self.restarts {
            return;
        }
        let host = &mut self.hosts[run.host];
        host.in_flight[index] -= 1;
        let (took, now) = (Duration::from_millis(took), Duration::from_millis(self.now));
        let is_normal_speed = host.health[index].slowdown(now) < MAX_STEADY_SLOWDOWN;
        let expected = host.estimates.expected_time(&run.forecast);
        host.health[index].record_attempt(HealthSignal::Answered(took), expected, now);
        if run.forecast.has_free_slot {
            host.health[index].record_run(took, expected, now);
        }
        if !is_normal_speed {
            return;
        }
        host.estimates.record_answer(&run.forecast, took, self.tuning.learn_cache_capacity);
    }

    fn exchange_reports(&mut self) {
        let now = Duration::from_millis(self.now);
        let runs: Vec<_> =
            self.hosts.iter_mut().map(|host| std::mem::take(&mut host.unreported_runs)).collect();
        let in_flight: Vec<_> = self.hosts.iter().map(|host| host.in_flight).collect();
        let reported: Vec<_> = self
            .hosts
            .iter()
            .map(|host| {
                (0..TARGETS)
                    .map(|index| host.health[index].report(host.reported_slowdowns[index], now))
                    .collect::<Vec<_>>()
            })
            .collect();
        for (index, host) in self.hosts.iter_mut().enumerate() {
            let others = || (0..in_flight.len()).filter(|other| *other != index);
            for target in 0..TARGETS {
                host.reported_in_flight[target] =
                    others().map(|other| in_flight[other][target]).sum();
                let reports = others().filter_map(|other| reported[other][target]);
                host.reported_slowdowns[target] = reports
                    .reduce(SlowdownReport::merge)
                    .filter(|_| self.tuning.use_reported_slowness);
            }
            if self.is_rationed {
                let mut slot_use = SlotUse::default();
                for target in 0..TARGETS {
                    let load = host.in_flight[target] + host.reported_in_flight[target];
                    slot_use.add_target(SLOTS as u32, f64::from(load));
                }
                let part = 1.0 / in_flight.len() as f64;
                host.first_runs.update(slot_use, part, host.estimates.work.miss(), now);
            }
            if !self.tuning.use_reported_runs {
                continue;
            }
            for (target, object) in others().flat_map(|other| &runs[other]) {
                host.cached_objects.record_use(*target, *object);
            }
        }
    }
}

/// Runs a scenario with several seeds, and sums up the outcomes.
pub fn sum(seeds: u64, tuning: Tuning, scenario: impl Fn(&mut Simulation) -> Tally) -> Tally {
    let mut sum = Tally::default();
    for seed in 0..seeds {
        let tally = scenario(&mut Simulation::new(seed, tuning));
        sum.misses += tally.misses;
        sum.in_time += tally.in_time;
        sum.late += tally.late;
        sum.refused += tally.refused;
    }
    sum
}

/// Ten seconds of normal load.
pub fn warm_up(simulation: &mut Simulation) {
    simulation.simulate(secs(10.0), 40.0);
}
