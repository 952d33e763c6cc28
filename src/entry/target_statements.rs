//! What targets say of themselves, applied to the requests of this host.

use std::collections::BTreeMap;

use super::{KnownTarget, ReplyMetadata, TrafficState, View, guards::InFlight};
use crate::{
    event_log::{Event, LimitSource},
    placement::{
        LimitChange, Pace, Rest, SENDERS_PER_TARGET, TargetIndex, TargetNotices, TargetStatement,
        paced_rate, request_interval,
    },
    prelude::*,
};

/// Whether a target takes a request of this host, by what it said of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Readiness {
    Ready,
    /// The target takes a request in this time; `None` if that is unknown.
    Later(Option<Duration>),
}

/// A target's answer to a request: complete, signed, and neither a refusal nor a failure.
pub struct TargetAnswer {
    pub sent_at: Moment,
    pub statement: TargetStatement,
}

impl TrafficState {
    /// Records what a response asks of the hosts. Every response to its own request has to pass
    /// here, whatever becomes of it, but those of another target at the same address. One to another
    /// request may be old: what it asked for may have ended. Only answers end what was asked before;
    /// see `confirm_rested` and `record_answer`.
    pub(super) fn record_notices(&self, target: &KnownTarget, metadata: &ReplyMetadata) {
        if metadata.wrong_target {
            return;
        }
        let now = self.clock.now();
        let mut notices = self.target_notices.borrow_mut();
        let rest = metadata.statement.rest;
        if let Some(rest) = rest.and_then(|rest| notices.record_rest(target.tag, rest, now)) {
            let (rest_ms, target) = (rest.as_millis() as u64, target.entry.id.clone());
            self.events.record(None, Event::TargetResting { rest_ms, target });
        }
        if metadata.statement.is_leaving && notices.record_leaving(target.tag, now) {
            self.events.record(None, Event::TargetLeaving { target: target.entry.id.clone() });
        }
        let change = notices.record_limit(target.tag, metadata.statement.limit, None, now);
        let source = match metadata.signed {
            true => LimitSource::Response,
            false => LimitSource::UnmatchedResponse,
        };
        self.record_limit_change(target, change, source);
    }

    /// Records that a target began to answer a request that was sent at `sent_at`.
    pub(super) fn confirm_rested(&self, target: &KnownTarget, sent_at: Moment) {
        self.target_notices.borrow_mut().confirm_rested(target.tag, sent_at);
    }

    /// Records whether a target's answer still names a limit.
    pub(super) fn record_answer(&self, target: &KnownTarget, answer: &TargetAnswer) {
        let mut notices = self.target_notices.borrow_mut();
        if notices.is_empty() {
            return;
        }
        let (limit, sent_at) = (answer.statement.limit, Some(answer.sent_at));
        let change = notices.record_limit(target.tag, limit, sent_at, self.clock.now());
        self.record_limit_change(target, change, LimitSource::Response);
    }

    fn record_limit_change(
        &self,
        target: &KnownTarget,
        change: Option<LimitChange>,
        source: LimitSource,
    ) {
        let per_second = match change {
            Some(LimitChange::Limited(limit)) => Some(limit),
            Some(LimitChange::Ended) => None,
            None => return,
        };
        let target = target.entry.id.clone();
        self.events.record(None, Event::TargetLimited { per_second, source, target });
    }

    /// Applies what other hosts report of limits.
    pub(super) fn update_notices(&self, view: &View) {
        let now = self.clock.now();
        let mut notices = self.target_notices.borrow_mut();
        if notices.is_empty() && view.limits.is_empty() {
            return;
        }
        for (tag, change) in notices.apply_reports(&view.limits, now) {
            let targets = view.targets.values().flat_map(|targets| targets.iter());
            if let Some(target) = targets.into_iter().find(|target| target.tag == tag) {
                self.record_limit_change(target, Some(change), LimitSource::Report);
            }
        }
        self.limited_target_pacer.borrow_mut().retain(|tag| notices.limit(tag).is_some());
    }

    /// Whether a target takes a request of this host. After a rest, it gets one request at a time
    /// until it answers.
    pub(super) fn readiness(&self, view: &View, target: &KnownTarget) -> Readiness {
        let notices = self.target_notices.borrow();
        if notices.is_leaving(target.tag) {
            return Readiness::Later(None);
        }
        match notices.rest(target.tag, self.clock.now()) {
            Some(Rest::For(rest)) => Readiness::Later(Some(rest)),
            Some(Rest::Unconfirmed) if 0 < self.in_flight(target) => Readiness::Later(None),
            _ => self.limit_readiness(view, target),
        }
    }

    fn in_flight(&self, target: &KnownTarget) -> u32 {
        self.target_health.borrow().get(&target.tag).map_or(0, |health| health.in_flight)
    }

    /// Whether the limit of a target, if it named one, leaves room for a request of this host. If
    /// not, another host may have it, so the wait is that for the next request of any host.
    fn limit_readiness(&self, view: &View, target: &KnownTarget) -> Readiness {
        let Some(pace) = self.pace(view, target) else { return Readiness::Ready };
        let mut pacer = self.limited_target_pacer.borrow_mut();
        match pacer.may_send(target.tag, &pace, self.clock.now()) {
            true => Readiness::Ready,
            false => Readiness::Later(Some(request_interval(pace.limit))),
        }
    }

    /// How fast this host may send to a target; `None` if the target has no limit.
    fn pace(&self, view: &View, target: &KnownTarget) -> Option<Pace> {
        let notices = self.target_notices.borrow();
        Some(Pace {
            confirmed_at: notices.limit_confirmed_at(target.tag)?,
            hosts: view.hosts.len(),
            limit: notices.limit(target.tag)?,
            may_be_split: view.hosts.len() < view.known_hosts,
            rank: self.paced_rank(view, target),
        })
    }

    /// Whether a request that was placed at a target may still be sent to it. The target may have
    /// named a limit, asked for a rest or said that it leaves while the request waited for a connection.
    pub(super) fn may_still_send(&self, target: &KnownTarget, in_flight: &InFlight) -> bool {
        let notices = self.target_notices.borrow();
        let rest = notices.rest(target.tag, self.clock.now());
        if notices.is_leaving(target.tag) || matches!(rest, Some(Rest::For(_))) {
            return false;
        }
        in_flight.is_paced || notices.limit(target.tag).is_none() || self.charge_limit(target)
    }

    /// Whether this host is one of those that send to a target whose rate is limited for all hosts
    /// together.
    pub(super) fn is_paced_sender(&self, view: &View, target: &KnownTarget) -> bool {
        self.paced_rank(view, target).is_some_and(|rank| rank < SENDERS_PER_TARGET)
    }

    fn paced_rank(&self, view: &View, target: &KnownTarget) -> Option<usize> {
        let mut senders = self.paced_senders.borrow_mut();
        senders.rank(target, &self.settings.host, &view.hosts)
    }

    /// Charges a request to the limit of its target. False if there is no limit, or none that leaves
    /// room for the request.
    pub(super) fn charge_limit(&self, target: &KnownTarget) -> bool {
        let pace = self.view().and_then(|view| self.pace(&view, target));
        let mut pacer = self.limited_target_pacer.borrow_mut();
        pace.is_some_and(|pace| pacer.charge(target.tag, &pace, self.clock.now()))
    }
}

/// Slots of each region that the targets of a service cannot fill because they limit their requests,
/// rest or leave, if a request takes `work`.
pub(super) fn unusable_slots<'a>(
    index: &'a TargetIndex,
    notices: &TargetNotices,
    work: Duration,
    now: Moment,
) -> BTreeMap<&'a RegionId, f64> {
    let mut unusable = BTreeMap::new();
    for tag in notices.tags() {
        let Some(target) = index.get(tag) else { continue };
        let slots = f64::from(target.entry.slots);
        let usable = match (notices.rest(tag, now), notices.limit(tag)) {
            _ if notices.is_leaving(tag) => 0.0,
            (Some(Rest::For(_)), _) => 0.0,
            (_, Some(limit)) => (paced_rate(limit) * work.as_secs_f64()).min(slots),
            (_, None) => slots,
        };
        *unusable.entry(&target.region).or_default() += slots - usable;
    }
    unusable
}
