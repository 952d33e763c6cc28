//! Round-trip times to the regions, measured by opening connections.

use std::collections::VecDeque;

use crate::prelude::*;

/// Round trip assumed for another region until one is measured.
const DEFAULT_ROUND_TRIP: Duration = Duration::from_millis(100);

/// Number of recent connections considered. The estimate is the shortest of them, since lost
/// packets and targets that are slow to accept only lengthen a measurement.
const MAX_SAMPLES: usize = 8;

/// Connection times of each region.
#[derive(Debug, Default)]
pub struct RoundTrips {
    regions: BTreeMap<RegionId, VecDeque<Duration>>,
}

impl RoundTrips {
    /// Records how long a connection to a target of the region took to open.
    pub fn record(&mut self, region: &RegionId, took: Duration) {
        let samples = self.regions.entry(region.clone()).or_default();
        if samples.len() == MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back(took);
    }

    /// The estimated round trip to `region` from a host in `home`.
    pub fn get(&self, region: &RegionId, home: &RegionId) -> Duration {
        let measured = self.regions.get(region).and_then(|samples| samples.iter().min());
        let assumed = if region == home { Duration::ZERO } else { DEFAULT_ROUND_TRIP };
        measured.copied().unwrap_or(assumed)
    }
}
