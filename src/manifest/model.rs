//! The manifest as data, one to one with its YAML.

use ipnet::IpNet;

use super::ClientBlocks;
use crate::prelude::*;

/// A part of a whole, from 0 to 1.
pub type Share = f64;

/// What a member weighs first when a target is chosen.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Weighing {
    /// Keep spare slots in every region.
    Headroom,
    /// Answer fast.
    Latency,
}

/// How requests to a service behave.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Must run at most once; answers are held whole.
    Booking,
    /// Large repeatable read; answers are streamed.
    File,
    /// Small repeatable read.
    Read,
}

impl ServiceKind {
    /// Whether a request may be sent to a second target after the first byte.
    pub fn is_idempotent(self) -> bool {
        self != ServiceKind::Booking
    }
}

/// Declared intent of one member.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Where callers live: longest prefix wins.
    #[serde(default)]
    pub client_blocks: ClientBlocks,
    /// What is being retired.
    #[serde(default, with = "serde_norway::with::singleton_map_recursive")]
    pub drains: Vec<DrainScope>,
    pub member: MemberId,
    pub regions: Vec<Region>,
    /// Rises with every manifest of the pipeline.
    pub sequence: Sequence,
    pub services: Vec<Service>,
    pub weighing: Weighing,
}

/// One region and its availability zones.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    pub name: RegionId,
    /// Share of slots that callers from other regions never get.
    pub reserve: Share,
    pub zones: Vec<ZoneId>,
}

/// One service and its targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Most connections to one target.
    pub connections: u32,
    pub kind: ServiceKind,
    /// Largest request body, in bytes.
    pub max_body: u64,
    pub name: ServiceId,
    /// Most of a home region's requests that may be served by other regions.
    pub shift_cap: Share,
    pub targets: Vec<Target>,
    /// Longest time for one attempt at a target, in milliseconds.
    pub timeout_ms: u64,
}

/// One back end.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    pub address: SocketAddr,
    pub name: TargetId,
    /// Requests that it runs at the same time.
    pub slots: u32,
    pub zone: ZoneId,
}

/// A block of callers and the region they belong to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClientBlock {
    pub block: IpNet,
    pub home: RegionId,
}

/// What a drain takes out of use.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields, rename_all = "lowercase")]
pub enum DrainScope {
    Host(HostId),
    Region(RegionId),
    Target(TargetId),
    Zone(ZoneId),
}

impl DrainScope {
    /// Whether it takes the target out of use. A host's drain takes none: its targets get another
    /// owner.
    pub fn covers(&self, target: &Target, manifest: &Manifest) -> bool {
        match self {
            DrainScope::Host(_) => false,
            DrainScope::Region(name) => {
                manifest.region_of(&target.zone).is_some_and(|region| region.name == *name)
            }
            DrainScope::Target(name) => *name == target.name,
            DrainScope::Zone(name) => *name == target.zone,
        }
    }
}

impl Manifest {
    /// The region that a zone is part of.
    pub fn region_of(&self, zone: &str) -> Option<&Region> {
        self.regions.iter().find(|region| region.zones.iter().any(|name| &**name == zone))
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }
}
