//! What a host has measured of one service, and its budgets for retries and for leaving the region.

use crate::{
    admission::RetryBudget,
    event_log::{Event, EventSink},
    placement::{RegionShares, ServiceEstimates, TargetIndex},
    prelude::*,
};

/// Weight of the newest interval in the moving average of the demand.
const DEMAND_SMOOTHING: f64 = 0.3;

/// Shortest interval over which demand is measured, in seconds.
const MIN_INTERVAL_S: f64 = 0.1;

/// Fraction of requests that may spill, that is, be sent outside the region picked by the shares.
/// Small, since these requests add to the traffic shifted between regions and count towards the
/// maximum shift.
const SPILL_CREDIT_PER_REQUEST: f64 = 0.005;

/// Most credit that can be saved up, in requests.
const MAX_SPILL_CREDIT: f64 = 2.0;

/// Smallest change of a region's share that is logged: the usual change within a tenth of a second
/// is noise.
const MIN_REPORTED_SHARE_CHANGE: f64 = 0.05;

/// Measurements and budgets of one service.
#[derive(Debug)]
pub(super) struct ServiceState {
    arrivals: u32,
    pub retry_budget: RetryBudget,
    /// Slots that the requests of this host's callers keep busy on average.
    pub demand: f64,
    pub target_index: TargetIndex,
    pub estimates: ServiceEstimates,
    /// Number of intervals over which demand was measured.
    measurements: u32,
    pub shares: Option<RegionShares>,
    /// Number of requests that may spill, that is, be sent outside the region picked by the shares;
    /// grows with each request.
    pub spill_credit: f64,
    /// The shares that were last written to the log.
    reported_shares: BTreeMap<RegionId, f64>,
}

impl Default for ServiceState {
    fn default() -> Self {
        Self {
            arrivals: 0,
            retry_budget: RetryBudget::new(),
            demand: 0.0,
            target_index: TargetIndex::default(),
            estimates: ServiceEstimates::default(),
            measurements: 0,
            shares: None,
            spill_credit: 0.0,
            reported_shares: BTreeMap::new(),
        }
    }
}

impl ServiceState {
    /// Counts a new request towards demand, retry budget and spill credit.
    pub fn count_arrival(&mut self, now: Moment) {
        self.arrivals += 1;
        self.spill_credit = (self.spill_credit + SPILL_CREDIT_PER_REQUEST).min(MAX_SPILL_CREDIT);
        self.retry_budget.record_first_attempt(now);
    }

    /// Measures demand from the requests that arrived in the `elapsed` time since the last call.
    /// The first intervals are averaged with equal weight: an average that starts at zero would
    /// understate the demand and move all shares to the home region while callers are waiting.
    pub fn measure_demand(&mut self, elapsed: Duration) {
        let rate = f64::from(self.arrivals) / elapsed.as_secs_f64().max(MIN_INTERVAL_S);
        let demand = rate * self.estimates.work.mean().as_secs_f64();
        self.arrivals = 0;
        self.measurements = self.measurements.saturating_add(1);
        let weight = DEMAND_SMOOTHING.max(1.0 / f64::from(self.measurements));
        self.demand += (demand - self.demand) * weight;
    }

    /// Logs the shares if any of them has changed enough since they were last logged.
    pub fn report_shares(&mut self, events: &dyn EventSink, service: &ServiceId) {
        let Some(shares) = &self.shares else { return };
        let rounded = |share: f64| (share * 1e3).round() / 1e3;
        let now: BTreeMap<RegionId, f64> =
            shares.iter().map(|(region, share)| (region.clone(), rounded(share))).collect();
        let moved = |(region, share): (&RegionId, &f64)| {
            let reported = self.reported_shares.get(region).copied().unwrap_or_default();
            MIN_REPORTED_SHARE_CHANGE <= (share - reported).abs()
        };
        if now.iter().any(moved) {
            self.reported_shares = now.clone();
            events.record(None, Event::SharesMoved { service: service.clone(), shares: now });
        }
    }
}
