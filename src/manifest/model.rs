//! Data model of the manifest, with the structure of its YAML.

use ipnet::IpNet;

use super::ClientBlocks;
use crate::prelude::*;

/// A fraction of a whole, from 0 to 1.
pub type Share = f64;

/// What target selection optimizes for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Weighing {
    /// Spare slots in every region.
    Headroom,
    /// Short response times.
    Latency,
}

/// How requests to a service behave.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Must run at most once; responses are buffered completely.
    Booking,
    /// Large idempotent read; responses are streamed.
    File,
    /// Small idempotent read.
    Read,
}

impl ServiceKind {
    /// Whether a request may be sent to a second target although it may already have run.
    pub fn is_idempotent(self) -> bool {
        self != ServiceKind::Booking
    }
}

/// Declarative configuration of one member.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Home regions of clients, by address; the longest prefix wins.
    #[serde(default)]
    pub client_blocks: ClientBlocks,
    /// Hosts, targets, zones and regions that are being drained.
    #[serde(default, with = "serde_norway::with::singleton_map_recursive")]
    pub drains: Vec<DrainScope>,
    pub member: MemberId,
    pub regions: Vec<Region>,
    /// Increases with every manifest of the member.
    pub sequence: Sequence,
    pub services: Vec<Service>,
    pub weighing: Weighing,
}

/// One region and its availability zones.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    pub name: RegionId,
    /// Share of the slots that is not available to clients of other regions.
    pub reserve: Share,
    pub zones: Vec<ZoneId>,
}

/// One service and its targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Maximum number of connections to one target.
    pub connections: u32,
    pub kind: ServiceKind,
    /// Largest request body, in bytes.
    pub max_body: u64,
    pub name: ServiceId,
    /// Maximum share of a home region's requests that other regions may serve.
    pub shift_cap: Share,
    pub targets: Vec<Target>,
    /// Time limit of one attempt at a target, in milliseconds.
    pub timeout_ms: u64,
}

/// One backend server of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    pub address: SocketAddr,
    pub name: TargetId,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    pub zone: ZoneId,
}

/// An address block of clients and their home region.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClientBlock {
    pub block: IpNet,
    pub home: RegionId,
}

/// What a drain removes from service.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields, rename_all = "lowercase")]
pub enum DrainScope {
    Host(HostId),
    Region(RegionId),
    Target(TargetId),
    Zone(ZoneId),
}

impl DrainScope {
    /// Whether a drain of this scope removes the target from service. The drain of a host removes
    /// none: its targets are handed to other hosts.
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
    /// The region that contains `zone`.
    pub fn region_of(&self, zone: &str) -> Option<&Region> {
        self.regions.iter().find(|region| region.zones.iter().any(|name| &**name == zone))
    }

    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }
}
