//! What a host has measured of one service, and its budgets for retries and for leaving the region.

use super::{
    TrafficState,
    demand::Demand,
    slot_owner::{OwnedGroup, TargetGroups},
};
use crate::{
    admission::RetryBudget,
    event_log::{Event, EventSink},
    placement::{FirstRunBudget, RegionShares, ServiceEstimates, TargetIndex},
    prelude::*,
    reservation::GroupNumber,
};

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
    pub retry_budget: RetryBudget,
    pub demand: Demand,
    pub target_index: TargetIndex,
    pub estimates: ServiceEstimates,
    /// Budgets of first runs by region; empty while they are not rationed.
    pub first_runs: BTreeMap<RegionId, FirstRunBudget>,
    pub groups: TargetGroups,
    /// The groups that this host owns.
    pub owned_groups: BTreeMap<GroupNumber, OwnedGroup>,
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
            retry_budget: RetryBudget::new(),
            demand: Demand::default(),
            target_index: TargetIndex::default(),
            estimates: ServiceEstimates::default(),
            first_runs: BTreeMap::new(),
            groups: TargetGroups::default(),
            owned_groups: BTreeMap::new(),
            shares: None,
            spill_credit: 0.0,
            reported_shares: BTreeMap::new(),
        }
    }
}

impl ServiceState {
    /// Counts a new request that one of the `regions` has to serve towards demand, retry budget
    /// and spill credit.
    pub fn count_arrival(&mut self, regions: &[RegionId], now: Moment) {
        self.demand.count_arrival(regions);
        self.spill_credit = (self.spill_credit + SPILL_CREDIT_PER_REQUEST).min(MAX_SPILL_CREDIT);
        self.retry_budget.record_first_attempt(now);
    }

    /// Measures demand from the requests that arrived in the `elapsed` time since the last call.
    pub fn measure_demand(&mut self, elapsed: Duration) {
        self.demand.measure(elapsed, self.estimates.work.mean());
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

impl TrafficState {
    /// Mean time that a target takes for a request to the service.
    pub fn mean_work(&self, service: &ServiceId) -> Duration {
        self.services.borrow().get(service).map_or_else(
            || ServiceEstimates::default().work.mean(),
            |state| state.estimates.work.mean(),
        )
    }
}
