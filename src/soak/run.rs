//! One run and many: faults begin and end, the checker is asked after each step.

use std::{
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    thread,
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Breach, Fault, FaultKind, Promise,
    fault::schedule,
    fixture::{TARGETS, forged, signed, zone_of_host},
    message::Item,
    shrink::shrink,
    world::World,
};
use crate::prelude::*;

/// Virtual time that a step takes on average; only sets where in a run the faults fall.
const STEP_TIME: Duration = Duration::from_micros(5_000);

/// Lines of the time line that a failure shows.
const LINES: usize = 80;

/// How long, and from which seeds.
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions {
    pub seed: u64,
    /// Seeds to run, from `seed` on.
    pub seeds: u64,
    pub steps: u64,
    /// Threads to use.
    pub threads: usize,
}

/// What came out.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// The first broken promise by seed, with the shortest run that shows it.
    pub breach: Option<Failure>,
    /// How often each promise was checked.
    pub checks: BTreeMap<Promise, u64>,
    /// Depends on every event of every run.
    pub digest: u64,
    /// How often callers were told each kind of error.
    pub errors: BTreeMap<ErrorKind, u64>,
    pub faults: BTreeMap<FaultKind, u64>,
    /// Pairs of faults that overlapped.
    pub overlaps: u64,
    pub requests: u64,
    pub seeds: u64,
    pub steps: u64,
    /// Overlapping pairs of one kind.
    pub twice: u64,
}

/// A broken promise and how to see it again.
#[derive(Clone, Debug, Serialize)]
pub struct Failure {
    pub breach: Breach,
    /// What still has to fail for it to break.
    pub faults: Vec<Fault>,
    /// The end of the time line.
    pub lines: Vec<String>,
    pub seed: u64,
    pub steps: u64,
}

/// What one run came to.
pub(super) struct Outcome {
    pub(super) steps: u64,
    pub(super) world: World,
}

/// Runs all seeds; ends with the first broken promise of the lowest seed that shows one.
pub fn soak(options: &SoakOptions, progress: impl Fn(u64) + Sync) -> Report {
    let (next, failed, done) =
        (AtomicU64::new(options.seed), AtomicBool::new(false), AtomicU64::new(0));
    let end = options.seed + options.seeds;
    let work = || {
        let mut reports = BTreeMap::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if end <= seed || failed.load(Ordering::Relaxed) {
                return reports;
            }
            let report = run_seed(seed, options.steps);
            if report.breach.is_some() {
                failed.store(true, Ordering::Relaxed);
            }
            reports.insert(seed, report);
            progress(done.fetch_add(1, Ordering::Relaxed) + 1);
        }
    };
    let reports = thread::scope(|scope| {
        let threads: Vec<_> = (0..options.threads.max(1)).map(|_| scope.spawn(work)).collect();
        let joined = threads.into_iter().map(|thread| thread.join().expect("runs do not panic"));
        joined.flatten().collect::<BTreeMap<u64, Report>>()
    });
    let mut sum = Report::default();
    reports.into_values().for_each(|report| sum.add(report));
    if let Some(failure) = sum.breach.take() {
        sum.breach = Some(shrink(failure));
    }
    sum
}

fn run_seed(seed: u64, steps: u64) -> Report {
    let length = STEP_TIME.mul_f64(steps as f64);
    let faults = schedule(length, &mut ChaCha8Rng::seed_from_u64(seed ^ 0xfa17));
    let Outcome { steps, mut world } = run(seed, steps, faults.clone());
    let mut report = Report { seeds: 1, steps, ..Report::default() };
    for (number, fault) in faults.iter().enumerate() {
        *report.faults.entry(fault.kind).or_default() += 1;
        let earlier = faults[..number].iter().filter(|other| other.overlaps(fault));
        for other in earlier {
            report.overlaps += 1;
            report.twice += u64::from(other.kind == fault.kind);
        }
    }
    report.checks = std::mem::take(&mut world.checker.checked);
    report.digest = world.digest_value();
    report.errors = std::mem::take(&mut world.errors);
    report.requests = world.callers.len() as u64;
    report.breach = failure(seed, faults, Outcome { steps, world });
    report
}

/// Runs one seed with these faults, until a promise breaks or the steps are done.
pub(super) fn run(seed: u64, steps: u64, faults: Vec<Fault>) -> Outcome {
    let mut world = World::new(seed, faults);
    for step in 0..steps {
        if !world.step() || world.checker.breach.is_some() {
            return Outcome { steps: step + 1, world };
        }
    }
    Outcome { steps, world }
}

/// What a run showed, if a promise broke.
pub(super) fn failure(seed: u64, faults: Vec<Fault>, outcome: Outcome) -> Option<Failure> {
    let Outcome { steps, world } = outcome;
    let breach = world.checker.breach.clone()?;
    let lines = world.lines_of(breach.request, LINES);
    Some(Failure { breach, faults, lines, seed, steps })
}

impl Report {
    fn add(&mut self, other: Report) {
        self.breach = self.breach.take().or(other.breach);
        self.digest = xxh3_64(format!("{} {}", self.digest, other.digest).as_bytes());
        other.checks.into_iter().for_each(|(key, n)| *self.checks.entry(key).or_default() += n);
        other.errors.into_iter().for_each(|(key, n)| *self.errors.entry(key).or_default() += n);
        other.faults.into_iter().for_each(|(key, n)| *self.faults.entry(key).or_default() += n);
        self.overlaps += other.overlaps;
        self.requests += other.requests;
        self.seeds += other.seeds;
        self.steps += other.steps;
        self.twice += other.twice;
    }

    /// Kinds of failure and promises that never came up.
    pub fn missing(&self) -> Vec<String> {
        let faults = FaultKind::ALL.iter().filter(|kind| !self.faults.contains_key(kind));
        let checks = Promise::ALL.iter().filter(|promise| !self.checks.contains_key(promise));
        faults.map(|kind| format!("{kind:?}")).chain(checks.map(|p| format!("{p:?}"))).collect()
    }
}

impl World {
    pub(super) fn begin_fault(&mut self, number: usize) {
        let fault = self.faults[number];
        self.active.insert(number);
        self.push(fault.lasts, Item::FaultEnd(number));
        for host in 0..self.hosts.len() {
            if fault.touches(host) {
                self.trouble(host, fault.lasts);
            }
        }
        self.line(fault.host(), &format!("fault {:?} for {:?}", fault.kind, fault.lasts));
        match fault.kind {
            FaultKind::HostKilled => self.kill(fault.host()),
            FaultKind::HostPaused => {
                self.hosts[fault.host()].paused_until = self.now + fault.lasts;
            }
            FaultKind::OperatorsRace => self.race(fault.target()),
            FaultKind::PlannedStop => self.begin_stop(fault.host()),
            FaultKind::PoisonRequest => {
                let region = fault.region();
                self.push(Duration::ZERO, Item::CallerNext { poison: true, region, rival: false });
            }
            FaultKind::RegionLost => self.lose_region(fault.region()),
            FaultKind::RivalTraffic => self.send_rival(fault.region()),
            FaultKind::TargetDrained => self.propose(Some(fault.target())),
            FaultKind::TargetKilled => self.crash_target(fault.target()),
            _ => {}
        }
    }

    fn propose(&mut self, drained: Option<usize>) {
        let expect = self.platform.sequence;
        let signed = signed(expect + 1, drained);
        let way = Duration::from_millis(self.rng.random_range(5..60));
        self.push(way, Item::ManifestWrite { expect, signed });
    }

    /// Two pipelines build on the same manifest.
    fn race(&mut self, target: usize) {
        self.propose(Some(target));
        self.propose(Some((target + 1) % TARGETS));
        self.propose(None);
    }

    fn lose_region(&mut self, region: usize) {
        let lost = |zone: usize| super::fixture::region_of_zone(zone) == region;
        for host in (0..self.hosts.len()).filter(|host| lost(zone_of_host(*host))) {
            self.kill(host);
        }
        for target in (0..TARGETS).filter(|target| lost(super::fixture::zone_of_target(*target))) {
            self.crash_target(target);
        }
    }

    fn send_rival(&mut self, region: usize) {
        for _ in 0..3 {
            self.push(Duration::ZERO, Item::CallerNext { poison: false, region, rival: true });
        }
        let processes: Vec<_> =
            self.hosts.iter().filter_map(|host| Some(host.running.as_ref()?.id)).collect();
        for to in processes {
            self.push(Duration::ZERO, Item::Manifest { signed: forged(), to });
        }
    }
}

impl Fault {
    /// Whether it is done to that host, to its zone, or to what all hosts need.
    fn touches(&self, host: usize) -> bool {
        match self.kind {
            FaultKind::HostKilled | FaultKind::HostPaused | FaultKind::PlannedStop => {
                self.host() == host
            }
            FaultKind::ZoneCut => self.zone() == zone_of_host(host),
            FaultKind::AnswersAstray
            | FaultKind::MeasurementsStopped
            | FaultKind::PlatformDown
            | FaultKind::PlatformLosesAnswers
            | FaultKind::PlatformSlow
            | FaultKind::RegionLost => true,
            FaultKind::OperatorsRace
            | FaultKind::PoisonRequest
            | FaultKind::RivalTraffic
            | FaultKind::Surge
            | FaultKind::TargetDrained
            | FaultKind::TargetKilled => false,
        }
    }
}
