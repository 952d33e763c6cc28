//! Limits of the event log.

use crate::prelude::*;

/// Limits of an entry host's event log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EventLogSettings {
    /// Maximum number of lines per second of one kind and rate key; further lines are only counted.
    /// The default of 100 exceeds the peak of 70 requests per second at a host with a fifth of a
    /// core.
    pub lines_per_second: u32,
    /// Maximum size of the queued lines in bytes. The default holds three seconds of a log with a
    /// peak rate of 78 KB per second.
    pub queue_bytes: usize,
}

impl Default for EventLogSettings {
    fn default() -> Self {
        Self { lines_per_second: 100, queue_bytes: 256 * 1024 }
    }
}
