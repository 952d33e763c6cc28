//! Load of the regions, estimated from what one host observes.

use super::Router;
use crate::{drain::ServiceLoad, prelude::*};

impl Router {
    /// Mean number of slots in use by each region's callers, by service: the baseline request rate
    /// times the mean latency of the targets that this host has used. Services that it has not
    /// used are left out.
    pub fn region_loads(&self) -> Vec<ServiceLoad> {
        let Some(view) = &self.view else { return Vec::new() };
        let load = |baseline: &crate::view::Baseline| {
            let latency = self.mean_latency(&baseline.service)?;
            Some(ServiceLoad {
                busy: baseline.rate * latency.as_secs_f64(),
                region: baseline.home.clone(),
                service: baseline.service.clone(),
            })
        };
        view.baselines.iter().filter_map(load).collect()
    }

    fn mean_latency(&self, service: &ServiceId) -> Option<Duration> {
        let targets = &self.view.as_ref()?.manifest.service(service)?.targets;
        let latencies: Vec<Duration> =
            targets.iter().filter_map(|target| self.selector.mean_latency(&target.name)).collect();
        let count = u32::try_from(latencies.len()).ok().filter(|count| 0 < *count)?;
        Some(latencies.iter().sum::<Duration>() / count)
    }
}
