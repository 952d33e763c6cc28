//! What a run gives.

use std::collections::VecDeque;

use hdrhistogram::Histogram;

use super::{Contender, Member, Scenario};
use crate::prelude::*;

/// Buckets of one second over which the shifted share is taken.
const SHARE_WINDOW: usize = 10;
/// Fewer requests than this in a window say nothing about a share.
const SHARE_LEAST: u32 = 50;

/// The figures of one run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Invariants that did not hold.
    pub broken: u64,
    pub contender: Contender,
    /// Lowest spare share of slots of a live region, over half a second.
    pub headroom: f64,
    /// The same by region, in the manifest's order.
    pub headroom_by_region: Vec<f64>,
    /// Second attempts at slow reads, as a share of requests.
    pub hedged: f64,
    /// Share of requests that were not served even after the caller's resends.
    pub lost: f64,
    pub member: Member,
    /// Milliseconds until the answer, resends included; a lost request counts as ten seconds.
    pub p50: f64,
    pub p99: f64,
    pub p999: f64,
    pub requests: u64,
    pub scenario: Scenario,
    pub seed: u64,
    /// Requests that a target shed, as a share of those sent to one.
    pub shed: f64,
    /// Highest share of a region's requests served elsewhere, over ten seconds.
    pub shifted: f64,
}

/// Collects the figures of one run.
#[derive(Debug)]
pub(super) struct Tally {
    pub broken: u64,
    pub hedged: u64,
    latency: Histogram<u64>,
    lost: u64,
    pub sent: u64,
    shares: [Shares; 3],
    pub shed: u64,
}

#[derive(Debug, Default)]
struct Shares {
    highest: f64,
    seconds: VecDeque<(u64, u32, u32)>,
}

impl Tally {
    pub fn new() -> Self {
        let latency = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds are valid");
        Self {
            broken: 0,
            hedged: 0,
            latency,
            lost: 0,
            sent: 0,
            shares: Default::default(),
            shed: 0,
        }
    }

    /// A request got its final answer.
    pub fn done(&mut self, latency: Duration, served: bool) {
        self.lost += u64::from(!served);
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.latency.saturating_record(micros.max(1));
    }

    /// A caller at home in `home` sent a request, or had one served elsewhere.
    pub fn count(&mut self, home: usize, shifted: bool, now: Moment) {
        let shares = &mut self.shares[home];
        let second = now.as_secs();
        if shares.seconds.back().is_none_or(|&(last, ..)| last != second) {
            shares.judge();
            shares.seconds.push_back((second, 0, 0));
        }
        if let Some((_, sent, away)) = shares.seconds.back_mut() {
            *(if shifted { away } else { sent }) += 1;
        }
    }

    pub fn row(
        &self,
        contender: Contender,
        member: Member,
        scenario: Scenario,
        seed: u64,
        headroom_by_region: Vec<f64>,
    ) -> Row {
        let requests = self.latency.len();
        let millis = |quantile| self.latency.value_at_quantile(quantile) as f64 / 1000.0;
        let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
        Row {
            broken: self.broken,
            contender,
            headroom: headroom_by_region.iter().copied().fold(1.0, f64::min),
            headroom_by_region,
            hedged: share(self.hedged, requests),
            lost: share(self.lost, requests),
            member,
            p50: millis(0.5),
            p99: millis(0.99),
            p999: millis(0.999),
            requests,
            scenario,
            seed,
            shed: share(self.shed, self.sent),
            shifted: self.shares.iter().map(|shares| shares.highest).fold(0.0, f64::max),
        }
    }
}

impl Shares {
    fn judge(&mut self) {
        while SHARE_WINDOW < self.seconds.len() {
            self.seconds.pop_front();
        }
        let (sent, away) = self
            .seconds
            .iter()
            .fold((0, 0), |(sent, away), &(_, more, gone)| (sent + more, away + gone));
        if SHARE_LEAST <= sent {
            self.highest = self.highest.max(f64::from(away) / f64::from(sent));
        }
    }
}
