//! Last known traffic of each home region, for the regions that may have to serve its callers.

use super::payload::BaselineEntry;
use crate::{
    prelude::*,
    view::{Baseline, HostView},
};

/// Time between two updates of one baseline. Each update spreads to every host of the fleet; one a
/// second would cost more than everything else that the exchanges carry.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(10);

/// Lowest ratio of a baseline to its predecessor. Callers leave a failing region before its last
/// host is silent; without the bound the region would be recorded as idle, and the regions that
/// take over would refuse its callers.
const MIN_RENEWAL_RATIO: f64 = 0.9;

/// Entries with a timestamp this far in the future or further are rejected: no entry from a correct
/// clock could replace them until that time has passed.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(60);

/// Newest known baselines of all home regions.
#[derive(Clone, Debug, Default)]
pub struct Baselines {
    entries: BTreeMap<BaselineKey, BaselineEntry>,
}

/// Identifies the traffic that a baseline describes.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct BaselineKey {
    home: RegionId,
    service: ServiceId,
}

impl Baselines {
    /// Updates the own region's baselines from the rates that this host measured.
    ///
    /// Only the first host of the region by name does this. Look-ups spread a region's callers
    /// evenly over its hosts, so its own rate times their number is the rate of the region. Rates
    /// of callers from other regions are ignored. While the region is `unsteady` (part of it is
    /// drained or leaving), the last baselines stay.
    pub fn update_own(
        &mut self,
        own: &HostView,
        hosts: &[HostView],
        rates: Vec<Baseline>,
        unsteady: bool,
        wall_millis: u64,
    ) {
        let in_region = hosts.iter().filter(|host| host.region == own.region && !host.leaving);
        let first = in_region.clone().min_by_key(|host| &host.id);
        if unsteady || first.is_none_or(|first| first.id != own.id) {
            return;
        }
        let hosts = in_region.count() as f64;
        for rate in rates.into_iter().filter(|rate| rate.home == own.region) {
            let key = BaselineKey { home: rate.home.clone(), service: rate.service.clone() };
            let last = self.entries.get(&key);
            if last.is_some_and(|last| wall_millis < last.at + RENEWAL_INTERVAL.as_millis() as u64)
            {
                continue;
            }
            let least = last.map_or(0.0, |last| last.baseline.rate * MIN_RENEWAL_RATIO);
            let rate = (rate.rate * hosts).max(least);
            let baseline = Baseline { home: key.home.clone(), rate, service: key.service.clone() };
            self.entries.insert(key, BaselineEntry { at: wall_millis, baseline });
        }
    }

    /// Stores an entry if it is newer than the known one.
    pub fn apply(&mut self, entry: BaselineEntry, wall_millis: u64) {
        if wall_millis + MAX_CLOCK_LEAD.as_millis() as u64 <= entry.at {
            return;
        }
        let baseline = &entry.baseline;
        let key = BaselineKey { home: baseline.home.clone(), service: baseline.service.clone() };
        if self.entries.get(&key).is_none_or(|last| last.at < entry.at) {
            self.entries.insert(key, entry);
        }
    }

    /// Returns all entries, for the exchanges.
    pub fn entries(&self) -> Vec<BaselineEntry> {
        self.entries.values().cloned().collect()
    }

    /// Returns all baselines.
    pub fn baselines(&self) -> Vec<Baseline> {
        self.entries.values().map(|entry| entry.baseline.clone()).collect()
    }
}
