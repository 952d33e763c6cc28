//! Which part of this host's requests for a service each region runs.
//!
//! Every host works its shares out from the same figures, so that nobody has to be asked: what all
//! hosts of a region were asked for, and the slots of each region. Requests stay in their own
//! region up to a level that all regions have in common; what is beyond goes where there is room.
//!
//! Load pattern: callers' numbers rise and fall by half within a minute, by region in turn, and
//! some regions have a tenth of the targets that their own callers need.

use super::{NameTag, SHIFT_WINDOW, Tuning, name_tag};
use crate::prelude::*;

/// Demand that every region is assumed to have before anything was measured, as a part of all
/// slots.
const ASSUMED: f64 = 0.6;

/// Slots asked for and slots there, of one region.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionLoad {
    pub demand: Option<f64>,
    pub region: RegionId,
    pub slots: f64,
}

/// Shares of one service; they add up to 1.
#[derive(Clone, Debug)]
pub struct RegionShares {
    at: Moment,
    home: RegionId,
    parts: Vec<(RegionId, f64)>,
}

impl RegionShares {
    /// Shares to begin with.
    pub fn new(home: RegionId, loads: &[RegionLoad], tuning: &Tuning, now: Moment) -> Self {
        let parts = wished(&home, loads, tuning.home_utilization);
        Self { at: now, home, parts }
    }

    /// Shares to begin with where other hosts of the region may have begun before: as these sent
    /// their requests, and by the assumption as long as too few were sent. Begun by what is known
    /// of the demand at that moment, they would jump there, past any bound.
    pub fn resume(
        home: RegionId,
        loads: &[RegionLoad],
        sent: Option<&BTreeMap<NameTag, f64>>,
        tuning: &Tuning,
        now: Moment,
    ) -> Self {
        let unmeasured = |load: &RegionLoad| RegionLoad { demand: None, ..load.clone() };
        let mut begun =
            Self::new(home, &loads.iter().map(unmeasured).collect::<Vec<_>>(), tuning, now);
        let Some(sent) = sent else { return begun };
        let part = |region: &RegionId| sent.get(&name_tag(region)).copied().unwrap_or_default();
        if begun.parts.iter().any(|(name, _)| 0.0 < part(name)) {
            begun.parts.iter_mut().for_each(|(name, share)| *share = part(name));
            begun.even_out();
        }
        begun
    }

    fn even_out(&mut self) {
        let sum: f64 = self.parts.iter().map(|(_, part)| part).sum();
        if 0.0 < sum {
            self.parts.iter_mut().for_each(|(_, part)| *part /= sum);
        }
    }

    /// Moves the shares towards what the loads ask for, at most as fast as `max_shift` allows.
    pub fn step(&mut self, loads: &[RegionLoad], max_shift: f64, tuning: &Tuning, now: Moment) {
        let wish = wished(&self.home, loads, tuning.home_utilization);
        let spent = now.saturating_sub(self.at).min(SHIFT_WINDOW);
        let most =
            max_shift * tuning.shift_fraction * spent.as_secs_f64() / SHIFT_WINDOW.as_secs_f64();
        self.at = now;
        let old = |region: &RegionId| {
            self.parts.iter().find(|(name, _)| name == region).map_or(0.0, |(_, part)| *part)
        };
        let moved: f64 = wish.iter().map(|(region, part)| (part - old(region)).max(0.0)).sum();
        let pace = if moved <= most { 1.0 } else { most / moved };
        let gone: f64 = self
            .parts
            .iter()
            .filter(|(region, _)| wish.iter().all(|(name, _)| name != region))
            .map(|(_, part)| *part)
            .sum();
        // A region without targets can keep no share: its part goes at once.
        let pace = if 0.0 < gone { pace.max(gone.min(1.0)) } else { pace };
        self.parts = wish
            .iter()
            .map(|(region, part)| (region.clone(), old(region) + (part - old(region)) * pace))
            .collect();
        self.even_out();
    }

    /// The region for a place between 0 and 1. The same place stays in its region while the shares
    /// hold, and only places near a border move with them.
    pub fn region_at(&self, place: f64) -> Option<&RegionId> {
        let mut sum = 0.0;
        for (region, part) in &self.parts {
            sum += part;
            if place < sum {
                return Some(region);
            }
        }
        self.parts.last().map(|(region, _)| region)
    }

    /// All regions and their shares.
    pub fn iter(&self) -> impl Iterator<Item = (&RegionId, f64)> {
        self.parts.iter().map(|(region, part)| (region, *part))
    }

    /// The share of a region.
    pub fn get(&self, region: &RegionId) -> f64 {
        self.parts.iter().find(|(name, _)| name == region).map_or(0.0, |(_, part)| *part)
    }
}

/// The shares that the loads ask for, the home region first.
fn wished(home: &RegionId, loads: &[RegionLoad], fill: f64) -> Vec<(RegionId, f64)> {
    let slots: f64 = loads.iter().map(|load| load.slots).sum();
    if slots <= 0.0 {
        return vec![(home.clone(), 1.0)];
    }
    let assumed = ASSUMED * slots / loads.len() as f64;
    let demand = |load: &RegionLoad| load.demand.unwrap_or(assumed).max(0.01);
    let total: f64 = loads.iter().map(demand).sum();
    let fill = fill.max(total / slots);
    let spare = |load: &RegionLoad| (fill * load.slots - demand(load)).max(0.0);
    let all_spare: f64 = loads.iter().map(spare).sum();
    let own = loads.iter().find(|load| load.region == *home);
    let away = own.map_or(1.0, |own| 1.0 - (fill * own.slots / demand(own)).min(1.0));
    let mut parts = vec![(home.clone(), 1.0 - away)];
    for load in loads.iter().filter(|load| load.region != *home) {
        let part = if 0.0 < all_spare { spare(load) / all_spare } else { load.slots / slots };
        parts.push((load.region.clone(), away * part));
    }
    let sum: f64 = parts.iter().map(|(_, part)| part).sum();
    if sum <= 0.0 {
        return vec![(home.clone(), 1.0)];
    }
    parts.iter_mut().for_each(|(_, part)| *part /= sum);
    parts
}
