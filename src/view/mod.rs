//! The immutable snapshot that the control thread publishes to the traffic threads.

use std::collections::BTreeSet;

use crate::{
    manifest::{DrainScope, Manifest},
    prelude::*,
};

/// What a host knows of the system at one moment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct View {
    /// Traffic that each home region last had, as its own hosts reported it.
    pub baselines: Vec<Baseline>,
    /// Operators' drains that no manifest has settled yet.
    pub drains: BTreeSet<DrainScope>,
    /// All live hosts of this member, this one included, sorted by name.
    pub hosts: Vec<HostView>,
    pub manifest: Arc<Manifest>,
    pub own: HostView,
    /// Regions that this host has not heard from for the suspicion time.
    pub silent_regions: BTreeSet<RegionId>,
    /// This host's right to its targets.
    pub tenure: Tenure,
}

/// One host as its peers see it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostView {
    /// Where callers and peers reach it.
    pub address: SocketAddr,
    /// Stopped incarnations whose sealed ledgers it took over, and for which it answers.
    #[serde(default)]
    pub adopted: Vec<Incarnation>,
    /// Ledger generation that new bindings on this host name.
    pub generation: Generation,
    pub id: HostId,
    pub incarnation: Incarnation,
    /// Told its peers that it is stopping: no new work.
    pub leaving: bool,
    pub region: RegionId,
    /// Where peers reach its RPC server.
    pub rpc: SocketAddr,
    pub zone: ZoneId,
}

/// Requests a second of a service from callers at home in a region.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Baseline {
    pub home: RegionId,
    pub rate: f64,
    pub service: ServiceId,
}

/// The right to send to the targets that this host owns.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tenure {
    /// Hosts of the zone that share its targets: owners are computed over these.
    pub owners: Vec<HostId>,
    /// Hosts whose targets this one only stands in for, at reduced concurrency.
    pub provisional: BTreeSet<HostId>,
    /// By this host's own clock; past it nothing may be sent at full concurrency.
    pub valid_until: Moment,
}

impl Tenure {
    /// Whether a target falls to a host that is only stood in for, so that whoever sends to it does
    /// so at reduced concurrency. Tells the same at each call: it looks at no earlier tenure.
    pub fn is_provisional(&self, target: &TargetId) -> bool {
        let mut all: Vec<HostId> = self.owners.clone();
        all.extend(self.provisional.iter().filter(|host| !self.owners.contains(host)).cloned());
        all.sort();
        crate::lookup::owner_of(target, &all).is_some_and(|owner| self.provisional.contains(owner))
    }
}
