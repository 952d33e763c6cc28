//! The other hosts that own targets, computed once per view.
//!
//! A search per request would walk over all hosts for each target.

use std::collections::BTreeMap;

use crate::{
    lookup::owner_of,
    prelude::*,
    view::{HostView, View},
};

/// The owners of the targets that this host doesn't own, by target. Only live hosts are listed.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetOwners {
    by_target: BTreeMap<TargetId, TargetOwner>,
}

/// A host that owns a target, and the address at which it serves requests.
#[derive(Clone, Debug)]
pub(super) struct TargetOwner {
    pub address: SocketAddr,
    pub host: HostId,
}

impl TargetOwners {
    /// Computes the owners from a view.
    pub fn of(view: &View) -> Self {
        let zones = hosts_by_zone(view);
        let others = view.hosts.iter().filter(|host| host.id != view.own.id);
        let others: BTreeMap<&HostId, &HostView> = others.map(|host| (&host.id, host)).collect();
        let targets = view.manifest.services.iter().flat_map(|service| &service.targets);
        let owners = targets.filter_map(|target| {
            let hosts = zones.get(&target.zone)?;
            let host = others.get(owner_of(&target.name, hosts)?)?;
            let owner = TargetOwner { address: host.address, host: host.id.clone() };
            Some((target.name.clone(), owner))
        });
        Self { by_target: owners.collect() }
    }

    /// Whether the inputs of `of` are the same in both views.
    pub fn are_unchanged(old: &View, new: &View) -> bool {
        Arc::ptr_eq(&old.manifest, &new.manifest)
            && old.tenure.owners == new.tenure.owners
            && old.hosts == new.hosts
    }

    /// The host that owns a target; `None` if this host owns it or no host does.
    pub fn get(&self, target: &TargetId) -> Option<&TargetOwner> {
        self.by_target.get(target)
    }
}

/// The hosts among which the targets of each zone are divided: the owners by tenure in this host's
/// zone, and all hosts that are not leaving in the others.
fn hosts_by_zone(view: &View) -> BTreeMap<&ZoneId, Vec<HostId>> {
    let mut zones: BTreeMap<&ZoneId, Vec<HostId>> = BTreeMap::new();
    for host in view.hosts.iter().filter(|host| !host.leaving) {
        zones.entry(&host.zone).or_default().push(host.id.clone());
    }
    zones.insert(&view.own.zone, view.tenure.owners.clone());
    zones
}
