//! Unit tests of entry hosts, without clocks and sockets, and helpers that they share.

mod access;
mod body_memory;
mod capacity_gauges;
mod connector;
mod crash_suspects;
mod demand;
mod head_bound;
mod hosts;
mod joined_heads;
mod known_state;
mod learned_state;
mod merge;
mod parts;
mod peer_client;
mod pipelining;
mod propagation;
mod settings_file;
mod slot_owner;
mod strain;
mod sync;
mod target_reach;
mod target_statements;
mod targets;

use super::{Bounds, KnownTarget, TargetEntry, target::tag};
use crate::prelude::*;

/// A ready target with three slots.
fn target_entry(id: &str, zone: &str) -> TargetEntry {
    TargetEntry {
        addr: "127.0.0.1:1".parse().expect("an address"),
        cold_for: Duration::ZERO,
        id: id.into(),
        ready: true,
        service: "desk".into(),
        slots: 3,
        started: 1,
        zone: zone.into(),
    }
}

/// A ready target with three slots, in zone `{region}-a`, as a host knows it.
fn known_target(id: &str, region: &str) -> Arc<KnownTarget> {
    let entry = target_entry(id, &format!("{region}-a"));
    let tag = tag(&entry);
    Arc::new(KnownTarget { cold_until: Moment::ZERO, entry, region: region.into(), tag })
}

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

fn bounds() -> Bounds {
    Bounds {
        grace: secs(6.0),
        lookup_ttl: secs(5.0),
        max_shift: 0.15,
        retry_ratio: 0.2,
        retry_slack: 60.0,
        revoke: None,
        strict_revocation: None,
    }
}
