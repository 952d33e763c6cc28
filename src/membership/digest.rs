//! What two hosts tell each other in one exchange.

use super::payload::BaselineEntry;
use crate::{
    drain::DrainRecord, prelude::*, quarantine::QuarantineMark, tenure::ZoneTenure, view::HostView,
};

/// What one host tells another. Each list holds only what the other may lack; fields that an older
/// host does not know are skipped by it, and those that it does not send are empty.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub baselines: Vec<BaselineEntry>,
    /// Newest baselines that the sender holds, in milliseconds of wall-clock time.
    #[serde(default)]
    pub baselines_at: u64,
    /// Heartbeats of the sender's zone in the order of the host names, under `roster`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub beats: Vec<u64>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub drains: Vec<DrainRecord>,
    /// Hash of the drains that the sender holds.
    #[serde(default)]
    pub drains_hash: u64,
    /// The sender itself.
    pub from: HostEntry,
    /// Hosts of the sender's zone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub hosts: Vec<HostEntry>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub marks: Vec<QuarantineMark>,
    /// Hash of the quarantine marks that the sender holds.
    #[serde(default)]
    pub marks_hash: u64,
    /// Hash of what the sender knows of its zone's hosts, heartbeats aside.
    pub roster: u64,
    /// Sequence of the manifest in force at the sender; 0 without one.
    #[serde(default)]
    pub sequence: Sequence,
    /// Hosts that share the targets of the sender's zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenure: Option<ZoneTenure>,
    /// Fence of that list, as the sender knows it.
    #[serde(default)]
    pub tenure_fence: u64,
    /// Zones whose hosts the sender lacks.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub wants: Vec<ZoneId>,
    /// Whether the sender lacks heartbeats or hosts of its own zone.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub wants_hosts: bool,
    /// Whole zones that the receiver lacks.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zone_hosts: Vec<ZoneEntry>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<ZoneSummary>,
}

/// Largest counter that is taken over. A faulty sender's counter near the end of its range would
/// wrap round here and fall: the zone's beat would stand still for all who know the higher one,
/// and they would hold the zone for silent. No counter that rises once a second gets this far.
const MAX_COUNTER: u64 = 1 << 62;

impl Digest {
    /// Whether every counter can still rise.
    pub(super) fn is_plausible(&self) -> bool {
        let entries = std::iter::once(&self.from).chain(&self.hosts);
        let zones = self.zones.iter().chain(self.zone_hosts.iter().map(|entry| &entry.summary));
        entries.flat_map(|entry| [entry.beat, entry.epoch]).all(|count| count < MAX_COUNTER)
            && self.beats.iter().all(|beat| *beat < MAX_COUNTER)
            && zones.into_iter().all(|zone| zone.beat < MAX_COUNTER)
    }
}

/// One host of the sender's zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// Milliseconds since the sender last saw `beat` rise.
    pub age_ms: u64,
    /// Rises by one at each tick of that host.
    pub beat: u64,
    /// Orders the incarnations of one host name: the later start has the higher one.
    pub epoch: u64,
    /// Rises when the host changes its own view.
    pub revision: u32,
    pub view: HostView,
}

/// One zone in short. The names are short since each exchange carries all zones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneSummary {
    /// Rises while any host of the zone lives.
    #[serde(rename = "b")]
    pub beat: u64,
    /// Hash of the zone's live hosts.
    #[serde(rename = "h")]
    pub hash: u64,
    #[serde(rename = "z")]
    pub zone: ZoneId,
}

/// One zone with its live hosts, as one of its own hosts saw them at `summary.beat`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneEntry {
    pub hosts: Vec<HostView>,
    pub summary: ZoneSummary,
}
