//! Whether the rest can take the load after the loss of a zone or region.

use std::fmt;

use super::{ServiceCapacity, Snapshot, snapshot::total};
use crate::prelude::*;

/// Shortages below this are rounding of averages, in slots.
pub(super) const MIN_SHORTAGE: f64 = 0.1;

/// What is lost.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Lost {
    Region(RegionId),
    Zone(ZoneId),
}

impl fmt::Display for Lost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Region(name) => write!(f, "region {name}"),
            Self::Zone(name) => write!(f, "zone {name}"),
        }
    }
}

/// Demand of a service against its slots, over all regions.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServiceLoad {
    /// `None` if unknown.
    pub demand: Option<f64>,
    /// `None` if the course of the demand is unknown.
    pub forecast: Option<f64>,
    /// Slots missing for the forecast.
    pub forecast_short: Option<f64>,
    pub service: ServiceId,
    /// Slots missing for the demand; `None` if the demand is unknown.
    pub short: Option<f64>,
    pub slots: f64,
}

impl ServiceLoad {
    fn new(name: &ServiceId, service: &ServiceCapacity) -> Self {
        let slots = service.slots();
        let demand = service.total_demand();
        let forecast = demand.and_then(|demand| demand.forecast);
        let demand = demand.map(|demand| demand.now);
        Self {
            demand,
            forecast,
            forecast_short: forecast.map(|forecast| shortage(forecast, slots)),
            service: name.clone(),
            short: demand.map(|demand| shortage(demand, slots)),
            slots,
        }
    }

    /// Whether slots are missing for the demand or for the forecast.
    pub fn is_short(&self) -> bool {
        [self.short, self.forecast_short].into_iter().flatten().any(|short| 0.0 < short)
    }
}

/// Slots that are missing for a demand.
pub(super) fn shortage(demand: f64, slots: f64) -> f64 {
    let short = demand - slots;
    if short < MIN_SHORTAGE { 0.0 } else { short }
}

/// What remains after a loss.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Loss {
    pub lost: Lost,
    /// The services that lose slots.
    pub services: Vec<ServiceLoad>,
    /// Slots that remain, of all services.
    pub slots_left: f64,
}

impl Loss {
    /// Whether a service would be short of slots.
    pub fn is_short(&self) -> bool {
        self.services.iter().any(ServiceLoad::is_short)
    }

    /// Whether the demand of a service that loses slots is unknown.
    pub fn is_unknown(&self) -> bool {
        self.services.iter().any(|service| service.demand.is_none())
    }
}

/// Demand against slots of all services as they are.
pub(super) fn service_loads(snapshot: &Snapshot) -> Vec<ServiceLoad> {
    snapshot.services.iter().map(|(name, service)| ServiceLoad::new(name, service)).collect()
}

/// The loss of each zone and of each region that has slots.
pub(super) fn losses(snapshot: &Snapshot) -> Vec<Loss> {
    let zones = snapshot.zone_names().into_iter().map(Lost::Zone);
    let regions = snapshot.region_names().into_iter().map(Lost::Region);
    let losses = zones.chain(regions).map(|lost| loss(snapshot, lost));
    losses.filter(|loss| !loss.services.is_empty()).collect()
}

fn loss(snapshot: &Snapshot, lost: Lost) -> Loss {
    let is_lost = |zone: &ZoneId| match &lost {
        Lost::Region(name) => snapshot.region_of(zone) == *name,
        Lost::Zone(name) => zone == name,
    };
    let mut rest = snapshot.clone();
    for service in rest.services.values_mut() {
        service.zones.retain(|zone, _| !is_lost(zone));
    }
    let loses_slots = |load: &ServiceLoad| load.slots < snapshot.services[&load.service].slots();
    let loads = service_loads(&rest);
    let slots_left = total(loads.iter().map(|load| load.slots));
    Loss { services: loads.into_iter().filter(loses_slots).collect(), lost, slots_left }
}
