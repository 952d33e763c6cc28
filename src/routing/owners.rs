//! Which other host owns each target, worked out once for a set of hosts.
//!
//! Searched for each request, it cost a walk over all hosts for each target.

use std::collections::BTreeMap;

use crate::{
    lookup::owner_of,
    prelude::*,
    view::{HostView, View},
};

/// The live hosts that own the targets of other hosts, by target.
#[derive(Clone, Debug, Default)]
pub(super) struct Owners {
    by_target: BTreeMap<TargetId, Owner>,
}

/// A host and where it serves requests.
#[derive(Clone, Debug)]
pub(super) struct Owner {
    pub address: SocketAddr,
    pub host: HostId,
}

impl Owners {
    /// Works out the owners of a view.
    pub fn of(view: &View) -> Self {
        let zones = hosts_by_zone(view);
        let others = view.hosts.iter().filter(|host| host.id != view.own.id);
        let others: BTreeMap<&HostId, &HostView> = others.map(|host| (&host.id, host)).collect();
        let targets = view.manifest.services.iter().flat_map(|service| &service.targets);
        let owners = targets.filter_map(|target| {
            let hosts = zones.get(&target.zone)?;
            let host = others.get(owner_of(&target.name, hosts)?)?;
            let owner = Owner { address: host.address, host: host.id.clone() };
            Some((target.name.clone(), owner))
        });
        Self { by_target: owners.collect() }
    }

    /// Whether a view has the same owners as the one before.
    pub fn are_same(old: &View, new: &View) -> bool {
        Arc::ptr_eq(&old.manifest, &new.manifest)
            && old.tenure.owners == new.tenure.owners
            && old.hosts == new.hosts
    }

    /// The host that owns a target; `None` for this host's own and for those that nobody owns.
    pub fn get(&self, target: &TargetId) -> Option<&Owner> {
        self.by_target.get(target)
    }
}

/// Who shares the targets of each zone: by the tenure in the own zone, else the live hosts.
fn hosts_by_zone(view: &View) -> BTreeMap<&ZoneId, Vec<HostId>> {
    let mut zones: BTreeMap<&ZoneId, Vec<HostId>> = BTreeMap::new();
    for host in view.hosts.iter().filter(|host| !host.leaving) {
        zones.entry(&host.zone).or_default().push(host.id.clone());
    }
    zones.insert(&view.own.zone, view.tenure.owners.clone());
    zones
}
