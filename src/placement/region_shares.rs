//! Shares of this host's requests for a service that each region runs.
//!
//! All hosts compute their shares from the same figures, without coordination: the demand and the
//! slots of each region. Requests stay in their own region up to a utilization that all regions
//! have in common; the surplus goes to regions with spare slots.
//!
//! The load of a region can rise and fall by half within a minute, at different times in each
//! region, and some regions have a tenth of the targets that their own callers need.

use super::{NameTag, SHIFT_WINDOW, Tuning, name_tag};
use crate::prelude::*;

/// Total demand assumed before any is measured, as a fraction of all slots. Each region is assumed
/// to have an equal part of it.
const DEFAULT_UTILIZATION: f64 = 0.6;

/// Demand and capacity of one region, in slots.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionLoad {
    /// `None` before any is measured.
    pub demand: Option<f64>,
    pub region: RegionId,
    pub slots: f64,
}

/// Shares of all regions for one service; they add up to 1.
#[derive(Clone, Debug)]
pub struct RegionShares {
    updated_at: Moment,
    home: RegionId,
    shares: Vec<(RegionId, f64)>,
}

impl RegionShares {
    /// Shares that match the loads.
    pub fn new(home: RegionId, loads: &[RegionLoad], tuning: &Tuning, now: Moment) -> Self {
        let shares = desired_shares(&home, loads, tuning.home_utilization);
        Self { updated_at: now, home, shares }
    }

    /// Initial shares of a host that starts while others of its region may already run: the shares
    /// of the requests that those sent or, while `sent` is `None` because they sent too few, shares
    /// for the default demand. Initial shares for the current demand could exceed the maximum shift
    /// at once.
    pub fn resume(
        home: RegionId,
        loads: &[RegionLoad],
        sent: Option<&BTreeMap<NameTag, f64>>,
        tuning: &Tuning,
        now: Moment,
    ) -> Self {
        let without_demand = |load: &RegionLoad| RegionLoad { demand: None, ..load.clone() };
        let mut initial =
            Self::new(home, &loads.iter().map(without_demand).collect::<Vec<_>>(), tuning, now);
        let Some(sent) = sent else { return initial };
        let sent_share =
            |region: &RegionId| sent.get(&name_tag(region)).copied().unwrap_or_default();
        if initial.shares.iter().any(|(name, _)| 0.0 < sent_share(name)) {
            initial.shares.iter_mut().for_each(|(name, share)| *share = sent_share(name));
            initial.normalize();
        }
        initial
    }

    fn normalize(&mut self) {
        let sum: f64 = self.shares.iter().map(|(_, share)| share).sum();
        if 0.0 < sum {
            self.shares.iter_mut().for_each(|(_, share)| *share /= sum);
        }
    }

    /// Moves the shares towards the desired ones, at most as fast as `max_shift` allows.
    pub fn step(&mut self, loads: &[RegionLoad], max_shift: f64, tuning: &Tuning, now: Moment) {
        let desired = desired_shares(&self.home, loads, tuning.home_utilization);
        let elapsed = now.saturating_sub(self.updated_at).min(SHIFT_WINDOW);
        let max_move =
            max_shift * tuning.shift_fraction * elapsed.as_secs_f64() / SHIFT_WINDOW.as_secs_f64();
        self.updated_at = now;
        let old = |region: &RegionId| {
            self.shares.iter().find(|(name, _)| name == region).map_or(0.0, |(_, share)| *share)
        };
        let moved: f64 = desired.iter().map(|(region, share)| (share - old(region)).max(0.0)).sum();
        let fraction = if moved <= max_move { 1.0 } else { max_move / moved };
        let removed: f64 = self
            .shares
            .iter()
            .filter(|(region, _)| desired.iter().all(|(name, _)| name != region))
            .map(|(_, share)| *share)
            .sum();
        // A region without targets cannot keep a share, so its share moves at once.
        let fraction = if 0.0 < removed { fraction.max(removed.min(1.0)) } else { fraction };
        self.shares = desired
            .iter()
            .map(|(region, share)| (region.clone(), old(region) + (share - old(region)) * fraction))
            .collect();
        self.normalize();
    }

    /// The region at a position between 0 and 1, where each region covers an interval as long as
    /// its share. When shares change, only positions near the interval borders change their region.
    pub fn region_at(&self, position: f64) -> Option<&RegionId> {
        let mut sum = 0.0;
        for (region, share) in &self.shares {
            sum += share;
            if position < sum {
                return Some(region);
            }
        }
        self.shares.last().map(|(region, _)| region)
    }

    /// All regions with their shares.
    pub fn iter(&self) -> impl Iterator<Item = (&RegionId, f64)> {
        self.shares.iter().map(|(region, share)| (region, *share))
    }

    /// The share of a region.
    pub fn get(&self, region: &RegionId) -> f64 {
        self.shares.iter().find(|(name, _)| name == region).map_or(0.0, |(_, share)| *share)
    }
}

/// The shares that match the loads, with the home region first.
fn desired_shares(home: &RegionId, loads: &[RegionLoad], utilization: f64) -> Vec<(RegionId, f64)> {
    let slots: f64 = loads.iter().map(|load| load.slots).sum();
    if slots <= 0.0 {
        return vec![(home.clone(), 1.0)];
    }
    let default_demand = DEFAULT_UTILIZATION * slots / loads.len() as f64;
    let demand = |load: &RegionLoad| load.demand.unwrap_or(default_demand).max(0.01);
    let total_demand: f64 = loads.iter().map(demand).sum();
    let utilization = utilization.max(total_demand / slots);
    let spare = |load: &RegionLoad| (utilization * load.slots - demand(load)).max(0.0);
    let total_spare: f64 = loads.iter().map(spare).sum();
    let own = loads.iter().find(|load| load.region == *home);
    let surplus = own.map_or(1.0, |own| 1.0 - (utilization * own.slots / demand(own)).min(1.0));
    let mut shares = vec![(home.clone(), 1.0 - surplus)];
    for load in loads.iter().filter(|load| load.region != *home) {
        let share = if 0.0 < total_spare { spare(load) / total_spare } else { load.slots / slots };
        shares.push((load.region.clone(), surplus * share));
    }
    let sum: f64 = shares.iter().map(|(_, share)| share).sum();
    if sum <= 0.0 {
        return vec![(home.clone(), 1.0)];
    }
    shares.iter_mut().for_each(|(_, share)| *share /= sum);
    shares
}
