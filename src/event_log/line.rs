//! The format of a log line.

use super::Event;
use crate::prelude::*;

/// Identifies a request on a host.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RequestKey {
    /// The attempt ID that the caller chose; the same in the logs of all hosts.
    #[serde(rename = "request", skip_serializing_if = "Option::is_none")]
    pub attempt: Option<RequestId>,
    /// Sequence number of the request on this host, starting at 1.
    #[serde(rename = "own", skip_serializing_if = "Option::is_none")]
    pub own: Option<u64>,
}

/// A log line, as written and as parsed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Line {
    /// Wall clock, in milliseconds since the Unix epoch. It may jump; `up_ms` does not.
    pub at_ms: u64,
    /// Boot clock, in milliseconds since the host started.
    pub up_ms: u64,
    pub host: HostId,
    #[serde(flatten)]
    pub request: RequestKey,
    #[serde(flatten)]
    pub event: Event,
}
