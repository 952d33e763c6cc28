//! The size and the limits that the system has to reach, as its users gave them.

use std::time::Duration;

pub const BLOCKS: usize = 770_000;
pub const CHANGES_PER_DAY: f64 = 2_900.0;
pub const DAEMONS: usize = 1_700;
pub const HOST_FAILURES_PER_DAY: f64 = 5.0;
pub const IN_FORCE: Duration = Duration::from_secs(19);
pub const LOOKUPS_PER_SECOND: f64 = 760_000.0;
pub const REGIONS: usize = 10;
pub const RESTARTS_PER_DAY: f64 = 130.0;
pub const SITES: usize = 260;
pub const ZONES: usize = 24;

/// Share of a core that control may take on each daemon.
pub const CONTROL_CPU: f64 = 0.01;
/// Memory that control may take on each daemon, in bytes.
pub const CONTROL_MEMORY: f64 = 256e6;
/// Bytes a second that control may send and receive on each daemon.
pub const CONTROL_WIRE: f64 = 22e3;
/// Reads a second that the platform takes from everybody.
pub const PLATFORM_READS: f64 = 2_000.0;
/// Writes a second that the platform takes from everybody: the least of "several hundred".
pub const PLATFORM_WRITES: f64 = 300.0;

/// Services of a member, as today. A site is one target of each.
pub const SERVICES: usize = 3;

pub const SECONDS_PER_DAY: f64 = 86_400.0;

/// Changes of configuration a second.
pub fn changes_per_second() -> f64 {
    CHANGES_PER_DAY / SECONDS_PER_DAY
}

/// Hosts of the largest zone.
pub fn hosts_per_zone() -> usize {
    DAEMONS.div_ceil(ZONES)
}

/// Look-ups a second that one daemon answers.
pub fn lookups_per_daemon() -> f64 {
    LOOKUPS_PER_SECOND / DAEMONS as f64
}
