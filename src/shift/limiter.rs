//! The shift limiter: each host enforces the caps on its own part of the traffic.

use rand::Rng;

use super::{
    CompletedRequest, DirectQuery, ShiftOptions, ShiftQuery,
    ramp::{Feedback, Ramp},
    sliding_window::{Bucket, SlidingWindow, WINDOW},
};
use crate::{base::invariant, manifest::Share, prelude::*, view::Baseline};

/// Share of a cap that each side may use while regions cannot reach each other: the home region's
/// hosts shift up to half, and hosts that its callers reach directly serve up to half, so the sum
/// stays under the cap.
const PARTITION_SHARE: Share = 0.5;
/// Shifts per second that a small flow may start with, provided that this is under its cap.
const MIN_START_RATE: f64 = 1.0;
/// Narrowest range over which Retry-After values are spread.
const RETRY_SPREAD_MIN: Duration = Duration::from_secs(1);
/// Fraction of a window without refusals after which its arrival count is representative.
const MIN_QUIET_FRACTION: f64 = 0.2;
/// Share of the arrivals of a window without refusals that is assumed to be original requests
/// while resends inflate the arrival count.
const ORIGINAL_REQUEST_SHARE: f64 = 0.95;
/// Assumed number of times that a request is sent, on a host that has not yet seen a window
/// without refusals.
const ASSUMED_SENDS: f64 = 4.0;
/// A shifted answer that takes this many times the mean latency at home counts as bad.
const SLOW_FACTOR: f64 = 8.0;
/// Weight of a new sample in the mean latency at home.
const HOME_LATENCY_WEIGHT: f64 = 0.05;
/// Time allowed for the network round trip to another region.
const INTER_REGION_ROUND_TRIP: Duration = Duration::from_millis(200);
/// Widest range over which Retry-After values are spread.
const RETRY_SPREAD_MAX: Duration = Duration::from_secs(15);
/// Upper bound of a flow's unused shift credit, in arrivals.
const MAX_SHIFT_CREDIT: f64 = 1.0e3;

/// Limits this host's shifts to the cap of each service and home region.
#[derive(Debug)]
pub struct ShiftLimiter {
    flows: BTreeMap<FlowId, Flow>,
    options: ShiftOptions,
    started_at: Moment,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct FlowId {
    home: RegionId,
    service: ServiceId,
}

/// Traffic of one service from the callers of one home region.
#[derive(Debug)]
struct Flow {
    /// Credit for direct callers, in requests; at most one, so that bursts are not admitted.
    direct_credit: f64,
    direct_credited_at: Moment,
    /// Credit for shifts, in arrivals: each arrival adds one, and a shift costs the inverse of the
    /// cap. If only the window were checked, earlier arrivals would allow a burst of shifts after
    /// the traffic has dropped.
    shift_credit: f64,
    window: SlidingWindow,
    /// Arrivals in a window without refusals, which therefore contains no resends of refused
    /// callers. 0 until such a window has been seen.
    quiet_arrivals: f64,
    /// Credit that the last shift cost, for `refund`.
    last_cost: f64,
    ramp: Ramp,
    options: ShiftOptions,
    /// Mean latency of answers from the home region, in seconds; 0 before the first one.
    home_latency: f64,
}

impl ShiftLimiter {
    /// A limiter with empty windows at `now`: a restarted host starts without credit.
    pub fn new(now: Moment) -> Self {
        Self::with_options(ShiftOptions::default(), now)
    }

    /// A limiter with some safeguards disabled, for measurements.
    pub fn with_options(options: ShiftOptions, now: Moment) -> Self {
        Self { flows: BTreeMap::new(), options, started_at: now }
    }

    /// Counts a request from a caller whose home region is `home`. Called before any `allow` for
    /// that request.
    pub fn record_arrival(&mut self, service: &ServiceId, home: &RegionId, now: Moment) {
        let flow = self.flow(service, home, now);
        flow.window.update(now, |bucket| bucket.total += 1);
        flow.shift_credit = (flow.shift_credit + 1.0).min(MAX_SHIFT_CREDIT);
        flow.update_quiet_arrivals(now);
    }

    /// Whether this home host may send one more request to another region. If so, the shift is
    /// counted.
    pub fn allow(&mut self, query: &ShiftQuery, now: Moment) -> bool {
        let cap = if query.regions_silent { query.cap * PARTITION_SHARE } else { query.cap };
        let flow = self.flow(&query.service, &query.home, now);
        flow.allow(cap, now)
    }

    /// Whether this host may serve one more caller whose home hosts are gone. If so, the request is
    /// counted.
    pub fn allow_direct(&mut self, query: &DirectQuery, now: Moment) -> bool {
        let rate = query.cap * PARTITION_SHARE * query.baseline / f64::from(query.receivers.max(1));
        let flow = self.flow(&query.service, &query.home, now);
        flow.allow_direct(rate, now)
    }

    /// Returns the credit of an allowed shift that was then not run.
    pub fn refund(&mut self, service: &ServiceId, home: &RegionId, now: Moment) {
        let flow = self.flow(service, home, now);
        if flow.window.decrement(now, |bucket| &mut bucket.shifted) {
            flow.shift_credit += flow.last_cost;
        }
    }

    /// Returns the credit of an allowed direct request that was then not run.
    pub fn refund_direct(&mut self, service: &ServiceId, home: &RegionId, now: Moment) {
        let flow = self.flow(service, home, now);
        if flow.window.decrement(now, |bucket| &mut bucket.direct) {
            flow.direct_credit = (flow.direct_credit + 1.0).min(1.0);
        }
    }

    /// Records the end of a shifted request: `good` if it was neither slow nor shed.
    pub fn record_feedback(
        &mut self,
        service: &ServiceId,
        home: &RegionId,
        good: bool,
        now: Moment,
    ) {
        let feedback = if good { Feedback::Good } else { Feedback::Bad };
        self.flow(service, home, now).ramp.record(feedback, now);
    }

    /// Records the end of a request from the home region's callers. Answers from the home region
    /// set the expected latency; a shifted answer is good if its latency is within `SLOW_FACTOR`
    /// times that plus the round trip to the other region.
    pub fn record_completion(
        &mut self,
        service: &ServiceId,
        home: &RegionId,
        end: CompletedRequest,
        now: Moment,
    ) {
        let flow = self.flow(service, home, now);
        match (end.shifted, end.latency) {
            (true, _) => {
                let feedback = flow.classify(end);
                flow.ramp.record(feedback, now);
            }
            (false, Some(latency)) => flow.record_home_latency(latency),
            (false, None) => {}
        }
    }

    /// Requests per second by service and home region, over the window.
    pub fn request_rates(&self, now: Moment) -> Vec<Baseline> {
        let rate = |(id, flow): (&FlowId, &Flow)| Baseline {
            home: id.home.clone(),
            rate: f64::from(flow.window.sums_at(now).total) / flow.window.span(now).as_secs_f64(),
            service: id.service.clone(),
        };
        // A flow without arrivals here is only forwarded by this host; another host has its rate.
        self.flows.iter().map(rate).filter(|baseline| 0.0 < baseline.rate).collect()
    }

    /// Share of a home region's requests in the window that were served elsewhere, from 0 to 1.
    pub fn shifted_share(&self, service: &ServiceId, home: &RegionId, now: Moment) -> Share {
        let flows = self.flows.iter();
        let mut own = flows.filter(|(id, _)| id.service == *service && id.home == *home);
        let Some((_, flow)) = own.next() else { return 0.0 };
        let sums = flow.window.sums_at(now);
        f64::from(sums.shifted) / f64::from(sums.total.max(1))
    }

    /// How long a refused caller should wait before it retries: a random time from a range that
    /// widens with the number of refusals.
    pub fn retry_after(
        &self,
        service: &ServiceId,
        home: &RegionId,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Duration {
        let id = FlowId { home: home.clone(), service: service.clone() };
        let sums = self.flows.get(&id).map(|flow| flow.window.sums_at(now)).unwrap_or_default();
        let pressure = f64::from(sums.refused) / f64::from((sums.shifted + sums.direct).max(1));
        let spread = RETRY_SPREAD_MIN.mul_f64(pressure.max(1.0)).min(RETRY_SPREAD_MAX);
        RETRY_SPREAD_MIN + spread.mul_f64(rng.random_range(0.0..1.0))
    }

    /// Number of recent direction changes of a flow's ramp.
    pub fn reversals(&self, service: &ServiceId, home: &RegionId) -> usize {
        let id = FlowId { home: home.clone(), service: service.clone() };
        self.flows.get(&id).map_or(0, |flow| flow.ramp.reversals())
    }

    fn flow(&mut self, service: &ServiceId, home: &RegionId, now: Moment) -> &mut Flow {
        let id = FlowId { home: home.clone(), service: service.clone() };
        let (options, started_at) = (self.options, self.started_at);
        self.flows.entry(id).or_insert_with(|| Flow::new(options, started_at, now))
    }
}

impl Flow {
    fn new(options: ShiftOptions, started_at: Moment, now: Moment) -> Self {
        Self {
            direct_credit: 0.0,
            direct_credited_at: started_at,
            shift_credit: 0.0,
            window: SlidingWindow::new(now),
            quiet_arrivals: 0.0,
            last_cost: 0.0,
            ramp: Ramp::new(options, now),
            options,
            home_latency: 0.0,
        }
    }

    fn classify(&self, end: CompletedRequest) -> Feedback {
        match end.latency {
            Some(latency) if self.is_acceptable(latency) => Feedback::Good,
            None if end.refused => Feedback::Refused,
            _ => Feedback::Bad,
        }
    }

    fn is_acceptable(&self, latency: Duration) -> bool {
        self.home_latency == 0.0
            || latency.as_secs_f64()
                <= self.home_latency * SLOW_FACTOR + INTER_REGION_ROUND_TRIP.as_secs_f64()
    }

    fn record_home_latency(&mut self, latency: Duration) {
        let sample = latency.as_secs_f64();
        let mean = if self.home_latency == 0.0 { sample } else { self.home_latency };
        self.home_latency = mean + HOME_LATENCY_WEIGHT * (sample - mean);
    }

    fn allow(&mut self, cap: Share, now: Moment) -> bool {
        let sums = self.window.sums(now);
        let original_requests = self.original_requests(sums);
        let effective_cap = self.effective_cap(cap, original_requests, now);
        let is_within_limit = f64::from(sums.shifted + 1) <= effective_cap * original_requests;
        // A shift costs as many arrivals as it takes to earn it; at most two shifts' worth of
        // credit is kept.
        let cost = 1.0 / effective_cap.max(f64::EPSILON);
        self.shift_credit = self.shift_credit.min(cost * 2.0);
        if self.options.caps && (!is_within_limit || self.shift_credit < cost) {
            self.window.update(now, |bucket| bucket.refused += 1);
            return false;
        }
        self.shift_credit -= cost;
        self.last_cost = cost;
        self.ramp.record_shift(effective_cap / cap.max(f64::EPSILON), now);
        self.window.update(now, |bucket| bucket.shifted += 1);
        let sums = self.window.sums(now);
        let is_under_cap = f64::from(sums.shifted) <= cap * f64::from(sums.total);
        invariant::check(is_under_cap, "shift-under-cap", || {
            format!("{} shifted of {}, cap {cap}", sums.shifted, sums.total)
        });
        true
    }

    /// Estimated arrivals in the window without the resends of refused callers. Counting resends
    /// would raise the limit: the more callers were refused, the more shifts would be allowed.
    fn original_requests(&self, sums: Bucket) -> f64 {
        let total = f64::from(sums.total);
        if sums.refused == 0 {
            return total;
        }
        // Without a window free of refusals to compare with, a fixed number of sends is assumed.
        let quiet_arrivals =
            if self.quiet_arrivals == 0.0 { total / ASSUMED_SENDS } else { self.quiet_arrivals };
        total.min(quiet_arrivals * ORIGINAL_REQUEST_SHARE)
    }

    fn update_quiet_arrivals(&mut self, now: Moment) {
        let sums = self.window.sums(now);
        let window_fraction = self.window.span(now).as_secs_f64() / WINDOW.as_secs_f64();
        if sums.refused == 0 && MIN_QUIET_FRACTION <= window_fraction {
            self.quiet_arrivals = f64::from(sums.total) / window_fraction;
        }
    }

    /// The part of `cap` that the ramp allows. A small flow gets at least `MIN_START_RATE`:
    /// otherwise a tenth of its cap would be less than one request and the ramp would never receive
    /// feedback.
    fn effective_cap(&self, cap: Share, total: f64, now: Moment) -> Share {
        let window_secs = self.window.span(now).as_secs_f64();
        let min_share =
            MIN_START_RATE * self.ramp.min_rate_fraction(now) * window_secs / total.max(1.0);
        (cap * self.ramp.share(now)).max(min_share).min(cap)
    }

    fn allow_direct(&mut self, rate: f64, now: Moment) -> bool {
        let window_secs = WINDOW.as_secs_f64();
        let effective_rate = (rate * self.ramp.share(now))
            .max(MIN_START_RATE * self.ramp.min_rate_fraction(now))
            .min(rate);
        let credit = now.saturating_sub(self.direct_credited_at).as_secs_f64() * effective_rate;
        self.direct_credit = (self.direct_credit + credit).min(1.0);
        self.direct_credited_at = now;
        let limit = rate * window_secs + 1.0;
        let is_within_limit = f64::from(self.window.sums(now).direct + 1) <= limit;
        if self.options.caps && (!is_within_limit || self.direct_credit < 1.0) {
            self.window.update(now, |bucket| bucket.refused += 1);
            return false;
        }
        self.direct_credit -= 1.0;
        self.ramp.record_shift(effective_rate / rate.max(f64::EPSILON), now);
        self.window.update(now, |bucket| bucket.direct += 1);
        let direct = self.window.sums(now).direct;
        invariant::check(f64::from(direct) <= limit, "direct-shift-under-cap", || {
            format!("{direct} served directly, {limit:.1} allowed")
        });
        true
    }
}
