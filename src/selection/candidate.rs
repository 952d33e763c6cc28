//! What the selector may choose from.

use crate::prelude::*;

/// How far away a target is; nearer ones come first.
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
    /// Requests that this host has running there.
    pub in_flight: u32,
    /// Most requests that it may run now; 0 takes it out.
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
