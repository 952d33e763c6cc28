//! Latency estimates of each service's reads, from which the hedge delay follows.

use crate::prelude::*;

/// Reads from which one estimate is computed.
const SAMPLES_PER_ESTIMATE: usize = 64;
/// Percentile of the read latency after which a read is hedged.
const HEDGE_PERCENTILE: usize = 97;

/// Read latencies by service, as seen by the callers of this host.
#[derive(Debug, Default)]
pub(super) struct ReadLatencies {
    services: BTreeMap<ServiceId, LatencyEstimate>,
}

#[derive(Debug, Default)]
struct LatencyEstimate {
    samples: Vec<Duration>,
    hedge_delay: Option<Duration>,
}

impl ReadLatencies {
    /// Records the latency of a read's first attempt, or the time after which it was cancelled.
    pub fn record(&mut self, service: &ServiceId, took: Duration) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), LatencyEstimate::default());
        }
        let estimate = self.services.get_mut(service).expect("inserted above");
        estimate.record(took);
    }

    /// The time within which 97 of 100 reads of a service end; `None` until `SAMPLES_PER_ESTIMATE`
    /// reads were recorded.
    pub fn hedge_delay(&self, service: &ServiceId) -> Option<Duration> {
        self.services.get(service)?.hedge_delay
    }

    /// Drops the services for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&ServiceId) -> bool) {
        self.services.retain(|service, _| is_known(service));
    }
}

impl LatencyEstimate {
    fn record(&mut self, took: Duration) {
        self.samples.push(took);
        if self.samples.len() < SAMPLES_PER_ESTIMATE {
            return;
        }
        let rank = SAMPLES_PER_ESTIMATE * HEDGE_PERCENTILE / 100;
        let (_, hedge_delay, _) = self.samples.select_nth_unstable(rank);
        self.hedge_delay = Some(*hedge_delay);
        self.samples.clear();
    }
}
