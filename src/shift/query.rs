//! What is asked before a shift.

use crate::{manifest::Share, prelude::*};

/// A home host wants to send one request to another region.
#[derive(Clone, Debug, PartialEq)]
pub struct ShiftQuery {
    pub home: RegionId,
    /// Most of the home region's requests that may be served elsewhere.
    pub cap: Share,
    /// Another region is silent and may be serving this region's callers directly.
    pub regions_silent: bool,
    pub service: ServiceId,
}

/// A caller came straight to another region because its home hosts are gone.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectQuery {
    /// Requests a second that the home region last had.
    pub baseline: f64,
    /// Most of the home region's requests that may be served elsewhere.
    pub cap: Share,
    pub home: RegionId,
    /// Hosts that such callers may come to, this one included.
    pub receivers: u32,
    pub service: ServiceId,
}

/// How a request of a home region's caller ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CompletedRequest {
    /// Time to the whole answer; `None` when there was none.
    pub latency: Option<Duration>,
    /// The other region had no slot to spare.
    pub refused: bool,
    /// It was served by another region.
    pub shifted: bool,
}
