//! Input of the shift limiter.

use crate::{manifest::Share, prelude::*};

/// Query of a home host: may one more request be sent to another region?
#[derive(Clone, Debug, PartialEq)]
pub struct ShiftQuery {
    pub home: RegionId,
    /// Maximum share of the home region's requests that may be served elsewhere.
    pub cap: Share,
    /// Another region cannot be reached and may be serving this region's callers directly.
    pub regions_silent: bool,
    pub service: ServiceId,
}

/// Query of a host in another region that a caller reached directly because its home hosts are
/// gone: may this caller be served here?
#[derive(Clone, Debug, PartialEq)]
pub struct DirectQuery {
    /// Requests per second that the home region last had.
    pub baseline: f64,
    /// Maximum share of the home region's requests that may be served elsewhere.
    pub cap: Share,
    pub home: RegionId,
    /// Number of hosts that such callers may reach, including this one.
    pub receivers: u32,
    pub service: ServiceId,
}

/// Outcome of a request from a home region's caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CompletedRequest {
    /// Time to the complete answer; `None` if there was none.
    pub latency: Option<Duration>,
    /// The other region had no free slot outside its reserve.
    pub refused: bool,
    /// It was served by another region.
    pub shifted: bool,
}
