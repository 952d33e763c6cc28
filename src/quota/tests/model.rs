//! Simulation of hosts with delayed reports, which runs each quota strategy under the same load.

use std::collections::VecDeque;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    super::{PeerState, Quota, SharedBuckets, TeamCounts, TeamLimit, Verdict},
    share::{ShareBuckets, ShareBy},
};
use crate::prelude::*;

const TEAM: u32 = 7;
const HOSTS: usize = 72;
const REGIONS: usize = 3;

/// Length of a simulation step.
const STEP: Duration = Duration::from_millis(20);

/// Steps between two reports of a host.
const REPORT_INTERVAL: usize = 5;

/// Largest delay of a report within a region and between regions, in report intervals.
const SAME_REGION_DELAY: usize = 3;
const CROSS_REGION_DELAY: usize = 10;

/// Missed reports after which a host counts as lost.
const LOST_AFTER: usize = 17;

/// Least difference of start times for one host to count as started earlier.
const START_MARGIN: Duration = Duration::from_secs(2);

/// Time of the fault.
const FAULT_AT: Duration = Duration::from_secs(12);

/// Window of the bound, and its allowance beyond rate and burst.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Fault injected into a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// From 12 s on, three of every eight hosts neither send nor receive reports; all keep running.
    Isolated,
    /// Half of the hosts are killed at 12 s and restart without state 2 s later.
    Killed,
    None,
    /// From 12 s on, one region and the others receive no reports from each other; all keep
    /// running.
    Partitioned,
    /// All hosts are killed at 12 s and restart immediately.
    Restarted,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub fault: Fault,
    /// Factor applied to the usual load from 10 s to 18 s.
    pub load_factor: f64,
    pub limit: TeamLimit,
    /// Whether most callers move from region to region over time.
    pub callers_move: bool,
    pub seed: u64,
}

/// Result of a run.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Requests admitted in the worst window, as a fraction of the bound.
    pub peak: f64,
    /// Fraction of the requests below the limit that was rejected.
    pub rejected: f64,
}

struct Host {
    quota: Box<dyn Quota>,
    /// Time of the last start. The host has no state from before.
    started: Moment,
}

impl Host {
    fn is_up(&self, now: Moment) -> bool {
        self.started <= now
    }
}

fn region(host: usize) -> usize {
    host % REGIONS
}

/// Simulates thirty seconds with a usual load of 1/1.6 of the limit.
pub fn simulate(scenario: Scenario, quota: impl Fn(Moment) -> Box<dyn Quota>) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
    let limits = [(TEAM, scenario.limit)].into();
    let host = |now| {
        let mut quota = quota(now);
        quota.set_limits(&limits, now);
        Host { quota, started: now }
    };
    let mut hosts: Vec<Host> = (0..HOSTS).map(|_| host(Duration::ZERO)).collect();
    // Reports by interval, then by host; `None` while a host is down.
    let mut reports: Vec<Vec<Option<TeamCounts>>> = Vec::new();
    let mut admitted: VecDeque<Moment> = VecDeque::new();
    let (mut peak, mut rejected, mut eligible): (f64, u32, u32) = (0.0, 0, 0);
    let bound = (scenario.limit.rate * WINDOW.as_secs_f64() + scenario.limit.burst)
        * (1.0 + OVERAGE)
        + SLACK;
    for step in 0..1_500 {
        let now = STEP * step as u32;
        let secs = now.as_secs_f64();
        if now == FAULT_AT {
            inject_fault(scenario.fault, &mut hosts, now, &host);
        }
        if step % REPORT_INTERVAL == 0 {
            for at in 0..HOSTS {
                let peers = peers(scenario.fault, &hosts, &reports, at);
                hosts[at].quota.update_peers(&peers, now);
            }
            let report = |host: &Host| {
                let counts = host.quota.report(now).first().map_or((0, 0), |(_, counts)| *counts);
                host.is_up(now).then_some(counts)
            };
            reports.push(hosts.iter().map(report).collect());
        }
        let is_overload = (10.0..18.0).contains(&secs);
        let rate = scenario.limit.rate / 1.6 * if is_overload { scenario.load_factor } else { 1.0 };
        let expected = rate * STEP.as_secs_f64();
        let mut arrivals = expected as u32;
        arrivals += u32::from(rng.random::<f64>() < expected.fract());
        for _ in 0..arrivals {
            let mut at = rng.random_range(0..HOSTS);
            if scenario.callers_move && rng.random::<f64>() < 0.8 {
                at -= at % REGIONS;
                at += (secs / 4.0) as usize % REGIONS;
            }
            if !hosts[at].is_up(now) {
                continue;
            }
            let verdict = hosts[at].quota.admit(TEAM, rng.random(), now);
            let is_within_limit = !is_overload || scenario.load_factor <= 1.0;
            // Excludes the startup of all hosts, and the time after an overload while buckets may
            // be in debt.
            let counts = is_within_limit && 2.0 < secs && !(18.0..24.0).contains(&secs);
            eligible += u32::from(counts);
            match verdict {
                Verdict::Admitted => admitted.push_back(now),
                Verdict::Limited { .. } => rejected += u32::from(counts),
            }
        }
        while admitted.front().is_some_and(|at| *at + WINDOW < now) {
            admitted.pop_front();
        }
        peak = peak.max(admitted.len() as f64 / bound);
    }
    Outcome { peak, rejected: f64::from(rejected) / f64::from(eligible.max(1)) }
}

fn inject_fault(fault: Fault, hosts: &mut [Host], now: Moment, host: &impl Fn(Moment) -> Host) {
    match fault {
        Fault::Killed => {
            let killed = hosts.iter_mut().step_by(2);
            killed.for_each(|killed| *killed = host(now + Duration::from_secs(2)));
        }
        Fault::Restarted => hosts.iter_mut().for_each(|restarted| *restarted = host(now)),
        Fault::Isolated | Fault::None | Fault::Partitioned => {}
    }
}

/// Whether reports between two hosts are lost from the time of the fault.
fn are_reports_lost(fault: Fault, from: usize, to: usize) -> bool {
    match fault {
        Fault::Isolated => [from, to].iter().any(|host| host % 8 < 3),
        Fault::Partitioned => (region(from) == 0) != (region(to) == 0),
        Fault::Killed | Fault::None | Fault::Restarted => false,
    }
}

/// State of the other hosts according to the reports that a host has received.
fn peers(
    fault: Fault,
    hosts: &[Host],
    reports: &[Vec<Option<TeamCounts>>],
    own: usize,
) -> PeerState {
    let interval_at = |at: Duration| (at.as_millis() / STEP.as_millis()) as usize / REPORT_INTERVAL;
    let mut peers = PeerState { live_hosts: 1, known_hosts: 1, ..PeerState::default() };
    let mut started_earlier = 0;
    let mut sum = (0, 0);
    for from in (0..HOSTS).filter(|from| *from != own) {
        let delay_max =
            if region(from) == region(own) { SAME_REGION_DELAY } else { CROSS_REGION_DELAY };
        let delay = delay_max.div_ceil(2) + (from * 31 + own) % (delay_max / 2 + 1);
        let mut end = reports.len().saturating_sub(delay);
        if are_reports_lost(fault, from, own) {
            end = end.min(interval_at(FAULT_AT));
        }
        let first = interval_at(hosts[own].started).min(end);
        let Some(last) = (first..end).rev().find(|at| reports[*at][from].is_some()) else {
            continue;
        };
        peers.known_hosts += 1;
        if reports.len() <= last + delay + LOST_AFTER {
            peers.live_hosts += 1;
            started_earlier +=
                usize::from(hosts[from].started + START_MARGIN <= hosts[own].started);
            let counts = reports[last][from].unwrap_or_default();
            sum = (sum.0 + counts.0, sum.1 + counts.1);
        }
    }
    peers.started_earlier = peers.live_hosts < started_earlier * 2;
    peers.counts.insert(TEAM, sum);
    peers
}

const FAULTS: [Fault; 5] =
    [Fault::None, Fault::Killed, Fault::Isolated, Fault::Partitioned, Fault::Restarted];

type Strategy = (&'static str, fn(Moment) -> Box<dyn Quota>);

const STRATEGIES: [Strategy; 3] = [
    ("shared bucket", |now| Box::new(SharedBuckets::new(now))),
    ("share by demand", |_| Box::new(ShareBuckets::new(ShareBy::Demand))),
    ("even share", |_| Box::new(ShareBuckets::new(ShareBy::Host))),
];

fn limits() -> [TeamLimit; 3] {
    [8.0, 40.0, 370.0].map(|rate| TeamLimit { burst: rate, rate })
}

/// Guards against a team that exceeds its bound, with and without host and network faults.
#[test]
fn no_window_exceeds_the_bound() {
    for seed in 0..4 {
        for fault in FAULTS {
            for limit in limits() {
                for load_factor in [1.0, 7.5] {
                    let scenario =
                        Scenario { fault, load_factor, limit, callers_move: seed % 2 == 1, seed };
                    let outcome = simulate(scenario, STRATEGIES[0].1);
                    assert!(outcome.peak <= 1.0, "{scenario:?}: {outcome:?}");
                }
            }
        }
    }
}

/// Guards against rejections of a team within its limit, including while its callers move.
#[test]
fn requests_below_the_limit_are_rarely_rejected() {
    for seed in 0..4 {
        for limit in limits() {
            let scenario = Scenario {
                fault: Fault::None,
                load_factor: 1.0,
                limit,
                callers_move: seed % 2 == 1,
                seed,
            };
            let outcome = simulate(scenario, STRATEGIES[0].1);
            assert!(outcome.rejected <= 0.002, "{scenario:?}: {outcome:?}");
        }
    }
}

/// Guards against isolated hosts that reject nearly all requests of a team with a low limit,
/// because their share of the capacity is below one request.
#[test]
fn few_requests_below_the_limit_are_rejected_with_isolated_hosts() {
    for seed in 0..2 {
        for limit in limits() {
            let callers_move = seed % 2 == 1;
            let scenario =
                Scenario { fault: Fault::Isolated, load_factor: 1.0, limit, callers_move, seed };
            let outcome = simulate(scenario, STRATEGIES[0].1);
            assert!(outcome.rejected <= 0.1, "{scenario:?}: {outcome:?}");
        }
    }
}

/// Guards against a change that invalidates the choice of the shared bucket. Prints the results of
/// each strategy as rows of the table in docs/design/shifted-work.md.
#[test]
#[expect(clippy::print_stdout, reason = "prints the result table")]
fn strategies_compared() {
    let mut worst: BTreeMap<&str, Outcome> = BTreeMap::new();
    for (name, strategy) in STRATEGIES {
        for fault in FAULTS {
            for limit in limits() {
                let scenarios = (0..2).flat_map(|seed| {
                    [1.0, 7.5].map(|load_factor| Scenario {
                        fault,
                        load_factor,
                        limit,
                        callers_move: seed % 2 == 1,
                        seed,
                    })
                });
                let outcomes: Vec<Outcome> =
                    scenarios.map(|scenario| simulate(scenario, strategy)).collect();
                let peak = outcomes.iter().map(|outcome| outcome.peak).fold(0.0, f64::max);
                let rejected = outcomes.iter().map(|outcome| outcome.rejected).fold(0.0, f64::max);
                println!("| {name} | {fault:?} | {} | {peak:.2} | {rejected:.3} |", limit.rate);
                let worst = worst.entry(name).or_insert(Outcome { peak: 0.0, rejected: 0.0 });
                worst.peak = worst.peak.max(peak);
                worst.rejected = worst.rejected.max(rejected);
            }
        }
    }
    assert!(worst["shared bucket"].peak <= 1.0, "{worst:?}");
    assert!(1.0 < worst["share by demand"].peak, "{worst:?}");
    assert!(worst["shared bucket"].rejected < worst["even share"].rejected, "{worst:?}");
}
