//! Plays the shares of regions after a step, tick by tick, with the demand held constant.
//!
//! The shares, the pace at which they move and the effect of a region without slots are those of
//! `crate::placement`, so that a change there changes the result here.

use std::collections::VecDeque;

use super::{Snapshot, loss::shortage, snapshot::total};
use crate::{
    placement::{
        RegionLoad, RegionShares, SHIFT_WINDOW, SentTotals, ServiceRegion, Tuning, WindowCounts,
        name_tag,
    },
    prelude::*,
};

/// Interval at which hosts move the shares (`TrafficState::tick`).
const TICK: Duration = Duration::from_millis(500);

/// Number of ticks in a window of the bound on shifts.
const WINDOW_TICKS: usize = (SHIFT_WINDOW.as_millis() / TICK.as_millis()) as usize;

/// Number of windows that are played. A move of all requests at a bound of 0.01 takes as many.
pub(super) const MAX_WINDOWS: u32 = 200;

/// Fractions of requests below this are rounding.
pub(super) const MIN_FRACTION: f64 = 1e-6;

/// Demand of a region below which its requests are left out, in slots.
const MIN_HOME_DEMAND: f64 = 1e-3;

/// Requests of a home region in one window. Many, so that the pace of the shares depends on the shift
/// and not on the error of few requests.
const WINDOW_REQUESTS: f64 = 1e6;

/// Where requests run, as fractions by region.
pub(super) type Distribution = BTreeMap<RegionId, f64>;

/// Requests of one region for one service.
#[derive(Debug)]
pub(super) struct HomeRun {
    /// Fraction that moved with the step itself, whatever the bound.
    pub at_once: f64,
    demand: f64,
    /// Where the requests run in the end.
    pub desired: Distribution,
    /// Ticks until they run there; `None` while they do not.
    done_after: Option<usize>,
    pub home: RegionId,
    /// Where they ran in the last ticks of two windows.
    recent: VecDeque<Distribution>,
    pub service: ServiceId,
    shares: RegionShares,
    /// Where they ran before the step.
    pub start: Distribution,
}

impl HomeRun {
    /// Number of windows until the requests have moved; `None` if they have not.
    pub fn windows(&self) -> Option<u32> {
        self.done_after.map(|ticks| ticks.div_ceil(WINDOW_TICKS) as u32)
    }

    fn share_of(&self, region: &RegionId) -> f64 {
        self.recent.back().and_then(|running| running.get(region)).copied().unwrap_or_default()
    }

    /// Requests sent to each region in the newer and the older of the last two windows, if this
    /// service has `weight` of the home region's requests.
    fn sent(&self, weight: f64) -> Vec<(ServiceRegion, WindowCounts)> {
        let mut counts: BTreeMap<&RegionId, (f64, f64)> = BTreeMap::new();
        let ticks = self.recent.iter().rev().enumerate();
        for (age, running) in ticks {
            for (region, share) in running {
                let (newer, older) = counts.entry(region).or_default();
                *(if age < WINDOW_TICKS { newer } else { older }) += share;
            }
        }
        let requests =
            |shares: f64| (shares / WINDOW_TICKS as f64 * weight * WINDOW_REQUESTS) as u32;
        let service = name_tag(&self.service);
        let sent = counts.into_iter().map(|(region, (newer, older))| {
            ((service, name_tag(region)), (requests(newer), requests(older)))
        });
        sent.collect()
    }
}

/// Slots missing for one service during the move.
#[derive(Clone, Debug, Default)]
pub(super) struct Missing {
    /// When the requests have moved.
    pub in_the_end: f64,
    /// Most in each window.
    pub windows: Vec<f64>,
}

/// The requests of all regions and services.
#[derive(Debug)]
pub(super) struct Simulation {
    /// Loads after the step, by service.
    loads: BTreeMap<ServiceId, Vec<RegionLoad>>,
    max_shift: f64,
    pub runs: Vec<HomeRun>,
    tuning: Tuning,
}

impl Simulation {
    /// The requests right after the step. Services with unknown demand are left out.
    pub fn new(before: &Snapshot, after: &Snapshot, max_shift: f64) -> Self {
        let tuning = Tuning::default();
        let mut simulation = Self { loads: BTreeMap::new(), max_shift, runs: Vec::new(), tuning };
        for service in after.services.keys() {
            let old = region_loads(service, before);
            let (Some(old), Some(new)) = (old, region_loads(service, after)) else { continue };
            simulation.add_service(service, before, &old, &new);
            simulation.loads.insert(service.clone(), new);
        }
        simulation
    }

    fn add_service(
        &mut self,
        service: &ServiceId,
        before: &Snapshot,
        old: &[RegionLoad],
        new: &[RegionLoad],
    ) {
        let known = before.services.get(service).map(|service| &service.shares);
        for load in old.iter().filter(|load| MIN_HOME_DEMAND <= demand(load)) {
            let home = load.region.clone();
            let sent = known.and_then(|shares| shares.get(&home)).map(|shares| {
                shares.iter().map(|(region, share)| (name_tag(region), *share)).collect()
            });
            let computed = |loads: &[RegionLoad]| {
                RegionShares::new(home.clone(), loads, &self.tuning, Moment::ZERO)
            };
            let shares = match &sent {
                Some(sent) => {
                    let (home, tuning) = (home.clone(), &self.tuning);
                    RegionShares::resume(home, old, Some(sent), tuning, Moment::ZERO)
                }
                None => computed(old),
            };
            let start = running(&shares, old);
            let at_once = moved(&start, &running(&shares, new));
            self.runs.push(HomeRun {
                at_once,
                demand: demand(load),
                desired: running(&computed(new), new),
                done_after: None,
                recent: std::iter::repeat_n(start.clone(), 2 * WINDOW_TICKS).collect(),
                service: service.clone(),
                shares,
                start,
                home,
            });
        }
    }

    /// Plays the move to its end, or for `MAX_WINDOWS`.
    pub fn play(&mut self) -> BTreeMap<ServiceId, Missing> {
        let mut missing: BTreeMap<ServiceId, Missing> = BTreeMap::new();
        for tick in 0..MAX_WINDOWS as usize * WINDOW_TICKS {
            self.record(tick);
            for (service, loads) in &self.loads {
                let short = self.missing(service, loads, HomeRun::share_of);
                let windows = &mut missing.entry(service.clone()).or_default().windows;
                match windows.get_mut(tick / WINDOW_TICKS) {
                    Some(most) => *most = most.max(short),
                    None => windows.push(short),
                }
            }
            if self.runs.iter().all(|run| run.done_after.is_some()) {
                break;
            }
            self.step(TICK * (tick as u32 + 1));
        }
        for (service, loads) in &self.loads {
            let desired = |run: &HomeRun, region: &RegionId| {
                run.desired.get(region).copied().unwrap_or_default()
            };
            let short = self.missing(service, loads, desired);
            missing.entry(service.clone()).or_default().in_the_end = short;
        }
        missing
    }

    /// Records where the requests run in this tick.
    fn record(&mut self, tick: usize) {
        for run in &mut self.runs {
            let now = running(&run.shares, &self.loads[&run.service]);
            if moved(&now, &run.desired) < MIN_FRACTION {
                run.done_after.get_or_insert(tick);
            }
            run.recent.pop_front();
            run.recent.push_back(now);
        }
    }

    /// Moves the shares by one tick, at the pace that the last shift of the home region allows.
    fn step(&mut self, now: Moment) {
        let mut demand: BTreeMap<RegionId, f64> = BTreeMap::new();
        for run in &self.runs {
            *demand.entry(run.home.clone()).or_default() += run.demand;
        }
        let mut sent: BTreeMap<RegionId, SentTotals> = BTreeMap::new();
        for run in &self.runs {
            let weight = run.demand / demand[&run.home];
            sent.entry(run.home.clone()).or_default().add(&run.sent(weight));
        }
        for run in &mut self.runs {
            let max_shift = self.max_shift * sent[&run.home].pace(self.max_shift);
            run.shares.step(&self.loads[&run.service], max_shift, &self.tuning, now);
        }
    }

    /// Slots missing for a service, over the regions together.
    fn missing(
        &self,
        service: &ServiceId,
        loads: &[RegionLoad],
        share: impl Fn(&HomeRun, &RegionId) -> f64,
    ) -> f64 {
        let runs = || self.runs.iter().filter(|run| run.service == *service);
        let short = |load: &RegionLoad| {
            let running = total(runs().map(|run| run.demand * share(run, &load.region)));
            shortage(running, load.slots)
        };
        total(loads.iter().map(short))
    }
}

/// Demand and slots of all regions; `None` if the demand is unknown.
fn region_loads(service: &ServiceId, snapshot: &Snapshot) -> Option<Vec<RegionLoad>> {
    let service = snapshot.services.get(service)?;
    let demand = service.demand.as_ref()?;
    let load = |region: RegionId| RegionLoad {
        demand: Some(demand.get(&region).map_or(0.0, |demand| demand.now)),
        slots: snapshot.slots_in(service, &region),
        region,
    };
    Some(snapshot.region_names().into_iter().map(load).collect())
}

fn demand(load: &RegionLoad) -> f64 {
    load.demand.unwrap_or_default()
}

/// Where requests run with these shares. A region without slots runs none: as in the placement of
/// hosts, its part goes to the region with the largest share of those that have some.
fn running(shares: &RegionShares, loads: &[RegionLoad]) -> Distribution {
    let has_slots =
        |region: &RegionId| loads.iter().any(|load| load.region == *region && 0.0 < load.slots);
    let with_slots = shares.iter().filter(|(region, _)| has_slots(region));
    let largest = with_slots.max_by(|a, b| a.1.total_cmp(&b.1)).map(|(region, _)| region.clone());
    let mut running = Distribution::new();
    for (region, share) in shares.iter() {
        let region = match (&largest, has_slots(region)) {
            (Some(largest), false) => largest,
            _ => region,
        };
        *running.entry(region.clone()).or_default() += share;
    }
    running
}

/// Fraction of the requests that run in another region than before.
pub(super) fn moved(before: &Distribution, after: &Distribution) -> f64 {
    let before = |region| before.get(region).copied().unwrap_or_default();
    total(after.iter().map(|(region, share)| (share - before(region)).max(0.0)))
}
