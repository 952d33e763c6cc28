//! Demand of this host's callers for a service, by the region that has to serve it.
//!
//! Load pattern: a team with home regions sends many times its usual rate. Its requests run at home
//! whichever region receives them. Counted where they arrive, they would make that region look
//! overloaded and move its other callers away, on top of the requests that go home anyway.

use crate::prelude::*;

/// Weight of the newest interval in the moving average of the demand.
const DEMAND_SMOOTHING: f64 = 0.3;

/// Shortest interval over which demand is measured, in seconds.
const MIN_INTERVAL_S: f64 = 0.1;

/// Slots that the requests of this host's callers keep busy on average, by region.
#[derive(Debug, Default)]
pub struct Demand {
    /// Number of intervals over which demand was measured.
    measurements: u32,
    regions: BTreeMap<RegionId, RegionDemand>,
}

#[derive(Debug, Default)]
struct RegionDemand {
    /// Requests since the last measurement.
    arrivals: f64,
    slots: f64,
}

impl Demand {
    /// Counts a request that one of the regions has to serve, in equal parts for each of them.
    pub fn count_arrival(&mut self, regions: &[RegionId]) {
        for region in regions {
            let demand = self.regions.entry(region.clone()).or_default();
            demand.arrivals += 1.0 / regions.len() as f64;
        }
    }

    /// Measures demand from the requests that arrived in the `elapsed` time since the last call,
    /// each of which keeps a slot busy for `work`. The first intervals are averaged with equal
    /// weight: an average that starts at zero would understate the demand and move all shares to
    /// the home region while callers are waiting.
    pub fn measure(&mut self, elapsed: Duration, work: Duration) {
        self.measurements = self.measurements.saturating_add(1);
        let weight = DEMAND_SMOOTHING.max(1.0 / f64::from(self.measurements));
        for demand in self.regions.values_mut() {
            let rate = demand.arrivals / elapsed.as_secs_f64().max(MIN_INTERVAL_S);
            demand.arrivals = 0.0;
            demand.slots += (rate * work.as_secs_f64() - demand.slots) * weight;
        }
    }

    /// Demand that a region has to serve, in slots.
    pub fn of(&self, region: &RegionId) -> f64 {
        self.regions.get(region).map_or(0.0, |demand| demand.slots)
    }

    /// All regions with their demand, in slots.
    pub fn iter(&self) -> impl Iterator<Item = (&RegionId, f64)> {
        self.regions.iter().map(|(region, demand)| (region, demand.slots))
    }
}
