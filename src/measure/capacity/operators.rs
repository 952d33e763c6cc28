//! The operators' view of a host.

use super::{
    figure::{Figure, Load, Resource, RoleCost, Scale},
    fleet,
    gauge::cost_ns,
    target,
};
use crate::operator::{HostStatus, ServiceStatus, TenureStatus};

const SIZES: [usize; 5] = [50, 200, 600, 1_200, target::DAEMONS];

/// Seconds between two looks of an operator at every host, assumed.
const EVERY: f64 = 60.0;

pub fn measure(scale: Scale) -> RoleCost {
    let sizes = SIZES.map(|size| scale.size(size));
    let len = Figure::sweep("status", "bytes", "hosts", sizes, target::DAEMONS, |hosts| {
        encoded(&status(hosts)).len() as f64
    });
    let cost = Figure::sweep("status encoded", "ns", "hosts", sizes, target::DAEMONS, |hosts| {
        let status = status(hosts);
        cost_ns(|| drop(encoded(&status)))
    });
    let own = encoded(&own_status()).len() as f64;
    let share = 1.0 / target::DAEMONS as f64;
    let how = format!(
        "each host is asked once in {EVERY} s, assumed; one lists the hosts, the others answer for \
         themselves with {own:.0} bytes",
    );
    let loads = vec![
        Load::measured(Resource::ControlWire, (own + len.value * share) / EVERY, how.clone()),
        // Each host makes the list and leaves it out.
        Load::measured(Resource::ControlCpu, cost.value / EVERY / 1e9, how),
    ];
    RoleCost {
        figures: vec![len, cost],
        loads,
        mechanism: "any host answers for itself, the first one asked lists the others; the client merges",
        messages: "one answer a host and question",
        role: "operator's view",
        state: "none of its own",
    }
}

fn encoded(status: &HostStatus) -> Vec<u8> {
    serde_json::to_vec(status).unwrap_or_default()
}

fn status(hosts: usize) -> HostStatus {
    HostStatus { hosts: (0..hosts).map(fleet::host).collect(), ..own_status() }
}

/// Without the list: all services, and the right that the hosts of the largest zone share.
fn own_status() -> HostStatus {
    let service = |service: crate::manifest::Service| ServiceStatus {
        cap: service.shift_cap,
        in_flight: 7,
        service: service.name,
        shifted: 0.125,
        slots: 30,
    };
    let owners = (0..target::hosts_per_zone()).map(|index| fleet::host(index * target::ZONES).id);
    HostStatus {
        breaker_open: false,
        drains: Vec::new(),
        ejected: Vec::new(),
        hosts: Vec::new(),
        own: fleet::host(0),
        platform_age_ms: Some(1_000),
        sequence: Some(1),
        services: fleet::manifest(1, Vec::new()).services.into_iter().map(service).collect(),
        silent_zones: Vec::new(),
        tenure: Some(TenureStatus {
            fence: 1_000,
            owners: owners.collect(),
            provisional: Vec::new(),
            valid_ms: 3_000,
        }),
    }
}
