//! The owner of each target: computed anew when the hosts change.

use super::{
    figure::{Figure, Load, Resource, RoleCost, Scale},
    gauge::cost_ns,
    requests::Path,
    target,
};
use crate::{membership::MembershipLimits, tenure};

const HOST_SIZES: [usize; 5] = [48, 192, 600, 1_200, target::DAEMONS];
const SITE_SIZES: [usize; 5] = [24, 48, 96, 192, target::SITES];

pub fn measure(scale: Scale) -> RoleCost {
    let hosts = HOST_SIZES.map(|size| scale.size(size).max(target::ZONES));
    let sites = SITE_SIZES.map(|size| scale.size(size).max(target::ZONES));
    let most_hosts = scale.size(target::DAEMONS).max(target::ZONES);
    let most_sites = scale.size(target::SITES).max(target::ZONES);
    let view = "view taken over";
    let by_hosts = Figure::sweep(view, "ns", "hosts", hosts, target::DAEMONS, |size| {
        let mut path = Path::new(size, most_sites);
        cost_ns(|| path.show())
    });
    let by_sites = Figure::sweep(view, "ns", "sites", sites, target::SITES, |size| {
        let mut path = Path::new(most_hosts, size);
        cost_ns(|| path.show())
    });
    let tick = MembershipLimits::default().tick.as_secs_f64();
    let reads = target::DAEMONS as f64 / tenure::CONFIRMED_READ_INTERVAL.as_secs_f64();
    let loads = vec![
        Load::measured(
            Resource::ControlCpu,
            by_hosts.value / tick / 1e9,
            "a view is shown at each tick at most",
        ),
        Load::worked_out(
            Resource::PlatformReads,
            reads,
            format!(
                "each daemon reads its zone's list every {:?} while its peers answer",
                tenure::CONFIRMED_READ_INTERVAL,
            ),
        ),
    ];
    RoleCost {
        figures: vec![by_hosts, by_sites],
        loads,
        mechanism: "rendezvous hash over the zone's hosts; a right of 4 s by the own clock, \
                    confirmed by peers",
        messages: "the zone's list rides on the exchange; read now and then, written on change",
        role: "owner of targets",
        state: "hosts of the zone, the right, targets of the zone",
    }
}
