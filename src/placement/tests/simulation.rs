//! A small model of hosts and targets that replays loads against the real decisions.
//!
//! Two hosts of a region take requests and tell each other every 100 ms what they run. Targets have
//! slots, a queue, and keep the objects that they were asked for last. Time goes in milliseconds.

use std::collections::VecDeque;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{known, secs};
use crate::{
    entry::KnownTarget,
    placement::{
        CachedObjects, Candidate, Choice, Forecast, HealthSignal, ObjectTag, PlacementQuery,
        ServiceEstimates, SlowdownReport, TargetHealth, TargetTag, Tuning, choose,
    },
    prelude::*,
};

const OBJECTS: u32 = 40;
/// Objects that a target keeps.
const CACHE_CAPACITY: usize = 13;
const TARGETS: usize = 6;
/// Slots of a target; see `known`.
const SLOTS: usize = 3;
/// Work at a target that knows the object and at one that does not, in milliseconds.
const KNOWN: u64 = 264;
const UNKNOWN: u64 = 880;
const OBJECTIVE: u64 = 600;
const DEADLINE: u64 = 4_000;
/// A target that takes this many times the usual time says nothing of how long work takes.
const STEADY: f64 = 1.5;
/// Time between two heartbeats, in milliseconds.
const HEARTBEAT: u64 = 100;

/// How requests came out.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub first_runs: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

impl Tally {
    /// Part of all requests that were answered in time.
    pub fn in_time_part(&self) -> f64 {
        f64::from(self.in_time) / f64::from((self.in_time + self.late + self.refused).max(1))
    }

    /// Part of the runs at targets that knew the object.
    pub fn known_part(&self) -> f64 {
        let runs = self.in_time + self.late;
        1.0 - f64::from(self.first_runs) / f64::from(runs.max(1))
    }
}

struct Job {
    arrived: u64,
    forecast: Forecast,
    /// The host's start that sent it.
    start: u32,
    host: usize,
    object: ObjectTag,
}

#[derive(Default)]
struct Target {
    memory: VecDeque<ObjectTag>,
    queue: VecDeque<Job>,
    running: Vec<(u64, Job)>,
}

#[derive(Default)]
struct Host {
    health: [TargetHealth; TARGETS],
    held: CachedObjects,
    in_flight: [u32; TARGETS],
    estimates: ServiceEstimates,
    runs: Vec<(TargetTag, ObjectTag)>,
    /// What the other hosts said that they run.
    told: [u32; TARGETS],
    told_slow: [Option<SlowdownReport>; TARGETS],
}

/// The whole world.
pub struct Model {
    hosts: Vec<Host>,
    known: Vec<Arc<KnownTarget>>,
    now: u64,
    rng: ChaCha8Rng,
    /// How many times as long each target takes.
    slow: [u64; TARGETS],
    start: u32,
    tally: Tally,
    targets: Vec<Target>,
    tuning: Tuning,
}

impl Model {
    /// An idle world with two hosts.
    pub fn new(seed: u64, tuning: Tuning) -> Self {
        Self {
            hosts: (0..2).map(|_| Host::default()).collect(),
            known: (0..TARGETS).map(|at| known(&format!("t-{seed}-{at}"), "north")).collect(),
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            slow: [1; TARGETS],
            start: 0,
            tally: Tally::default(),
            targets: (0..TARGETS).map(|_| Target::default()).collect(),
            tuning,
        }
    }

    /// Requests at a rate, in a second, of all hosts together; the outcome of those that ended.
    pub fn play(&mut self, span: Duration, rate: f64) -> Tally {
        self.tally = Tally::default();
        for _ in 0..span.as_millis() {
            self.now += 1;
            for host in 0..self.hosts.len() {
                if self.rng.random_bool(rate / 1_000.0 / self.hosts.len() as f64) {
                    self.arrive(host);
                }
            }
            (0..TARGETS).for_each(|at| self.work(at));
            if self.now.is_multiple_of(HEARTBEAT) {
                self.tell();
            }
        }
        self.tally
    }

    /// All hosts start again and know nothing; targets go on.
    pub fn restart_hosts(&mut self) {
        self.start += 1;
        self.hosts.iter_mut().for_each(|host| *host = Host::default());
    }

    /// More hosts, which know nothing.
    pub fn add_hosts(&mut self, hosts: usize) {
        self.hosts.extend((0..hosts).map(|_| Host::default()));
    }

    /// A target takes that many times as long from now on.
    pub fn slow_down(&mut self, target: usize, times: u64) {
        self.slow[target] = times;
    }

    fn arrive(&mut self, host: usize) {
        let object = self.rng.random_range(0..OBJECTS).wrapping_mul(0x9e37_79b9);
        let now = Duration::from_millis(self.now);
        let it = &mut self.hosts[host];
        let candidates: Vec<Candidate<'_>> = (0..TARGETS)
            .map(|at| Candidate {
                cold: false,
                depth: it.held.depth(self.known[at].tag, object),
                load: f64::from(it.in_flight[at] + it.told[at]),
                unavailable: false,
                slowdown: it.health[at].slowdown_with_report(it.told_slow[at], now),
                target: &self.known[at],
                round_trip: Duration::ZERO,
            })
            .collect();
        let (region, zone) = ("north".into(), "north-a".into());
        let ask = PlacementQuery {
            home_region: &region,
            estimates: it.estimates,
            time_left: Duration::from_millis(DEADLINE),
            may_spill: false,
            object: Some(object),
            objective: Duration::from_millis(OBJECTIVE),
            region: &region,
            tuning: self.tuning,
            zone: &zone,
        };
        let Choice::Send(offer) = choose(&candidates, &ask, object) else {
            self.tally.refused += 1;
            return;
        };
        let chosen = &candidates[offer.index];
        let forecast = Forecast {
            depth: chosen.depth,
            expected: offer.expected().div_f64(chosen.slowdown),
            has_free_slot: chosen.load < SLOTS as f64,
            is_primary_guess: offer.is_primary_guess,
            hit_probability: offer.hit_probability,
            object: Some(object),
            round_trip: Duration::ZERO,
        };
        it.estimates.work.record_sent(offer.work);
        it.held.record_use(self.known[offer.index].tag, object);
        it.runs.push((self.known[offer.index].tag, object));
        it.in_flight[offer.index] += 1;
        let job = Job { arrived: self.now, forecast, start: self.start, host, object };
        self.targets[offer.index].queue.push_back(job);
    }

    fn work(&mut self, at: usize) {
        let target = &mut self.targets[at];
        let (ended, running) = target.running.drain(..).partition(|(end, _)| *end <= self.now);
        target.running = running;
        while target.running.len() < SLOTS {
            let Some(job) = target.queue.pop_front() else { break };
            let known = target.memory.iter().position(|object| *object == job.object);
            if let Some(place) = known {
                target.memory.remove(place);
            }
            target.memory.push_front(job.object);
            target.memory.truncate(CACHE_CAPACITY);
            self.tally.first_runs += u32::from(known.is_none());
            let work = if known.is_some() { KNOWN } else { UNKNOWN };
            target.running.push((self.now + work * self.slow[at], job));
        }
        ended.into_iter().for_each(|(_, job)| self.end(at, job));
    }

    fn end(&mut self, at: usize, job: Job) {
        let took = self.now - job.arrived;
        match took <= OBJECTIVE {
            true => self.tally.in_time += 1,
            false => self.tally.late += 1,
        }
        if job.start != self.start {
            return;
        }
        let host = &mut self.hosts[job.host];
        host.in_flight[at] -= 1;
        let (took, now) = (Duration::from_millis(took), Duration::from_millis(self.now));
        let is_steady = host.health[at].slowdown(now) < STEADY;
        let usual = host.estimates.expected_time(&job.forecast);
        host.health[at].record_attempt(HealthSignal::Answered(took), usual, now);
        if job.forecast.has_free_slot {
            host.health[at].record_run(took, usual, now);
        }
        if !is_steady {
            return;
        }
        host.estimates.record_answer(&job.forecast, took, self.tuning.learn_cache_capacity);
    }

    fn tell(&mut self) {
        let now = Duration::from_millis(self.now);
        let runs: Vec<_> =
            self.hosts.iter_mut().map(|host| std::mem::take(&mut host.runs)).collect();
        let in_flight: Vec<_> = self.hosts.iter().map(|host| host.in_flight).collect();
        let slow: Vec<_> = self
            .hosts
            .iter()
            .map(|host| {
                (0..TARGETS)
                    .map(|at| host.health[at].report(host.told_slow[at], now))
                    .collect::<Vec<_>>()
            })
            .collect();
        for (at, host) in self.hosts.iter_mut().enumerate() {
            let others = || (0..in_flight.len()).filter(|other| *other != at);
            for target in 0..TARGETS {
                host.told[target] = others().map(|other| in_flight[other][target]).sum();
                let told = others().filter_map(|other| slow[other][target]);
                host.told_slow[target] = told
                    .reduce(SlowdownReport::merge)
                    .filter(|_| self.tuning.use_reported_slowness);
            }
            if !self.tuning.use_reported_runs {
                continue;
            }
            for (target, object) in others().flat_map(|other| &runs[other]) {
                host.held.record_use(*target, *object);
            }
        }
    }
}

/// Outcome of several seeds together.
pub fn sum(seeds: u64, tuning: Tuning, play: impl Fn(&mut Model) -> Tally) -> Tally {
    let mut sum = Tally::default();
    for seed in 0..seeds {
        let tally = play(&mut Model::new(seed, tuning));
        sum.first_runs += tally.first_runs;
        sum.in_time += tally.in_time;
        sum.late += tally.late;
        sum.refused += tally.refused;
    }
    sum
}

/// Ten usual seconds.
pub fn warm_up(model: &mut Model) {
    model.play(secs(10.0), 40.0);
}
