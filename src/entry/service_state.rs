//! What a host has measured of one service, and what it may still spend there.

use crate::{
    admission::RetryBudget,
    event_log::{Event, EventSink},
    placement::{RegionShares, ServiceEstimates, TargetIndex},
    prelude::*,
};

/// Weight of the newest span in the measured demand.
const DEMAND_NEWEST: f64 = 0.3;

/// Shortest span that demand is measured over, in seconds.
const SPAN_LEAST: f64 = 0.1;

/// Part of requests that may leave the region that the shares name: they add to the shift.
const SPILL_PART: f64 = 0.005;

/// Most of these that are saved up.
const SPILL_MOST: f64 = 2.0;

/// Least move of a region's share that is told: a tenth of a second's usual move is noise.
const SHARE_REPORTED: f64 = 0.05;

/// Figures of one service.
#[derive(Debug)]
pub(super) struct ServiceState {
    arrivals: u32,
    pub budget: RetryBudget,
    /// Busy slots that this host's callers ask for.
    pub demand: f64,
    pub index: TargetIndex,
    pub learnt: ServiceEstimates,
    /// Spans in which demand was measured.
    spans: u32,
    pub shares: Option<RegionShares>,
    /// Requests that may leave the region that the shares name; rises with each request.
    pub spill: f64,
    /// The shares that were last told.
    reported_shares: BTreeMap<RegionId, f64>,
}

impl Default for ServiceState {
    fn default() -> Self {
        Self {
            arrivals: 0,
            budget: RetryBudget::new(),
            demand: 0.0,
            index: TargetIndex::default(),
            learnt: ServiceEstimates::default(),
            spans: 0,
            shares: None,
            spill: 0.0,
            reported_shares: BTreeMap::new(),
        }
    }
}

impl ServiceState {
    /// Counts a new request.
    pub fn arrived(&mut self, now: Moment) {
        self.arrivals += 1;
        self.spill = (self.spill + SPILL_PART).min(SPILL_MOST);
        self.budget.noted(now);
    }

    /// Measures demand by the requests since the last call, that long ago. The first spans count in
    /// full: a mean that rises from nothing would draw all shares home while callers are waiting.
    pub fn measure(&mut self, spent: Duration) {
        let rate = f64::from(self.arrivals) / spent.as_secs_f64().max(SPAN_LEAST);
        let demand = rate * self.learnt.work.mean().as_secs_f64();
        self.arrivals = 0;
        self.spans = self.spans.saturating_add(1);
        let newest = DEMAND_NEWEST.max(1.0 / f64::from(self.spans));
        self.demand += (demand - self.demand) * newest;
    }

    /// Tells the shares where they have moved.
    pub fn report_shares(&mut self, events: &dyn EventSink, service: &ServiceId) {
        let Some(shares) = &self.shares else { return };
        let rounded = |part: f64| (part * 1e3).round() / 1e3;
        let now: BTreeMap<RegionId, f64> =
            shares.iter().map(|(region, part)| (region.clone(), rounded(part))).collect();
        let moved = |(region, part): (&RegionId, &f64)| {
            let told = self.reported_shares.get(region).copied().unwrap_or_default();
            SHARE_REPORTED <= (part - told).abs()
        };
        if now.iter().any(moved) {
            self.reported_shares = now.clone();
            events.record(None, Event::SharesMoved { service: service.clone(), shares: now });
        }
    }
}
