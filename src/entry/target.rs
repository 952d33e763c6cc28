//! Targets as the platform's store lists them.

use crate::prelude::*;

/// What the store says of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetEntry {
    pub addr: SocketAddr,
    /// Time that it stays cold, from when the entry was written.
    pub cold_for: Duration,
    pub id: TargetId,
    /// It takes new work.
    pub ready: bool,
    pub service: ServiceId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// When it started, by its own clock; differs between two starts under one id.
    pub started: u64,
    pub zone: ZoneId,
}

/// A target that may be used, with what this host knows of it.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownTarget {
    /// It stays cold until then.
    pub cold_until: Moment,
    pub entry: TargetEntry,
    pub region: RegionId,
    /// Hash of id and start; the same on every host.
    pub tag: u32,
}

impl KnownTarget {
    /// Whether it is still cold.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }
}

/// The tag of a target's start: short, so that hosts can tell each other much in one datagram.
pub fn tag(entry: &TargetEntry) -> u32 {
    let seed = entry.started;
    xxhash_rust::xxh3::xxh3_64_with_seed(entry.id.as_bytes(), seed) as u32
}
