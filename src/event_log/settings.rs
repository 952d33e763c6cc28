//! How much may be logged.

use crate::prelude::*;

/// Bounds of an entry host's log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EventLogSettings {
    /// Most lines of one kind and cause in a second; more are counted. 100 are above the busiest
    /// second that was seen of a host of a fifth of a core, 70 requests.
    pub lines_per_second: u32,
    /// Most bytes of lines that wait to be written: three seconds of the busiest log that was seen,
    /// 78 KB a second.
    pub queue_bytes: usize,
}

impl Default for EventLogSettings {
    fn default() -> Self {
        Self { lines_per_second: 100, queue_bytes: 256 * 1024 }
    }
}
