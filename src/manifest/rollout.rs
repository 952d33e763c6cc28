//! Where a manifest is in force, by zone.

use std::fmt;

use super::Manifest;
use crate::prelude::*;

/// What the hosts of each zone said.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RolloutStatus {
    pub sequence: Sequence,
    pub zones: Vec<ZoneRollout>,
}

/// What the hosts of one zone said.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ZoneRollout {
    /// Hosts with an older manifest, or none.
    pub behind: Vec<HostId>,
    /// Hosts that have it.
    pub done: Vec<HostId>,
    /// Hosts that did not answer.
    pub silent: Vec<HostId>,
    pub zone: ZoneId,
}

impl ZoneRollout {
    /// Whether every known host has it, and there is at least one.
    pub fn is_complete(&self) -> bool {
        !self.done.is_empty() && self.behind.is_empty() && self.silent.is_empty()
    }

    /// Whether no host answers: cut off, or without a live host.
    pub fn is_unreachable(&self) -> bool {
        self.done.is_empty() && self.behind.is_empty()
    }
}

impl RolloutStatus {
    /// No host was asked yet.
    pub fn new(manifest: &Manifest) -> Self {
        let zones = manifest.regions.iter().flat_map(|region| &region.zones);
        let zones = zones.map(|zone| ZoneRollout { zone: zone.clone(), ..Default::default() });
        Self { sequence: manifest.sequence, zones: zones.collect() }
    }

    /// Adds what a host said; `None` if it did not answer or has no manifest.
    pub fn add(&mut self, zone: &ZoneId, host: &HostId, sequence: Option<Sequence>) {
        let wanted = self.sequence;
        let Some(zone) = self.zones.iter_mut().find(|known| known.zone == *zone) else { return };
        let list = match sequence {
            None => &mut zone.silent,
            Some(sequence) if sequence < wanted => &mut zone.behind,
            Some(_) => &mut zone.done,
        };
        list.push(host.clone());
    }

    /// Whether it is in force in every zone.
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
