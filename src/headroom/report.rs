//! What both commands show.

use super::{
    Demand, Loss, ServiceLoad, Snapshot, Step, StepError, Transition,
    loss::{losses, service_loads},
    snapshot::{known_total, total},
    transition::ShiftBound,
};
use crate::prelude::*;

/// What the calculation leaves out, for the output.
pub const ASSUMPTIONS: [&str; 4] = [
    "homes are not considered: every region counts as if it could serve all teams and routes",
    "callers of what is lost are counted on: their requests reach other hosts",
    "work takes as long as now: it takes longer while the remaining targets have not cached the \
     objects",
    "a service is short only when its demand exceeds its slots; requests wait before that",
];

/// A service in one region.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RegionRow {
    /// Slots that requests keep busy; `None` if unknown.
    pub busy: Option<f64>,
    /// Demand that the region has to serve, in slots; `None` if unknown.
    pub demand: Option<f64>,
    /// `None` if the course of the demand is unknown.
    pub forecast: Option<f64>,
    pub region: RegionId,
    pub service: ServiceId,
    pub slots: f64,
    /// Number of targets; `None` if unknown.
    pub targets: Option<f64>,
}

/// Slots and demand, and what would be short after a loss.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HeadroomReport {
    pub assumptions: [&'static str; 4],
    pub losses: Vec<Loss>,
    pub regions: Vec<RegionRow>,
    /// Demand against slots of all regions together, without a loss.
    pub services: Vec<ServiceLoad>,
    /// What is not known.
    pub unknown: Vec<String>,
}

impl HeadroomReport {
    /// Calculates the report.
    pub fn new(snapshot: &Snapshot) -> Self {
        Self {
            assumptions: ASSUMPTIONS,
            losses: losses(snapshot),
            regions: region_rows(snapshot),
            services: service_loads(snapshot),
            unknown: snapshot.unknown.iter().cloned().chain(refusals(snapshot)).collect(),
        }
    }

    /// The services whose demand is unknown, so that there is no verdict on them.
    pub fn without_demand(&self) -> Vec<ServiceId> {
        let unknown = self.services.iter().filter(|load| load.demand.is_none());
        unknown.map(|load| load.service.clone()).collect()
    }

    /// Whether a service is short of slots now or would be after a loss.
    pub fn is_short(&self) -> bool {
        self.services.iter().any(ServiceLoad::is_short) || self.losses.iter().any(Loss::is_short)
    }
}

/// Refusals show a demand beyond what targets take, which slots and demand alone may not.
fn refusals(snapshot: &Snapshot) -> Vec<String> {
    let mut refusals = Vec::new();
    for (name, service) in &snapshot.services {
        let Some(rate) = service.not_placed.filter(|rate| 0.0 < *rate) else { continue };
        refusals.push(format!(
            "why {rate:.1} requests per second for {name} found no target: slots and demand do not \
             show which targets were full"
        ));
    }
    refusals
}

/// The regions whose shares no source states. `Transition` starts with those that hosts would compute.
fn computed_shares(snapshot: &Snapshot, name: &ServiceId) -> Option<String> {
    let service = snapshot.services.get(name)?;
    let homes = service.demand.as_ref()?.iter().filter(|(_, demand)| 0.0 < demand.now);
    let homes = homes.map(|(home, _)| home).filter(|home| !service.shares.contains_key(*home));
    let homes: Vec<&str> = homes.map(|home| &**home).collect();
    (!homes.is_empty()).then(|| {
        format!("shares of {name} in {}: computed from demand and slots", homes.join(", "))
    })
}

fn region_rows(snapshot: &Snapshot) -> Vec<RegionRow> {
    let regions = snapshot.region_names();
    let mut rows = Vec::new();
    for (name, service) in &snapshot.services {
        let all = service.total_demand();
        for region in &regions {
            let here = service.zones.iter().filter(|(zone, _)| snapshot.region_of(zone) == *region);
            let here: Vec<_> = here.map(|(_, zone)| zone).collect();
            // A region without callers has no demand, now and by the forecast.
            let none = Demand { forecast: all.and_then(|all| all.forecast).map(|_| 0.0), now: 0.0 };
            let demand = service.demand.as_ref().map(|it| it.get(region).copied().unwrap_or(none));
            let forecast = demand.and_then(|demand| demand.forecast);
            rows.push(RegionRow {
                busy: known_total(here.iter().map(|zone| zone.busy)),
                demand: demand.map(|demand| demand.now),
                forecast,
                region: region.clone(),
                service: name.clone(),
                slots: total(here.iter().map(|zone| zone.slots)),
                targets: known_total(here.iter().map(|zone| zone.targets)),
            });
        }
    }
    rows
}

/// The report as it would be after a step, and how the requests move.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RehearsalReport {
    pub after: HeadroomReport,
    /// Maximum fraction of a region's requests that change their region from one window to the
    /// next.
    pub max_shift: f64,
    /// Services that are short of slots after the step and were not before it.
    pub newly_short: Vec<ServiceId>,
    pub step: Step,
    pub transitions: Vec<Transition>,
}

impl RehearsalReport {
    /// Calculates the report; the error says why the step cannot be taken.
    pub fn new(snapshot: &Snapshot, step: Step, bound: ShiftBound) -> Result<Self, StepError> {
        let after = step.apply(snapshot)?;
        let services = step.services(snapshot);
        let transitions = Transition::play(&services, snapshot, &after, bound);
        let mut report = HeadroomReport::new(&after);
        report.unknown.extend(services.iter().filter_map(|name| computed_shares(snapshot, name)));
        let was_short = |name: &ServiceId| {
            service_loads(snapshot).iter().any(|load| load.service == *name && load.is_short())
        };
        let short = report.services.iter().filter(|load| load.is_short());
        let newly_short =
            short.map(|load| load.service.clone()).filter(|name| !was_short(name)).collect();
        Ok(Self { after: report, max_shift: bound.max_shift, newly_short, step, transitions })
    }

    /// Whether a service would be short of slots after the step, after a further loss, or while its
    /// requests move.
    pub fn is_short(&self) -> bool {
        self.after.is_short() || !self.transitions.iter().all(Transition::is_in_time)
    }
}
