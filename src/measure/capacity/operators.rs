//! The operators' view of a host.

use super::{
    figure::{Figure, Load, Resource, RoleCost, Scale},
    fleet,
    gauge::cost_ns,
    target,
};
use crate::operator::HostStatus;

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
    let how = format!("each host is asked once in {EVERY} s, assumed");
    let loads = vec![
        Load::measured(Resource::ControlWire, len.value / EVERY, how.clone()),
        Load::measured(Resource::ControlCpu, cost.value / EVERY / 1e9, how),
    ];
    RoleCost {
        figures: vec![len, cost],
        loads,
        mechanism: "any host answers for itself; the client asks many and merges",
        messages: "one answer a host and question",
        role: "operator's view",
        state: "none of its own",
    }
}

fn encoded(status: &HostStatus) -> Vec<u8> {
    serde_json::to_vec(status).unwrap_or_default()
}

fn status(hosts: usize) -> HostStatus {
    HostStatus {
        breaker_open: false,
        drains: Vec::new(),
        ejected: Vec::new(),
        hosts: (0..hosts).map(fleet::host).collect(),
        own: fleet::host(0),
        platform_age_ms: Some(1_000),
        sequence: Some(1),
        services: Vec::new(),
        silent_zones: Vec::new(),
        tenure: None,
    }
}
