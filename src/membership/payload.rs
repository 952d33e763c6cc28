//! State of other modules that exchanges carry.

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    drain::DrainRecord, prelude::*, quarantine::QuarantineMark, tenure::ZoneTenure, view::Baseline,
};

/// State of this host that exchanges spread to every other host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Payload {
    pub baselines: Vec<BaselineEntry>,
    pub drains: Vec<DrainRecord>,
    pub marks: Vec<QuarantineMark>,
    /// Sequence number of the manifest in force; 0 if there is none.
    pub sequence: Sequence,
    /// Hosts that share the zone's targets; spread within the zone only.
    pub tenure: ZoneTenure,
}

impl Payload {
    /// Hashes the drains. Equal sets have equal hashes, since `DrainSet` keeps them sorted.
    pub fn drains_hash(&self) -> u64 {
        hash_of(&self.drains)
    }

    /// Hashes the marks without their remaining time, which decreases continuously.
    pub fn marks_hash(&self) -> u64 {
        let mut rows: Vec<_> = self
            .marks
            .iter()
            .map(|mark| format!("{:?}", (mark.fingerprint, mark.verdict)))
            .collect();
        rows.sort();
        hash_of(&rows)
    }

    /// Returns the time of the newest baseline in milliseconds of wall-clock time; 0 if there is
    /// none.
    pub fn baselines_at(&self) -> u64 {
        self.baselines.iter().map(|entry| entry.at).max().unwrap_or_default()
    }
}

/// Hashes of the payload, cached since it changes far less often than it is sent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PayloadHashes {
    pub drains: u64,
    pub marks: u64,
}

impl PayloadHashes {
    pub fn of(payload: &Payload) -> Self {
        Self { drains: payload.drains_hash(), marks: payload.marks_hash() }
    }
}

/// Payload received in exchanges since the last `take_received`; each module merges its own part.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReceivedPayload {
    pub baselines: Vec<BaselineEntry>,
    pub drains: Vec<DrainRecord>,
    /// Whether any of the marks came from another zone.
    pub marks_from_other_zone: bool,
    /// The highest manifest sequence above the own one, and the RPC address of the host that has
    /// it.
    pub manifest: Option<(Sequence, SocketAddr)>,
    pub marks: Vec<QuarantineMark>,
    /// A list of the hosts that share the zone's targets, if it is newer than the own one.
    pub tenure: Option<ZoneTenure>,
}

impl ReceivedPayload {
    /// Whether nothing was received.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// A baseline and the time at which its home region set it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BaselineEntry {
    /// Wall-clock milliseconds at the host of the home region that set it.
    pub at: u64,
    pub baseline: Baseline,
}

/// Hashes the JSON of the items; 0 for an empty list, which is also what a digest from an older
/// release without the field decodes to.
pub(super) fn hash_of<T: Serialize>(items: &[T]) -> u64 {
    if items.is_empty() {
        return 0;
    }
    let mut buf = Vec::new();
    for item in items {
        if serde_json::to_writer(&mut buf, item).is_err() {
            return u64::MAX;
        }
    }
    xxh3_64(&buf)
}
