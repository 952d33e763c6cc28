//! The immutable snapshot of the system state that the control thread publishes to the traffic
//! threads.

use std::collections::BTreeSet;

use crate::{
    manifest::{DrainScope, Manifest},
    prelude::*,
};

/// State of the system as known to one host at one point in time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct View {
    /// Latest traffic of each home region, as reported by the hosts of that region.
    pub baselines: Vec<Baseline>,
    /// Drains requested by operators that are not yet part of a manifest.
    pub drains: BTreeSet<DrainScope>,
    /// All live hosts of this member, including this one, sorted by name.
    pub hosts: Vec<HostView>,
    pub manifest: Arc<Manifest>,
    pub own: HostView,
    /// Regions from which this host has received nothing for the suspicion time.
    pub silent_regions: BTreeSet<RegionId>,
    /// The lease of this host on its targets.
    pub tenure: Tenure,
}

/// A host as seen by its peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostView {
    /// HTTP address for callers and peers.
    pub address: SocketAddr,
    /// Stopped incarnations whose sealed ledgers the host took over and whose requests it answers.
    #[serde(default)]
    pub adopted: Vec<Incarnation>,
    /// Ledger generation of new bindings on this host.
    pub generation: Generation,
    pub id: HostId,
    pub incarnation: Incarnation,
    /// Whether the host announced that it is stopping; it then gets no new work.
    pub leaving: bool,
    pub region: RegionId,
    /// Address of its RPC server for peers.
    pub rpc: SocketAddr,
    pub zone: ZoneId,
}

/// Requests per second for a service from callers whose home region is `home`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Baseline {
    pub home: RegionId,
    pub rate: f64,
    pub service: ServiceId,
}

/// The lease that entitles a host to send to the targets it owns.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tenure {
    /// Hosts of the zone among which its targets are divided; owners are computed from this list.
    pub owners: Vec<HostId>,
    /// Hosts whose targets this host serves only provisionally, at reduced concurrency.
    pub provisional: BTreeSet<HostId>,
    /// End of the lease by this host's own clock; after it nothing may be sent at full concurrency.
    pub valid_until: Moment,
}

impl Tenure {
    /// Whether the target belongs to a host whose targets are served only provisionally, so that it
    /// may be used only at reduced concurrency. The result depends on this tenure alone, not on
    /// earlier ones.
    pub fn is_provisional(&self, target: &TargetId) -> bool {
        let mut all: Vec<HostId> = self.owners.clone();
        all.extend(self.provisional.iter().filter(|host| !self.owners.contains(host)).cloned());
        all.sort();
        crate::lookup::owner_of(target, &all).is_some_and(|owner| self.provisional.contains(owner))
    }
}
