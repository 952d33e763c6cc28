//! Limits of the client for targets.

use crate::prelude::*;

/// Limits that apply to each target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ForwardLimits {
    /// Maximum time to establish a connection.
    pub connect_timeout: Duration,
    /// Maximum number of idle connections for each address.
    pub idle_connections: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Maximum time between two chunks of a streamed body.
    pub stream_silence: Duration,
    /// Maximum size of a buffered response body, in bytes.
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
