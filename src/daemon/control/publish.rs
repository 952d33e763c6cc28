//! What follows from the control state, as one view.

use std::collections::BTreeSet;

use super::actor::Control;
use crate::{
    manifest::DrainScope,
    prelude::*,
    view::{Tenure, View},
};

/// How long this host's right to its targets holds after it was last renewed.
const LEASE: Duration = Duration::from_secs(4);

impl Control {
    /// Gives the traffic side a new view if anything in it changed.
    pub(super) fn publish(&mut self) {
        let Some((manifest, _)) = self.parts.store.current() else { return };
        let now = self.now();
        let view = View {
            baselines: self.baselines.values().map(|note| note.baseline.clone()).collect(),
            drains: self.active_drains(),
            hosts: self.parts.membership.hosts(now),
            manifest,
            own: self.parts.membership.own().clone(),
            silent_regions: self.parts.membership.silent_regions(now),
            tenure: self.tenure(now),
        };
        if self.shown.as_deref() == Some(&view) {
            return;
        }
        let view = Arc::new(view);
        self.shown = Some(view.clone());
        self.parts.traffic.show(view);
    }

    fn active_drains(&self) -> BTreeSet<DrainScope> {
        let active = self.drains.values().filter(|record| record.undone.is_none());
        active.map(|record| record.scope.clone()).collect()
    }

    fn tenure(&self, now: Moment) -> Tenure {
        let own = self.parts.membership.own();
        let hosts = self.parts.membership.hosts(now);
        let near = hosts.iter().filter(|host| host.zone == own.zone && !host.leaving);
        let owners = near.map(|host| host.id.clone()).collect();
        Tenure { owners, provisional: BTreeSet::new(), valid_until: now + LEASE }
    }
}
