//! The targets that a request would be offered now, for display to operators. Read-only.

use std::fmt;

use super::Router;
use crate::{lookup::owner_of, prelude::*};

/// State of one target, for display to an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetStatus {
    pub draining: bool,
    pub ejected: bool,
    /// Free slots, if this host owns the target.
    pub free: Option<u32>,
    /// Owner of the target, if the target is in this host's zone.
    pub owner: Option<HostId>,
    pub region: RegionId,
    pub slots: u32,
    pub target: TargetId,
    pub zone: ZoneId,
}

impl fmt::Display for TargetStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} in {} of {}", self.target, self.zone, self.region)?;
        if let Some(owner) = &self.owner {
            write!(f, ", owned by {owner}")?;
        }
        if let Some(free) = self.free {
            write!(f, ", {free} of {} slots free", self.slots)?;
        }
        let states = [(self.draining, "draining"), (self.ejected, "ejected")];
        for (_, state) in states.into_iter().filter(|(is_set, _)| *is_set) {
            write!(f, ", {state}")?;
        }
        Ok(())
    }
}

impl Router {
    /// The targets of a service, in the order of preference for a request from `home`.
    pub fn target_statuses(
        &self,
        service: &ServiceId,
        home: &RegionId,
        now: Moment,
    ) -> Vec<TargetStatus> {
        let Some(view) = &self.view else { return Vec::new() };
        let Some(service) = view.manifest.service(service) else { return Vec::new() };
        let mut targets: Vec<TargetStatus> = Vec::new();
        for target in &service.targets {
            let Some(region) = view.manifest.region_of(&target.zone) else { continue };
            let in_own_zone = target.zone == view.own.zone;
            let own = self.slots.owns(&target.name);
            let limit = self.selector.concurrency_limit(&target.name, target.slots, now);
            targets.push(TargetStatus {
                draining: self.is_draining(view, target),
                ejected: self.selector.is_ejected(&target.name, now),
                free: own.then(|| self.slots.free(&target.name, limit, now)),
                owner: owner_of(&target.name, &view.tenure.owners).filter(|_| in_own_zone).cloned(),
                region: region.name.clone(),
                slots: target.slots,
                target: target.name.clone(),
                zone: target.zone.clone(),
            });
        }
        targets.sort_by_key(|target| {
            (target.draining, target.ejected, target.zone != view.own.zone, target.region != *home)
        });
        targets
    }
}
