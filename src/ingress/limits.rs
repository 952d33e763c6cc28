//! Bounds of what callers may take up.

use crate::prelude::*;

/// Bounds of one host, for all of its callers together but where it says otherwise.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct IngressLimits {
    /// Memory for request bodies that are being read or served, in bytes.
    pub body_bytes: u64,
    /// Open connections.
    pub connections: usize,
    /// Longest silence of one caller in the middle of a request, and of a connection between two,
    /// in milliseconds.
    pub silence_ms: u64,
}

impl IngressLimits {
    /// Longest silence of one caller.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.silence_ms)
    }
}

impl Default for IngressLimits {
    fn default() -> Self {
        Self { body_bytes: 32 << 20, connections: 4096, silence_ms: 30_000 }
    }
}
