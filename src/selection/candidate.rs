//! Candidates for a request.

use crate::prelude::*;

/// Distance of a target, nearest first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Tier {
    /// In this host's own availability zone.
    Zone,
    /// In another zone of the home region.
    Region,
    /// In another region: choosing it is a shift.
    Foreign,
}

/// One target that could serve the request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Requests in flight on the target, as far as this host knows.
    pub in_flight: u32,
    /// Maximum number of requests in flight; 0 excludes the target.
    pub limit: u32,
    pub target: TargetId,
    pub tier: Tier,
}

impl Candidate {
    /// Whether one more request fits.
    pub fn has_room(&self) -> bool {
        self.in_flight < self.limit
    }
}
