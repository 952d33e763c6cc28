//! Publishes the control state to the request handler as one view.

use super::actor::ControlActor;
use crate::{prelude::*, view::View};

impl ControlActor {
    /// Passes a new view to the request handler if anything in it has changed.
    pub(super) fn publish(&mut self) {
        let Some((manifest, _)) = self.deps.store.current() else { return };
        let now = self.now();
        let view = View {
            baselines: self.baselines.baselines(),
            drains: self.drains.in_force(),
            hosts: self.deps.membership.hosts(now),
            manifest,
            own: self.deps.membership.own().clone(),
            silent_regions: self.deps.membership.silent_regions(now),
            tenure: self.tenure.tenure(now),
        };
        if self.published.as_deref() == Some(&view) {
            return;
        }
        let view = Arc::new(view);
        self.published = Some(view.clone());
        self.deps.traffic.set_view(view);
    }
}
