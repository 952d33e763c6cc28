//! Bounds of the client to targets.

use crate::prelude::*;

/// How long and how much, for every target alike.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ForwardLimits {
    /// Longest time for a connection to be made.
    pub connect_timeout: Duration,
    /// Unused connections kept to one address.
    pub idle_connections: usize,
    /// How long an unused connection is kept.
    pub idle_timeout: Duration,
    /// Longest silence in a streamed body.
    pub stream_silence: Duration,
    /// Largest answer that is held whole, in bytes.
    pub whole_bytes: usize,
}

impl Default for ForwardLimits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            idle_connections: 8,
            idle_timeout: Duration::from_secs(20),
            stream_silence: Duration::from_secs(10),
            whole_bytes: 1 << 20,
        }
    }
}
