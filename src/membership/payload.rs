//! What the exchanges carry for other slices.

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    drain::DrainRecord, prelude::*, quarantine::QuarantineMark, tenure::ZoneTenure, view::Baseline,
};

/// What this host holds and wants known at every other host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Payload {
    pub baselines: Vec<BaselineEntry>,
    pub drains: Vec<DrainRecord>,
    pub marks: Vec<QuarantineMark>,
    /// Sequence of the manifest in force; 0 without one.
    pub sequence: Sequence,
    /// Hosts that share the zone's targets; told inside the zone only.
    pub tenure: ZoneTenure,
}

impl Payload {
    /// Hash of the drains; equal sets have equal hashes, since the drain slice keeps them sorted.
    pub fn drains_hash(&self) -> u64 {
        hash_of(&self.drains)
    }

    /// Hash of the marks, the time that they still stand aside: that one falls all the time.
    pub fn marks_hash(&self) -> u64 {
        let mut rows: Vec<_> = self
            .marks
            .iter()
            .map(|mark| format!("{:?}", (mark.fingerprint, mark.verdict)))
            .collect();
        rows.sort();
        hash_of(&rows)
    }

    /// Newest baseline, in milliseconds of wall-clock time; 0 without one.
    pub fn baselines_at(&self) -> u64 {
        self.baselines.iter().map(|entry| entry.at).max().unwrap_or_default()
    }
}

/// Hashes of the notes, kept since they change far less often than they are told.
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

/// What came along in exchanges since the last `take_received`; each owner merges its part.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReceivedPayload {
    pub baselines: Vec<BaselineEntry>,
    pub drains: Vec<DrainRecord>,
    /// Whether some of the marks came from another zone.
    pub marks_from_other_zone: bool,
    /// The highest manifest sequence above the own one, and where its holder answers RPC.
    pub manifest: Option<(Sequence, SocketAddr)>,
    pub marks: Vec<QuarantineMark>,
    /// A newer list of the hosts that share the zone's targets.
    pub tenure: Option<ZoneTenure>,
}

impl ReceivedPayload {
    /// Whether nothing came along.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// A baseline and when its home region set it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BaselineEntry {
    /// Wall-clock milliseconds of the host of the home region that set it.
    pub at: u64,
    pub baseline: Baseline,
}

/// Hash of a value's JSON; 0 for an empty list, so that hosts with nothing agree with older ones.
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
