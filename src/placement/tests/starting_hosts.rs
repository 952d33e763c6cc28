//! Simulation of a region's hosts that start at different times. Each receives reports on demand
//! late and moves its own shares.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::secs;
use crate::{
    placement::{RegionLoad, RegionShares, SentCounter, SentTotals, Tuning, name_tag},
    prelude::*,
};

const MAX_SHIFT: f64 = 0.15;
const HOSTS: usize = 22;
/// Time that a request occupies a slot, in seconds.
const WORK_SECS: f64 = 0.3;
/// Peak requests per second of all callers of the region.
const PEAK_RATE: f64 = 800.0;
const REGIONS: [&str; 3] = ["north", "south", "west"];
/// Slots of each region. The callers' own region can run about a third of their requests.
const SLOTS: [f64; 3] = [90.0, 450.0, 360.0];
/// Delay of reports between hosts, in steps of a tenth of a second.
const REPORT_DELAY: usize = 3;
const STEPS: usize = 120;

/// How hosts limit their shifts.
#[derive(Clone, Copy, PartialEq)]
enum ShiftLimit {
    /// Each host limits its own shares, and starts with the shares that match the current loads.
    PerHost,
    /// Hosts limit the shift of all requests of the region together, as real hosts do.
    PerRegion,
}

struct Host {
    demand: f64,
    arrivals: u32,
    /// Step at which it starts.
    start: usize,
    sent: SentCounter,
    shares: Option<RegionShares>,
}

/// The largest fraction of requests that shifted between regions from one window of two seconds to
/// the next, over all starts of the windows. Hosts count requests that are sent at random; the
/// result counts the requests that they would send on average.
fn largest_shift(seed: u64, limit: ShiftLimit, tuning: &Tuning) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut hosts: Vec<Host> = (0..HOSTS)
        .map(|_| Host {
            demand: 0.0,
            arrivals: 0,
            start: rng.random_range(0..40),
            sent: SentCounter::default(),
            shares: None,
        })
        .collect();
    let mut demands: Vec<f64> = Vec::new();
    let mut expected_sent: Vec<[f64; 3]> = Vec::new();
    let mut totals: Vec<SentTotals> = Vec::new();
    for step in 0..STEPS {
        let now = secs(100.0 + step as f64 / 10.0);
        let rate = PEAK_RATE * (0.6 + 0.4 * (step as f64 / 20.0).sin());
        let demand = demands.len().checked_sub(REPORT_DELAY).map_or(0.0, |at| demands[at]);
        let sent =
            totals.len().checked_sub(REPORT_DELAY).map(|at| totals[at].clone()).unwrap_or_default();
        let loads = loads(demand, step);
        let (mut expected, mut busy) = ([0.0; 3], 0.0);
        let capacity = SLOTS[0] / WORK_SECS / 10.0;
        for host in hosts.iter_mut().filter(|host| host.start <= step) {
            let initial = match limit {
                ShiftLimit::PerHost => RegionShares::new(REGIONS[0].into(), &loads, tuning, now),
                ShiftLimit::PerRegion => {
                    let sent_shares = sent.shares(name_tag("desk"));
                    RegionShares::resume(
                        REGIONS[0].into(),
                        &loads,
                        sent_shares.as_ref(),
                        tuning,
                        now,
                    )
                }
            };
            let shares = host.shares.get_or_insert(initial);
            if step % 5 == host.start % 5 {
                let pace = if limit == ShiftLimit::PerRegion { sent.pace(MAX_SHIFT) } else { 1.0 };
                shares.step(&loads, MAX_SHIFT * pace, tuning, now);
                host.demand = f64::from(host.arrivals) / 0.5 * WORK_SECS;
                host.arrivals = 0;
            }
            let capped = if limit == ShiftLimit::PerRegion {
                sent.capped_regions(MAX_SHIFT)
            } else {
                Vec::new()
            };
            let mean = rate / 10.0 / HOSTS as f64;
            let arrivals = mean as u32 + u32::from(rng.random_bool(mean.fract()));
            for _ in 0..arrivals {
                host.arrivals += 1;
                let is_capped = |region: &RegionId| capped.contains(&name_tag(region));
                let home = RegionId::from(REGIONS[0]);
                for (region, share) in shares.iter() {
                    let region = if is_capped(region) { &home } else { region };
                    expected[region_index(region)] += share;
                }
                let selected = shares.region_at(rng.random()).cloned().expect("there are regions");
                let region = if is_capped(&selected) { home } else { selected };
                // A full region refuses requests; these are not counted as sent.
                if region_index(&region) == 0 && capacity <= busy {
                    continue;
                }
                busy += f64::from(u8::from(region_index(&region) == 0));
                host.sent.record(name_tag("desk"), name_tag(&region), now);
            }
        }
        demands.push(hosts.iter().map(|host| host.demand).sum());
        let mut total = SentTotals::default();
        hosts.iter_mut().for_each(|host| total.add(&host.sent.counts(now)));
        totals.push(total);
        expected[0] = expected[0].min(capacity);
        expected_sent.push(expected);
    }
    (0..=STEPS - 40)
        .map(|from| shift(&expected_sent[from..from + 20], &expected_sent[from + 20..from + 40]))
        .fold(0.0, f64::max)
}

/// Loads as reported to a host. Those of other regions are reported from one second after the
/// start.
fn loads(demand: f64, step: usize) -> Vec<RegionLoad> {
    let reported = |at: usize| match at {
        0 => (0.0 < demand).then_some(demand),
        _ => (10 <= step).then_some(SLOTS[at] * 0.4),
    };
    let load = |at: usize| RegionLoad {
        demand: reported(at),
        region: REGIONS[at].into(),
        slots: SLOTS[at],
    };
    (0..3).map(load).collect()
}

fn shift(older: &[[f64; 3]], newer: &[[f64; 3]]) -> f64 {
    let shares = |window: &[[f64; 3]]| {
        let totals: Vec<f64> =
            (0..3).map(|at| window.iter().map(|counts| counts[at]).sum()).collect();
        let all: f64 = totals.iter().sum::<f64>().max(1.0);
        totals.into_iter().map(|sum| sum / all).collect::<Vec<f64>>()
    };
    shares(older).iter().zip(shares(newer)).map(|(old, new)| (new - old).max(0.0)).sum()
}

fn region_index(region: &RegionId) -> usize {
    REGIONS.iter().position(|it| **it == **region).expect("a region")
}

fn max_shift(limit: ShiftLimit, tuning: &Tuning) -> f64 {
    (0..30).map(|seed| largest_shift(seed, limit, tuning)).fold(0.0, f64::max)
}

/// Hosts of a region start while demand rises, each with a different view of it. If each one only
/// limits its own shares, together they exceed the maximum shift. If all follow the requests that
/// all of them sent, they stay within it in each of thirty simulated starts.
#[test]
fn starting_hosts_keep_the_maximum_shift_together() {
    let tuning = Tuning::default();
    let per_host = max_shift(ShiftLimit::PerHost, &tuning);
    assert!(MAX_SHIFT < per_host, "{per_host}");
    let per_region = max_shift(ShiftLimit::PerRegion, &tuning);
    assert!(per_region <= MAX_SHIFT, "{per_region}");
}
