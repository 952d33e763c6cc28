//! Tests of the gossip between hosts, over an in-memory network.

mod convergence;
mod large_zones;
mod peers;
mod reports;

use super::{Heartbeat, HostInfo, Load, Purpose};
use crate::{entry::Stamp, prelude::*};

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn info(host: &str, start_ms: u64, sequence: u64) -> HostInfo {
    HostInfo {
        capacity: 10,
        callers: addr(1),
        control: addr(2),
        gossip: addr(3),
        host: host.into(),
        leaving: false,
        reaches_store: true,
        start_ms,
        reaches_targets: true,
        relay_port: None,
        strained: false,
        sequence,
    }
}

fn heartbeat(host: &str, start_ms: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        contacts: Vec::new(),
        declaration_check: None,
        load: Load::default(),
        info: info(host, start_ms, sequence),
        purpose: Purpose::State,
        stamp: Stamp::default(),
        zone: "north-a".into(),
    }
}
