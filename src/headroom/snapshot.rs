//! Slots, demand and shares of all services at one time, as far as they are known.

use std::collections::BTreeSet;

use crate::prelude::*;

/// Region of zones and hosts whose region is not known.
pub(super) const UNKNOWN_REGION: &str = "unknown";

/// Slots of a service's targets in one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneSlots {
    /// Slots that requests keep busy; `None` if unknown.
    pub busy: Option<f64>,
    pub slots: f64,
    /// Number of targets; `None` if unknown.
    pub targets: Option<f64>,
}

/// Slots that callers' requests keep busy on average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// `None` if the course of the demand is unknown.
    pub forecast: Option<f64>,
    pub now: f64,
}

/// Capacity and demand of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceCapacity {
    /// Demand by the region that has to serve it; `None` if unknown.
    pub demand: Option<BTreeMap<RegionId, Demand>>,
    /// Requests per second that found no target; `None` if unknown.
    pub not_placed: Option<f64>,
    /// Shares of a home region's requests that each region runs, by home region, as far as known.
    pub shares: BTreeMap<RegionId, BTreeMap<RegionId, f64>>,
    pub zones: BTreeMap<ZoneId, ZoneSlots>,
}

impl ServiceCapacity {
    /// All slots.
    pub fn slots(&self) -> f64 {
        total(self.zones.values().map(|zone| zone.slots))
    }

    /// Demand of all regions together; `None` if unknown.
    pub fn total_demand(&self) -> Option<Demand> {
        let demand = self.demand.as_ref()?;
        Some(Demand {
            forecast: known_total(demand.values().map(|demand| demand.forecast)),
            now: total(demand.values().map(|demand| demand.now)),
        })
    }
}

/// All services at one time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Region of each zone.
    pub regions: BTreeMap<ZoneId, RegionId>,
    pub services: BTreeMap<ServiceId, ServiceCapacity>,
    /// What is not known, in one sentence each.
    pub unknown: Vec<String>,
}

impl Snapshot {
    /// The region of a zone.
    pub fn region_of(&self, zone: &ZoneId) -> RegionId {
        self.regions.get(zone).cloned().unwrap_or_else(|| UNKNOWN_REGION.into())
    }

    /// All regions that have zones or demand.
    pub fn region_names(&self) -> BTreeSet<RegionId> {
        let services = self.services.values();
        let with_demand = services.clone().filter_map(|service| service.demand.as_ref());
        let with_slots = services.flat_map(|service| service.zones.keys());
        with_demand
            .flat_map(|demand| demand.keys().cloned())
            .chain(with_slots.map(|zone| self.region_of(zone)))
            .chain(self.regions.values().cloned())
            .collect()
    }

    /// All zones, also those without targets.
    pub fn zone_names(&self) -> BTreeSet<ZoneId> {
        let with_slots = self.services.values().flat_map(|service| service.zones.keys());
        self.regions.keys().chain(with_slots).cloned().collect()
    }

    /// Slots of a service in one region.
    pub fn slots_in(&self, service: &ServiceCapacity, region: &RegionId) -> f64 {
        let zones = service.zones.iter().filter(|(zone, _)| self.region_of(zone) == *region);
        total(zones.map(|(_, zone)| zone.slots))
    }
}

/// The sum, which is zero and not minus zero for no values.
pub(super) fn total(values: impl Iterator<Item = f64>) -> f64 {
    values.fold(0.0, |sum, value| sum + value)
}

/// The sum; `None` if one of the values is unknown.
pub(super) fn known_total(mut values: impl Iterator<Item = Option<f64>>) -> Option<f64> {
    values.try_fold(0.0, |sum, value| Some(sum + value?))
}
