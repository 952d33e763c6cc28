//! What targets say of themselves, applied to the requests of this host.

use std::collections::BTreeMap;

use super::{KnownTarget, ReplyMetadata, TrafficState, View, traffic_state::InFlight};
use crate::{
    event_log::Event,
    placement::{LimitChange, TargetIndex, TargetNotices, is_paced_sender, paced_rate},
    prelude::*,
};

/// Whether a target takes a request of this host, by what it said of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Readiness {
    Ready,
    /// The target takes a request in this time; `None` if that is unknown.
    Later(Option<Duration>),
}

impl TrafficState {
    /// Records what a response says of its target. Every response has to pass here, whatever
    /// becomes of it, but those of another target at the same address.
    pub(super) fn record_notices(&self, target: &KnownTarget, metadata: &ReplyMetadata) {
        if metadata.wrong_target {
            return;
        }
        let now = self.clock.now();
        let change = self.target_notices.borrow_mut().record_limit(target.tag, metadata.limit, now);
        let Some(change) = change else { return };
        let per_second = match change {
            LimitChange::Limited(limit) => Some(limit),
            LimitChange::Ended => None,
        };
        let target = target.entry.id.clone();
        self.events.record(None, Event::TargetLimited { per_second, target });
    }

    /// Applies what other hosts report of limits.
    pub(super) fn update_notices(&self, view: &View) {
        let now = self.clock.now();
        let mut notices = self.target_notices.borrow_mut();
        if notices.is_empty() && view.limits.is_empty() {
            return;
        }
        notices.apply_reports(&view.limits, now);
        self.limited_target_pacer.borrow_mut().retain(|tag| notices.limit(tag).is_some());
    }

    /// Whether a target takes a request of this host now.
    pub(super) fn readiness(&self, view: &View, target: &KnownTarget) -> Readiness {
        let Some(limit) = self.target_notices.borrow().limit(target.tag) else {
            return Readiness::Ready;
        };
        if !is_paced_sender(target, &self.settings.host, &view.hosts) {
            return Readiness::Later(None);
        }
        let now = self.clock.now();
        let wait = self.limited_target_pacer.borrow_mut().next_send_in(target.tag, limit, now);
        if wait.is_zero() { Readiness::Ready } else { Readiness::Later(Some(wait)) }
    }

    /// Whether a request that was placed at a target may still be sent to it. The target may have
    /// named a limit while the request waited for a connection.
    pub(super) fn may_still_send(&self, target: &KnownTarget, in_flight: &InFlight) -> bool {
        if in_flight.is_paced || self.target_notices.borrow().limit(target.tag).is_none() {
            return true;
        }
        let is_ready = |view: Arc<View>| self.readiness(&view, target) == Readiness::Ready;
        if !self.view().is_some_and(is_ready) {
            return false;
        }
        self.limited_target_pacer.borrow_mut().take_token(target.tag);
        true
    }

    /// Charges a request to the limit of its target. Returns whether the target has one.
    pub(super) fn charge_limit(&self, target: &KnownTarget) -> bool {
        let is_limited = self.target_notices.borrow().limit(target.tag).is_some();
        if is_limited {
            self.limited_target_pacer.borrow_mut().take_token(target.tag);
        }
        is_limited
    }
}

/// Slots of each region that the targets of a service cannot fill because of their limits, if a
/// request takes `work`.
pub(super) fn unusable_slots<'a>(
    index: &'a TargetIndex,
    notices: &TargetNotices,
    work: Duration,
) -> BTreeMap<&'a RegionId, f64> {
    let mut unusable = BTreeMap::new();
    for (tag, limit) in notices.limits() {
        let Some(target) = index.get(tag) else { continue };
        let slots = f64::from(target.entry.slots);
        let usable = (paced_rate(limit) * work.as_secs_f64()).min(slots);
        *unusable.entry(&target.region).or_default() += slots - usable;
    }
    unusable
}
