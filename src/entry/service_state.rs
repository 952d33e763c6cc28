//! What a host has measured of one service, and what it may still spend there.

use crate::{
    admission::RetryBudget,
    event_log::{Event, EventSink},
    placement::{RegionShares, ServiceEstimates, TargetIndex},
    prelude::*,
};

/// Weight of the newest span in the measured demand.
const DEMAND_SMOOTHING: f64 = 0.3;

/// Shortest span that demand is measured over, in seconds.
const MIN_INTERVAL_S: f64 = 0.1;

/// Part of requests that may leave the region that the shares name: they add to the shift.
const SPILL_CREDIT_PER_REQUEST: f64 = 0.005;

/// Most of these that are saved up.
const MAX_SPILL_CREDIT: f64 = 2.0;

/// Least move of a region's share that is told: a tenth of a second's usual move is noise.
const MIN_REPORTED_SHARE_CHANGE: f64 = 0.05;

/// Figures of one service.
#[derive(Debug)]
pub(super) struct ServiceState {
    arrivals: u32,
    pub retry_budget: RetryBudget,
    /// Busy slots that this host's callers ask for.
    pub demand: f64,
    pub target_index: TargetIndex,
    pub learnt: ServiceEstimates,
    /// Spans in which demand was measured.
    measurements: u32,
    pub shares: Option<RegionShares>,
    /// Requests that may leave the region that the shares name; rises with each request.
    pub spill_credit: f64,
    /// The shares that were last told.
    reported_shares: BTreeMap<RegionId, f64>,
}

impl Default for ServiceState {
    fn default() -> Self {
        Self {
            arrivals: 0,
            retry_budget: RetryBudget::new(),
            demand: 0.0,
            target_index: TargetIndex::default(),
            learnt: ServiceEstimates::default(),
            measurements: 0,
            shares: None,
            spill_credit: 0.0,
            reported_shares: BTreeMap::new(),
        }
    }
}

impl ServiceState {
    /// Counts a new request.
    pub fn count_arrival(&mut self, now: Moment) {
        self.arrivals += 1;
        self.spill_credit = (self.spill_credit + SPILL_CREDIT_PER_REQUEST).min(MAX_SPILL_CREDIT);
        self.retry_budget.noted(now);
    }

    /// Measures demand by the requests since the last call, that long ago. The first spans count in
    /// full: a mean that rises from nothing would draw all shares home while callers are waiting.
    pub fn measure_demand(&mut self, elapsed: Duration) {
        let rate = f64::from(self.arrivals) / elapsed.as_secs_f64().max(MIN_INTERVAL_S);
        let demand = rate * self.learnt.work.mean().as_secs_f64();
        self.arrivals = 0;
        self.measurements = self.measurements.saturating_add(1);
        let weight = DEMAND_SMOOTHING.max(1.0 / f64::from(self.measurements));
        self.demand += (demand - self.demand) * weight;
    }

    /// Tells the shares where they have moved.
    pub fn report_shares(&mut self, events: &dyn EventSink, service: &ServiceId) {
        let Some(shares) = &self.shares else { return };
        let rounded = |part: f64| (part * 1e3).round() / 1e3;
        let now: BTreeMap<RegionId, f64> =
            shares.iter().map(|(region, part)| (region.clone(), rounded(part))).collect();
        let moved = |(region, part): (&RegionId, &f64)| {
            let reported = self.reported_shares.get(region).copied().unwrap_or_default();
            MIN_REPORTED_SHARE_CHANGE <= (part - reported).abs()
        };
        if now.iter().any(moved) {
            self.reported_shares = now.clone();
            events.record(None, Event::SharesMoved { service: service.clone(), shares: now });
        }
    }
}
