//! Limits on the resources used by callers.

use crate::prelude::*;

/// Limits of a host, for all of its callers together unless stated otherwise.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct IngressLimits {
    /// Maximum memory for the bodies of requests being read or served, in bytes.
    pub body_bytes: u64,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum time without data from a caller, within a request or between two requests of a
    /// connection, in milliseconds.
    pub silence_ms: u64,
}

impl IngressLimits {
    /// Returns the idle timeout of a connection.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.silence_ms)
    }
}

impl Default for IngressLimits {
    fn default() -> Self {
        Self { body_bytes: 32 << 20, connections: 4096, silence_ms: 30_000 }
    }
}
