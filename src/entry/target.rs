//! Targets that are registered in the platform's store.

use crate::prelude::*;

/// A target's entry in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetEntry {
    pub addr: SocketAddr,
    /// Time for which the target stays cold after the entry was written.
    pub cold_for: Duration,
    pub id: TargetId,
    /// Whether the target accepts new requests.
    pub ready: bool,
    pub service: ServiceId,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Start time by the target's own clock; tells apart two starts under one id.
    pub started: u64,
    pub zone: ZoneId,
}

/// A target's entry with properties that this host derives from it.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownTarget {
    /// When the target stops being cold.
    pub cold_until: Moment,
    pub entry: TargetEntry,
    pub region: RegionId,
    /// Hash of id and start time; the same on every host.
    pub tag: u32,
}

impl KnownTarget {
    /// Whether the target is still cold.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }
}

/// Computes the tag of one start of a target. Tags are short, so that one datagram holds many.
pub fn tag(entry: &TargetEntry) -> u32 {
    let seed = entry.started;
    xxhash_rust::xxh3::xxh3_64_with_seed(entry.id.as_bytes(), seed) as u32
}
