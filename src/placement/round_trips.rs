//! Round trips to the regions, learnt from new connections.

use std::collections::VecDeque;

use crate::prelude::*;

/// Round trip to another region before any was measured.
const TRIP_ASSUMED: Duration = Duration::from_millis(100);

/// New connections that count: the shortest of these is taken, since packets that were lost and
/// targets that were slow to accept only lengthen it.
const SAMPLES: usize = 8;

/// Measured round trips.
#[derive(Debug, Default)]
pub struct RoundTrips {
    regions: BTreeMap<RegionId, VecDeque<Duration>>,
}

impl RoundTrips {
    /// A connection to a target of the region took that long.
    pub fn record(&mut self, region: &RegionId, took: Duration) {
        let samples = self.regions.entry(region.clone()).or_default();
        if samples.len() == SAMPLES {
            samples.pop_front();
        }
        samples.push_back(took);
    }

    /// The round trip from `home`.
    pub fn get(&self, region: &RegionId, home: &RegionId) -> Duration {
        let measured = self.regions.get(region).and_then(|samples| samples.iter().min());
        let assumed = if region == home { Duration::ZERO } else { TRIP_ASSUMED };
        measured.copied().unwrap_or(assumed)
    }
}
