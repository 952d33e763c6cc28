//! The start of a region's hosts, replayed: each begins at a moment of its own, hears of demand
//! late, and moves its own shares.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::secs;
use crate::{
    placement::{RegionLoad, RegionShares, SentCounter, SentTotals, Tuning, name_tag},
    prelude::*,
};

const BOUND: f64 = 0.15;
const HOSTS: usize = 22;
/// Time of a request at a target, in seconds.
const WORK: f64 = 0.3;
/// Requests a second of all callers of each region, when they are most.
const RATE: f64 = 800.0;
const REGIONS: [&str; 3] = ["north", "south", "west"];
/// Slots of each region: the callers' own one can run a third of what they ask for.
const SLOTS: [f64; 3] = [90.0, 450.0, 360.0];
/// Delay of what hosts hear of each other, in steps of a tenth of a second.
const DELAY: usize = 3;
const STEPS: usize = 120;

/// What hosts go by.
#[derive(Clone, Copy, PartialEq)]
enum Rule {
    /// Each host keeps the bound by itself and begins with the shares that it would choose then.
    Alone,
    /// All hosts of the region keep it together, as they do.
    Together,
}

struct Host {
    demand: f64,
    arrivals: u32,
    /// The step of its first request.
    first: usize,
    sent: SentCounter,
    shares: Option<RegionShares>,
}

/// The largest part of the region's requests that changed its region from one window of two seconds
/// to the next, wherever these begin. Hosts see the requests that chance sent; what is judged is what
/// they would send on average.
fn largest_shift(seed: u64, rule: Rule, tuning: &Tuning) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut hosts: Vec<Host> = (0..HOSTS)
        .map(|_| Host {
            demand: 0.0,
            arrivals: 0,
            first: rng.random_range(0..40),
            sent: SentCounter::default(),
            shares: None,
        })
        .collect();
    let mut told: Vec<f64> = Vec::new();
    let mut ran: Vec<[f64; 3]> = Vec::new();
    let mut sums: Vec<SentTotals> = Vec::new();
    for step in 0..STEPS {
        let now = secs(100.0 + step as f64 / 10.0);
        let rate = RATE * (0.6 + 0.4 * (step as f64 / 20.0).sin());
        let demand = told.len().checked_sub(DELAY).map_or(0.0, |at| told[at]);
        let sent = sums.len().checked_sub(DELAY).map(|at| sums[at].clone()).unwrap_or_default();
        let loads = loads(demand, step);
        let (mut wanted, mut busy) = ([0.0; 3], 0.0);
        let room = SLOTS[0] / WORK / 10.0;
        for host in hosts.iter_mut().filter(|host| host.first <= step) {
            let begun = match rule {
                Rule::Alone => RegionShares::new(REGIONS[0].into(), &loads, tuning, now),
                Rule::Together => {
                    let parts = sent.shares(name_tag("desk"));
                    RegionShares::resume(REGIONS[0].into(), &loads, parts.as_ref(), tuning, now)
                }
            };
            let shares = host.shares.get_or_insert(begun);
            if step % 5 == host.first % 5 {
                let pace = if rule == Rule::Together { sent.pace(BOUND) } else { 1.0 };
                shares.step(&loads, BOUND * pace, tuning, now);
                host.demand = f64::from(host.arrivals) / 0.5 * WORK;
                host.arrivals = 0;
            }
            let held = if rule == Rule::Together { sent.capped_regions(BOUND) } else { Vec::new() };
            let mean = rate / 10.0 / HOSTS as f64;
            let arrivals = mean as u32 + u32::from(rng.random_bool(mean.fract()));
            for _ in 0..arrivals {
                host.arrivals += 1;
                let is_held = |region: &RegionId| held.contains(&name_tag(region));
                let home = RegionId::from(REGIONS[0]);
                for (region, part) in shares.iter() {
                    let region = if is_held(region) { &home } else { region };
                    wanted[place(region)] += part;
                }
                let named = shares.region_at(rng.random()).cloned().expect("there are regions");
                let region = if is_held(&named) { home } else { named };
                // A full region refuses: what it can't run is not part of what runs.
                if place(&region) == 0 && room <= busy {
                    continue;
                }
                busy += f64::from(u8::from(place(&region) == 0));
                host.sent.record(name_tag("desk"), name_tag(&region), now);
            }
        }
        told.push(hosts.iter().map(|host| host.demand).sum());
        let mut sum = SentTotals::default();
        hosts.iter_mut().for_each(|host| sum.add(&host.sent.counts(now)));
        sums.push(sum);
        wanted[0] = wanted[0].min(room);
        ran.push(wanted);
    }
    (0..=STEPS - 40)
        .map(|from| shift(&ran[from..from + 20], &ran[from + 20..from + 40]))
        .fold(0.0, f64::max)
}

/// Demand as a host hears it: other regions are heard of a second after the start.
fn loads(demand: f64, step: usize) -> Vec<RegionLoad> {
    let heard = |at: usize| match at {
        0 => (0.0 < demand).then_some(demand),
        _ => (10 <= step).then_some(SLOTS[at] * 0.4),
    };
    let load =
        |at: usize| RegionLoad { demand: heard(at), region: REGIONS[at].into(), slots: SLOTS[at] };
    (0..3).map(load).collect()
}

fn shift(older: &[[f64; 3]], newer: &[[f64; 3]]) -> f64 {
    let parts = |window: &[[f64; 3]]| {
        let sums: Vec<f64> =
            (0..3).map(|at| window.iter().map(|counts| counts[at]).sum()).collect();
        let all: f64 = sums.iter().sum::<f64>().max(1.0);
        sums.into_iter().map(|sum| sum / all).collect::<Vec<f64>>()
    };
    parts(older).iter().zip(parts(newer)).map(|(old, new)| (new - old).max(0.0)).sum()
}

fn place(region: &RegionId) -> usize {
    REGIONS.iter().position(|it| **it == **region).expect("a region")
}

fn worst(rule: Rule, tuning: &Tuning) -> f64 {
    (0..30).map(|seed| largest_shift(seed, rule, tuning)).fold(0.0, f64::max)
}

/// Hosts of a region start while its callers grow in number, each with a picture of its own. Each
/// of them moves its shares within the bound, and together they break it, so that more requests
/// change their region than the operators allow. Where all go by what all sent, none of thirty starts
/// does.
#[test]
fn hosts_that_start_keep_the_bound_together() {
    let fast = Tuning::default();
    let alone = worst(Rule::Alone, &fast);
    assert!(BOUND < alone, "{alone}");
    let together = worst(Rule::Together, &fast);
    assert!(together <= BOUND, "{together}");
}
