//! What follows from the control state, as one view.

use super::actor::Control;
use crate::{prelude::*, view::View};

impl Control {
    /// Gives the traffic side a new view if anything in it changed.
    pub(super) fn publish(&mut self) {
        let Some((manifest, _)) = self.parts.store.current() else { return };
        let now = self.now();
        let view = View {
            baselines: self.baselines.baselines(),
            drains: self.drains.in_force(),
            hosts: self.parts.membership.hosts(now),
            manifest,
            own: self.parts.membership.own().clone(),
            silent_regions: self.parts.membership.silent_regions(now),
            tenure: self.tenure.tenure(now),
        };
        if self.shown.as_deref() == Some(&view) {
            return;
        }
        let view = Arc::new(view);
        self.shown = Some(view.clone());
        self.parts.traffic.show(view);
    }
}
