//! Tests of the picture of the fleet, over a network in memory.

mod network;
mod peers;
mod reports;
mod spread;

use super::{Heartbeat, HostNote, Load};
use crate::{entry::Stamp, prelude::*};

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn note(host: &str, start: u64, turn: u64) -> HostNote {
    HostNote {
        callers: addr(1),
        control: addr(2),
        gossip: addr(3),
        host: host.into(),
        leaving: false,
        reaches_store: true,
        start,
        strained: false,
        turn,
    }
}

fn heartbeat(host: &str, start: u64, turn: u64) -> Heartbeat {
    Heartbeat {
        contacts: Vec::new(),
        declared_check: None,
        load: Load::default(),
        note: note(host, start, turn),
        stamp: Stamp::default(),
        zone: "north-a".into(),
    }
}
