//! The caps themselves, kept by each host for its own part of the traffic.

use rand::Rng;

use super::{
    CompletedRequest, DirectQuery, ShiftOptions, ShiftQuery,
    ramp::{Feedback, Ramp},
    sliding_window::{Bucket, SlidingWindow, WINDOW},
};
use crate::{base::invariant, manifest::Share, prelude::*, view::Baseline};

/// Part of a cap that each side takes while the two sides can't agree: the home region's hosts
/// shift half, and hosts that its callers reach directly serve half, so the sum stays under it.
const SPLIT: Share = 0.5;
/// Shifts a second that a small flow may start with, as long as they are under its cap.
const FIRST_STEP: f64 = 1.0;
/// Least spread of a Retry-After.
const SPREAD_MIN: Duration = Duration::from_secs(1);
/// Part of a quiet window after which its arrivals say how many are normal.
const QUIET_LEAST: f64 = 0.2;
/// Part of the normal arrivals that is counted on while resends hide how many callers there are.
const QUIET_SHARE: f64 = 0.95;
/// Sendings of one request, where a host has seen no quiet window to tell resends from.
const RESENDS: f64 = 4.0;
/// A shifted answer that takes this many times the usual time at home is bad.
const SLOW_FACTOR: f64 = 8.0;
/// Share of a new sample in the usual time.
const USUAL_WEIGHT: f64 = 0.05;
/// Time granted for the way to another region and back.
const WAY: Duration = Duration::from_millis(200);
/// Widest spread of a Retry-After.
const SPREAD_MAX: Duration = Duration::from_secs(15);
/// Most arrivals whose credit is kept.
const MAX_EARNED: f64 = 1.0e3;

/// Shift caps of this host, by service and home region.
#[derive(Debug)]
pub struct ShiftLimiter {
    flows: BTreeMap<FlowId, Flow>,
    rules: ShiftOptions,
    started_at: Moment,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct FlowId {
    home: RegionId,
    service: ServiceId,
}

#[derive(Debug)]
struct Flow {
    /// Credit for direct callers, in requests; at most one, so that no burst passes.
    direct: f64,
    direct_at: Moment,
    /// Credit for shifts, in requests. Each arrival earns the cap's share of one. With the window
    /// alone, old traffic could pay for a burst of shifts after the traffic itself is gone.
    earned: f64,
    window: SlidingWindow,
    /// Arrivals of a window while nothing was refused; resends of refused callers are not in it.
    normal: f64,
    /// What the last shift cost, for `undo`.
    price: f64,
    ramp: Ramp,
    rules: ShiftOptions,
    /// Mean time to an answer at home, in seconds; 0 before the first one.
    usual: f64,
}

impl ShiftLimiter {
    /// Caps with empty windows at `now`: a restarted host starts without credit.
    pub fn new(now: Moment) -> Self {
        Self::with_options(ShiftOptions::default(), now)
    }

    /// Caps with some safeguards off, for measurements.
    pub fn with_options(rules: ShiftOptions, now: Moment) -> Self {
        Self { flows: BTreeMap::new(), rules, started_at: now }
    }

    /// Counts a request of a caller at home in `home`, before any `allow` for it.
    pub fn record_arrival(&mut self, service: &ServiceId, home: &RegionId, now: Moment) {
        let flow = self.flow(service, home, now);
        flow.window.change(now, |bucket| bucket.total += 1);
        flow.earned = (flow.earned + 1.0).min(MAX_EARNED);
        flow.note_normal(now);
    }

    /// Whether this home host may send one more request to another region.
    pub fn allow(&mut self, ask: &ShiftQuery, now: Moment) -> bool {
        let cap = if ask.regions_silent { ask.cap * SPLIT } else { ask.cap };
        let flow = self.flow(&ask.service, &ask.home, now);
        flow.allow(cap, now)
    }

    /// Whether this host may serve one more caller whose home hosts are gone.
    pub fn allow_direct(&mut self, ask: &DirectQuery, now: Moment) -> bool {
        let rate = ask.cap * SPLIT * ask.baseline / f64::from(ask.receivers.max(1));
        let flow = self.flow(&ask.service, &ask.home, now);
        flow.allow_direct(rate, now)
    }

    /// Takes back an allowed shift that was then not run.
    pub fn refund(&mut self, service: &ServiceId, home: &RegionId, now: Moment) {
        let flow = self.flow(service, home, now);
        if flow.window.take_back(now, |bucket| &mut bucket.shifted) {
            flow.earned += flow.price;
        }
    }

    /// Takes back an allowed direct caller whose request was then not run.
    pub fn refund_direct(&mut self, service: &ServiceId, home: &RegionId, now: Moment) {
        let flow = self.flow(service, home, now);
        if flow.window.take_back(now, |bucket| &mut bucket.direct) {
            flow.direct = (flow.direct + 1.0).min(1.0);
        }
    }

    /// A shifted request ended: `good` when neither slow nor shed.
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

    /// A request of the home region's callers ended. Answers at home set what is usual; a shifted
    /// one is good when it came and took little longer than that and the way to another region.
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
                let feedback = flow.judge(end);
                flow.ramp.record(feedback, now);
            }
            (false, Some(latency)) => flow.note_usual(latency),
            (false, None) => {}
        }
    }

    /// Requests a second by service and home region, over the window.
    pub fn request_rates(&self, now: Moment) -> Vec<Baseline> {
        let rate = |(id, flow): (&FlowId, &Flow)| Baseline {
            home: id.home.clone(),
            rate: f64::from(flow.window.peek(now).total) / flow.window.span(now).as_secs_f64(),
            service: id.service.clone(),
        };
        // A flow without arrivals is one that only passes through here: another host knows its rate.
        self.flows.iter().map(rate).filter(|baseline| 0.0 < baseline.rate).collect()
    }

    /// Share of a home region's requests of the window that were served elsewhere, from 0 to 1.
    pub fn shifted_share(&self, service: &ServiceId, home: &RegionId, now: Moment) -> Share {
        let flows = self.flows.iter();
        let mut own = flows.filter(|(id, _)| id.service == *service && id.home == *home);
        let Some((_, flow)) = own.next() else { return 0.0 };
        let sums = flow.window.peek(now);
        f64::from(sums.shifted) / f64::from(sums.total.max(1))
    }

    /// When a refused caller should come back: the more were refused, the wider the spread.
    pub fn retry_after(
        &self,
        service: &ServiceId,
        home: &RegionId,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Duration {
        let id = FlowId { home: home.clone(), service: service.clone() };
        let sums = self.flows.get(&id).map(|flow| flow.window.peek(now)).unwrap_or_default();
        let pressure = f64::from(sums.refused) / f64::from((sums.shifted + sums.direct).max(1));
        let spread = SPREAD_MIN.mul_f64(pressure.max(1.0)).min(SPREAD_MAX);
        SPREAD_MIN + spread.mul_f64(rng.random_range(0.0..1.0))
    }

    /// Changes of direction of a flow's ramp within the counted span.
    pub fn reversals(&self, service: &ServiceId, home: &RegionId) -> usize {
        let id = FlowId { home: home.clone(), service: service.clone() };
        self.flows.get(&id).map_or(0, |flow| flow.ramp.reversals())
    }

    fn flow(&mut self, service: &ServiceId, home: &RegionId, now: Moment) -> &mut Flow {
        let id = FlowId { home: home.clone(), service: service.clone() };
        let (rules, started_at) = (self.rules, self.started_at);
        self.flows.entry(id).or_insert_with(|| Flow::new(rules, started_at, now))
    }
}

impl Flow {
    fn new(rules: ShiftOptions, started_at: Moment, now: Moment) -> Self {
        Self {
            direct: 0.0,
            direct_at: started_at,
            earned: 0.0,
            window: SlidingWindow::new(now),
            normal: 0.0,
            price: 0.0,
            ramp: Ramp::new(rules, now),
            rules,
            usual: 0.0,
        }
    }

    fn judge(&self, end: CompletedRequest) -> Feedback {
        match end.latency {
            Some(latency) if self.is_usual(latency) => Feedback::Good,
            None if end.refused => Feedback::Refused,
            _ => Feedback::Bad,
        }
    }

    fn is_usual(&self, latency: Duration) -> bool {
        self.usual == 0.0 || latency.as_secs_f64() <= self.usual * SLOW_FACTOR + WAY.as_secs_f64()
    }

    fn note_usual(&mut self, latency: Duration) {
        let sample = latency.as_secs_f64();
        let mean = if self.usual == 0.0 { sample } else { self.usual };
        self.usual = mean + USUAL_WEIGHT * (sample - mean);
    }

    fn allow(&mut self, cap: Share, now: Moment) -> bool {
        let sums = self.window.sums(now);
        let genuine = self.genuine(sums);
        let cap_now = self.cap_now(cap, genuine, now);
        let within = f64::from(sums.shifted + 1) <= cap_now * genuine;
        // One shift costs the arrivals that it takes to earn it; kept credit is two shifts' worth.
        let price = 1.0 / cap_now.max(f64::EPSILON);
        self.earned = self.earned.min(price * 2.0);
        if self.rules.caps && (!within || self.earned < price) {
            self.window.change(now, |bucket| bucket.refused += 1);
            return false;
        }
        self.earned -= price;
        self.price = price;
        self.ramp.used(cap_now / cap.max(f64::EPSILON), now);
        self.window.change(now, |bucket| bucket.shifted += 1);
        let sums = self.window.sums(now);
        let under = f64::from(sums.shifted) <= cap * f64::from(sums.total);
        invariant::hold(under, "shift-under-cap", || {
            format!("{} shifted of {}, cap {cap}", sums.shifted, sums.total)
        });
        true
    }

    /// Arrivals of the window without the resends of refused callers. Those would raise the total
    /// and with it what may shift: the more callers are refused, the more would be let through.
    fn genuine(&self, sums: Bucket) -> f64 {
        let total = f64::from(sums.total);
        if sums.refused == 0 {
            return total;
        }
        // A host that has seen no quiet window knows only that each caller sends a few times.
        let normal = if self.normal == 0.0 { total / RESENDS } else { self.normal };
        total.min(normal * QUIET_SHARE)
    }

    fn note_normal(&mut self, now: Moment) {
        let sums = self.window.sums(now);
        let seen = self.window.span(now).as_secs_f64() / WINDOW.as_secs_f64();
        if sums.refused == 0 && QUIET_LEAST <= seen {
            self.normal = f64::from(sums.total) / seen;
        }
    }

    /// The part of `cap` that the ramp allows. A small flow gets at least `FIRST_STEP`, or a tenth
    /// of its cap would be less than one request and the ramp would never see an answer.
    fn cap_now(&self, cap: Share, total: f64, now: Moment) -> Share {
        let window = self.window.span(now).as_secs_f64();
        let first_step = FIRST_STEP * self.ramp.least(now) * window / total.max(1.0);
        (cap * self.ramp.share(now)).max(first_step).min(cap)
    }

    fn allow_direct(&mut self, rate: f64, now: Moment) -> bool {
        let window = WINDOW.as_secs_f64();
        let rate_now =
            (rate * self.ramp.share(now)).max(FIRST_STEP * self.ramp.least(now)).min(rate);
        let earned = now.saturating_sub(self.direct_at).as_secs_f64() * rate_now;
        self.direct = (self.direct + earned).min(1.0);
        self.direct_at = now;
        let most = rate * window + 1.0;
        let within = f64::from(self.window.sums(now).direct + 1) <= most;
        if self.rules.caps && (!within || self.direct < 1.0) {
            self.window.change(now, |bucket| bucket.refused += 1);
            return false;
        }
        self.direct -= 1.0;
        self.ramp.used(rate_now / rate.max(f64::EPSILON), now);
        self.window.change(now, |bucket| bucket.direct += 1);
        let direct = self.window.sums(now).direct;
        invariant::hold(f64::from(direct) <= most, "direct-shift-under-cap", || {
            format!("{direct} served directly, {most:.1} allowed")
        });
        true
    }
}
