//! What the failures of the target's ordinary year cost.

use serde::Serialize;

use super::{
    figure::{Basis, Scale},
    gauge::packed_len,
    target,
};
use crate::{
    membership::{MembershipLimits, SimulatedFleet},
    prelude::*,
    tenure,
};

/// One kind of failure.
#[derive(Clone, Debug, Serialize)]
pub struct FailureCost {
    pub basis: Basis,
    pub cost: String,
    pub failure: &'static str,
    pub often: &'static str,
}

/// Hosts of each zone of the measured fleet.
const PER_ZONE: usize = 12;
const SETTLE: Duration = Duration::from_secs(40);
const PATIENCE: Duration = Duration::from_secs(120);
/// Time whose messages are compared with those of the calm.
const AFTER: Duration = Duration::from_secs(20);

/// Measures them on a fleet of 24 zones of 12 hosts.
pub fn costs(scale: Scale) -> Vec<FailureCost> {
    let (zones, per_zone) = match scale {
        Scale::Full => (target::ZONES, PER_ZONE),
        Scale::Quick => (4, 3),
    };
    let hosts = zones * per_zone;
    let zone: Vec<usize> = (0..hosts).filter(|at| at % zones == 0).collect();
    let rack: Vec<usize> = zone.iter().copied().take(per_zone.div_ceil(2)).collect();
    let moved = 100.0 / target::DAEMONS as f64;
    let restarts = target::RESTARTS_PER_DAY / target::SECONDS_PER_DAY;
    let writes = 2.0 * (target::RESTARTS_PER_DAY + target::HOST_FAILURES_PER_DAY);
    let lost = |failure, often, gone: &[usize], more: String| FailureCost {
        basis: Basis::Measured,
        cost: format!("{}; {more}", stop(zones, per_zone, gone)),
        failure,
        often,
    };
    vec![
        lost(
            "host fails",
            "5 a day",
            &zone[..1],
            format!(
                "its callers, {moved:.2} % of all, go to the next host of their list; its targets \
                 are held provisionally for {:?}; its ledger is gone: bookings in flight are \
                 unknown",
                tenure::LEASE,
            ),
        ),
        FailureCost {
            basis: Basis::WorkedOut,
            cost: format!(
                "{restarts:.4} a second; sealed ledgers go to a successor, no booking unknown; \
                 {writes:.0} writes a day to the platform together with failures",
            ),
            failure: "host is restarted or replaced",
            often: "130 a day",
        },
        lost(
            "rack or switch goes (half a zone)",
            "every month or two",
            &rack,
            "the other half of the zone takes its targets over".into(),
        ),
        lost(
            "availability zone goes",
            "every other month",
            &zone,
            format!(
                "{:.1} % of all targets are gone; the region's other zones serve first, other \
                 regions under the caps",
                100.0 / target::ZONES as f64,
            ),
        ),
        FailureCost {
            basis: Basis::Measured,
            cost: cut(zones, per_zone),
            failure: "two regions lose each other for a minute",
            often: "several times a year",
        },
    ]
}

/// Hosts stop without a word; how long until all others agree, and what it adds to the messages.
fn stop(zones: usize, per_zone: usize, gone: &[usize]) -> String {
    let mut fleet = settled(zones, per_zone);
    let calm = bytes_in(&mut fleet, AFTER);
    for &at in gone {
        fleet.nodes[at].paused = true;
    }
    let left = fleet.nodes.len() - gone.len();
    let start = fleet.now;
    let after = bytes_in(&mut fleet, AFTER);
    let agreed = if fleet.agrees_on_host_count(left) {
        // It came about within the counted time: run it again to see when.
        let mut again = settled(zones, per_zone);
        bytes_in(&mut again, AFTER);
        gone.iter().for_each(|&at| again.nodes[at].paused = true);
        again.run_until(PATIENCE, |fleet| fleet.agrees_on_host_count(left))
    } else {
        let more = fleet.run_until(PATIENCE, |fleet| fleet.agrees_on_host_count(left));
        more.map(|_| fleet.now - start)
    };
    let per_host = |bytes: f64, hosts: usize| bytes / AFTER.as_secs_f64() / hosts as f64;
    let extra = per_host(after, left) - per_host(calm, left + gone.len());
    format!("{}; messages {extra:+.0} bytes/s a host for {AFTER:?}", within(agreed))
}

/// Two zones' regions can't reach each other for a minute.
fn cut(zones: usize, per_zone: usize) -> String {
    let mut fleet = settled(zones, per_zone);
    let all = fleet.nodes.len();
    // Zones 0 and 1 are one region, 2 and 3 another.
    for (a, b) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
        fleet.partition(a, b);
        fleet.partition(b, a);
    }
    fleet.run(Duration::from_secs(60));
    let together = fleet.agrees_on_host_count(all);
    fleet.heal();
    let healed = fleet.run_until(PATIENCE, |fleet| fleet.agrees_on_host_count(all));
    let held = if together { "all hosts still know all" } else { "some hosts miss others" };
    format!(
        "{held} at its end, by way of other regions; after it {}; each home goes on under half \
         its cap",
        within(healed),
    )
}

fn settled(zones: usize, per_zone: usize) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(zones, per_zone, 7);
    fleet.message_size = Some(packed_len);
    fleet.run(SETTLE + MembershipLimits::default().slack(per_zone));
    fleet
}

fn bytes_in(fleet: &mut SimulatedFleet, time: Duration) -> f64 {
    let sum =
        |fleet: &SimulatedFleet| fleet.nodes.iter().map(|node| node.bytes as f64).sum::<f64>();
    let before = sum(fleet);
    fleet.run(time);
    sum(fleet) - before
}

fn within(time: Option<Duration>) -> String {
    match time {
        Some(time) => format!("all agree within {:.1} s", time.as_secs_f64()),
        None => format!("not all agree within {PATIENCE:?}"),
    }
}
