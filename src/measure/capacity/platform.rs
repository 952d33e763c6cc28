//! Calls to the platform from all daemons together.

use super::{
    figure::{Load, Resource, RoleCost, Scale},
    target,
};
use crate::tenure;

/// Hosts of a zone that watch the manifest.
const RELAYS: f64 = 2.0;
/// Seconds after which a waiting watch is asked again.
const WATCH: f64 = 20.0;
/// Seconds between two reads of a host that watches nothing.
const READ_EVERY: f64 = 10.0;
/// Objects written at each change: the head, one part and one drain or lease object.
const WRITES_PER_CHANGE: f64 = 3.0;

pub fn measure(_scale: Scale) -> RoleCost {
    let zones = target::ZONES as f64;
    let daemons = target::DAEMONS as f64;
    let watches = zones * RELAYS;
    let moves = 2.0 * (target::RESTARTS_PER_DAY + target::HOST_FAILURES_PER_DAY);
    let lapsing = target::hosts_per_zone() as f64 / tenure::UNCONFIRMED_READ_INTERVAL.as_secs_f64();
    let loads = vec![
        Load::worked_out(
            Resource::PlatformReads,
            watches + watches / WATCH,
            format!("{watches} waiting watches, each asked again after {WATCH} s"),
        ),
        Load::worked_out(
            Resource::PlatformReads,
            (daemons - watches) / READ_EVERY,
            format!("hosts that watch nothing read the manifest's head every {READ_EVERY} s"),
        ),
        Load::worked_out(
            Resource::PlatformReads,
            watches * 2.0 * target::changes_per_second(),
            "relays fetch the head and one part at each change",
        ),
        Load::worked_out(
            Resource::PlatformReads,
            lapsing,
            "a zone that is cut off from its peers reads its list every second",
        ),
        Load::worked_out(
            Resource::PlatformWrites,
            WRITES_PER_CHANGE * target::changes_per_second() + moves / target::SECONDS_PER_DAY,
            "changes, and hosts that come and go",
        ),
    ];
    RoleCost {
        figures: Vec::new(),
        loads,
        mechanism: "budgets a host and kind of call; conditional updates; watches by relays only",
        messages: "reads, writes and waiting watches",
        role: "platform",
        state: "manifests and parts, hosts of each zone, drains",
    }
}
