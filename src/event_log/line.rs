//! One line of the log.

use super::Event;
use crate::prelude::*;

/// Names one request on one host.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RequestKey {
    /// The caller's id of this attempt; the same in every host's log.
    #[serde(rename = "request", skip_serializing_if = "Option::is_none")]
    pub attempt: Option<RequestId>,
    /// The host's own number of the request, from 1.
    #[serde(rename = "own", skip_serializing_if = "Option::is_none")]
    pub own: Option<u64>,
}

/// One line, as it is written and read.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Line {
    /// Wall clock, in milliseconds since 1970. It may jump; `up_ms` does not.
    pub at_ms: u64,
    /// Boot clock, in milliseconds since the host started.
    pub up_ms: u64,
    pub host: HostId,
    #[serde(flatten)]
    pub request: RequestKey,
    #[serde(flatten)]
    pub event: Event,
}
