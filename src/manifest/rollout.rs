//! Progress of a manifest's rollout, by zone.

use std::fmt;

use super::Manifest;
use crate::prelude::*;

/// At which hosts a manifest is in force, by zone.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RolloutStatus {
    pub sequence: Sequence,
    pub zones: Vec<ZoneRollout>,
}

/// At which hosts of one zone a manifest is in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ZoneRollout {
    /// Hosts with an older manifest.
    pub behind: Vec<HostId>,
    /// Hosts with this manifest or a later one.
    pub done: Vec<HostId>,
    /// Hosts that did not respond or have no manifest.
    pub silent: Vec<HostId>,
    pub zone: ZoneId,
}

impl ZoneRollout {
    /// Whether the zone has hosts and the manifest is in force at all of them.
    pub fn is_complete(&self) -> bool {
        !self.done.is_empty() && self.behind.is_empty() && self.silent.is_empty()
    }

    /// Whether no host responded: the zone is cut off or has no live host.
    pub fn is_unreachable(&self) -> bool {
        self.done.is_empty() && self.behind.is_empty()
    }
}

impl RolloutStatus {
    /// A status in which no host has responded yet.
    pub fn new(manifest: &Manifest) -> Self {
        let zones = manifest.regions.iter().flat_map(|region| &region.zones);
        let zones = zones.map(|zone| ZoneRollout { zone: zone.clone(), ..Default::default() });
        Self { sequence: manifest.sequence, zones: zones.collect() }
    }

    /// Records the sequence in force at a host; `None` if it did not respond or has no manifest.
    pub fn record(&mut self, zone: &ZoneId, host: &HostId, sequence: Option<Sequence>) {
        let expected = self.sequence;
        let Some(zone) = self.zones.iter_mut().find(|entry| entry.zone == *zone) else { return };
        let list = match sequence {
            None => &mut zone.silent,
            Some(sequence) if sequence < expected => &mut zone.behind,
            Some(_) => &mut zone.done,
        };
        list.push(host.clone());
    }

    /// Whether the manifest is in force in every zone.
    pub fn is_complete(&self) -> bool {
        self.zones.iter().all(ZoneRollout::is_complete)
    }
}

impl fmt::Display for RolloutStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, zone) in self.zones.iter().enumerate() {
            let state = match zone {
                zone if zone.is_complete() => "in force",
                zone if zone.is_unreachable() => "cut off",
                _ => "behind",
            };
            let (done, all) =
                (zone.done.len(), zone.done.len() + zone.behind.len() + zone.silent.len());
            let end = if index + 1 == self.zones.len() { "" } else { "\n" };
            write!(f, "  zone {}: {state} ({done} of {all} hosts){end}", zone.zone)?;
        }
        Ok(())
    }
}
