//! Messages of an exchange between two hosts.

use super::payload::BaselineEntry;
use crate::{
    drain::DrainRecord, prelude::*, quarantine::QuarantineMark, tenure::ZoneTenure, view::HostView,
};

/// Request or response of an exchange. Each list holds only what the receiver may lack. Older
/// releases ignore fields that they do not know, and fields that they do not send are read as
/// empty.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub baselines: Vec<BaselineEntry>,
    /// Time of the newest baseline that the sender holds, in milliseconds of wall-clock time.
    #[serde(default)]
    pub baselines_at: u64,
    /// Heartbeat counters of the hosts of the sender's zone, sorted by host name. Valid only for a
    /// receiver whose roster has the same hash.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub beats: Vec<u64>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub drains: Vec<DrainRecord>,
    /// Hash of the sender's drains.
    #[serde(default)]
    pub drains_hash: u64,
    /// The sender.
    pub from: HostEntry,
    /// Hosts of the sender's zone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub hosts: Vec<HostEntry>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub marks: Vec<QuarantineMark>,
    /// Hash of the sender's quarantine marks.
    #[serde(default)]
    pub marks_hash: u64,
    /// Hash of the hosts that the sender knows in its zone, without heartbeats.
    pub roster: u64,
    /// Sequence number of the manifest in force at the sender; 0 if there is none.
    #[serde(default)]
    pub sequence: Sequence,
    /// Hosts that share the targets of the sender's zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenure: Option<ZoneTenure>,
    /// Fence of the newest such list that the sender knows.
    #[serde(default)]
    pub tenure_fence: u64,
    /// Zones whose hosts the sender requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub wants: Vec<ZoneId>,
    /// Whether the sender requests the hosts of its own zone.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub wants_hosts: bool,
    /// Zones with their hosts, for a receiver that lacks them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zone_hosts: Vec<ZoneEntry>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<ZoneSummary>,
}

/// Counters from this value on are rejected. A faulty sender's counter near the end of its range
/// would wrap around here: hosts that know the higher value would see the zone's counter stand
/// still, and suspect the zone. A counter that increases once a second never gets this far.
const MAX_COUNTER: u64 = 1 << 62;

impl Digest {
    /// Whether all heartbeat counters, zone counters and epochs are below `MAX_COUNTER`.
    pub(super) fn is_plausible(&self) -> bool {
        let entries = std::iter::once(&self.from).chain(&self.hosts);
        let zones = self.zones.iter().chain(self.zone_hosts.iter().map(|entry| &entry.summary));
        entries.flat_map(|entry| [entry.beat, entry.epoch]).all(|count| count < MAX_COUNTER)
            && self.beats.iter().all(|beat| *beat < MAX_COUNTER)
            && zones.into_iter().all(|zone| zone.beat < MAX_COUNTER)
    }
}

/// State of one host of the sender's zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// Milliseconds since the sender last saw `beat` increase.
    pub age_ms: u64,
    /// Heartbeat counter; increases by one at each tick of that host.
    pub beat: u64,
    /// Orders the incarnations of one host name: the process that started later has the higher
    /// epoch.
    pub epoch: u64,
    /// Increases when the host changes its own view.
    pub revision: u32,
    pub view: HostView,
}

/// Summary of a zone. Its fields have short names on the wire, since each request carries all
/// zones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneSummary {
    /// Increases while any host of the zone is live.
    #[serde(rename = "b")]
    pub beat: u64,
    /// Hash of the zone's live hosts.
    #[serde(rename = "h")]
    pub hash: u64,
    #[serde(rename = "z")]
    pub zone: ZoneId,
}

/// A zone with its live hosts, as one of them saw them at `summary.beat`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneEntry {
    pub hosts: Vec<HostView>,
    pub summary: ZoneSummary,
}
