//! Routing of one request: lists the candidates, chooses one, and dispatches or queues.

use rand::Rng;

use super::{
    Action, CallId, Router, Via,
    call::{Call, Destination},
};
use crate::{
    admission::Queue,
    base::invariant,
    manifest::{Service, Target},
    prelude::*,
    quarantine::RunMode,
    selection::{Candidate, Tier},
    shift::{ShiftQuery, accept_foreign},
    timeline::EventKind,
    view::View,
};

/// Maximum number of attempts at one request, including the first.
pub(super) const MAX_ATTEMPTS: u32 = 3;

/// Minimum time that a request needs once it has a slot; one with less time left is given up.
pub(super) const MIN_SERVICE_TIME: Duration = Duration::from_millis(20);

/// Requests that this host may have waiting at the owner of a target, per slot of that target.
const MAX_WAITING_PER_SLOT: u32 = 4;

/// A candidate target and the address to reach it.
pub(super) struct ReachableTarget {
    pub address: SocketAddr,
    pub candidate: Candidate,
    /// The host that owns the target, if it is not this one.
    pub peer: Option<HostId>,
}

impl Router {
    /// Sends the request to a target or another host, queues it, or refuses it.
    pub(super) fn route(&mut self, call: CallId, now: Moment, rng: &mut impl Rng) {
        let Some(view) = self.view.clone() else { return };
        let state = &self.calls[&call];
        let Some(service) = view.manifest.service(&state.arrival.service) else {
            return self.fail(call, ErrorKind::ServiceUnknown, now, rng);
        };
        let latest = if state.is_booking() { state.latest_start } else { state.arrival.deadline };
        if latest <= now {
            return self.fail(call, ErrorKind::DeadlinePassed, now, rng);
        }
        if MAX_ATTEMPTS <= state.attempts {
            let error = state.last_error.unwrap_or(ErrorKind::NoSlots);
            return self.fail(call, error, now, rng);
        }
        let home = self.home_region(&state.arrival);
        let via = state.arrival.via;
        let from_other_region = via == Via::SlotHop && home != view.own.region;
        let spare_only = from_other_region || via == Via::HedgeHop;
        if spare_only && !self.has_spare_slots(&view, &service.name, now) {
            return self.fail(call, ErrorKind::NoSlots, now, rng);
        }
        self.send_or_wait(call, &view, service, &home, now, rng);
    }

    fn send_or_wait(
        &mut self,
        call: CallId,
        view: &View,
        service: &Service,
        home: &RegionId,
        now: Moment,
        rng: &mut impl Rng,
    ) {
        let mut options = self.reachable_targets(call, view, service, home, now);
        let mut error = if options.is_empty() { ErrorKind::NoTarget } else { ErrorKind::NoSlots };
        loop {
            let candidates: Vec<Candidate> =
                options.iter().map(|option| option.candidate.clone()).collect();
            let Some(chosen) = self.selector.pick(&service.name, &candidates, now, rng) else {
                break;
            };
            let foreign = candidates[chosen].tier == Tier::Foreign;
            if foreign && !self.try_shift(call, view, home, now) {
                error = ErrorKind::CapReached;
                // Foreign candidates stay in the list, marked as full. If they were removed while
                // all home targets are ejected, the selector would choose among the ejected ones
                // only and send them every request that may not shift.
                let away =
                    options.iter_mut().filter(|option| option.candidate.tier == Tier::Foreign);
                away.for_each(|option| option.candidate.in_flight = option.candidate.limit);
                continue;
            }
            let option = options.swap_remove(chosen);
            if self.send(call, view, option, Via::SlotHop, now) {
                return;
            }
            self.undo_shift(call, now);
        }
        // A hedge that waits for a slot is no faster than the attempt that it duplicates.
        if self.calls[&call].arrival.via == Via::HedgeHop {
            return self.fail(call, error, now, rng);
        }
        if self.can_wait_here(call, service, now) || !self.wait_at_owner(call, options, now) {
            self.enqueue(call, service, error, now, rng);
        }
    }

    /// Forwards the request to wait in another host's queue: that of the owner of the nearest
    /// target with the fewest requests from this host. A host that owns no target of the service
    /// has no freed slots to serve a queue of its own from; it would refuse requests in a short
    /// burst that the owners' queues could hold.
    fn wait_at_owner(&mut self, call: CallId, options: Vec<ReachableTarget>, now: Moment) -> bool {
        let state = &self.calls[&call];
        if state.arrival.via.requests_slot() {
            return false;
        }
        let may_wait = |option: &ReachableTarget| {
            let Candidate { in_flight, limit, target, tier } = &option.candidate;
            *tier != Tier::Foreign
                && *in_flight < limit.saturating_mul(MAX_WAITING_PER_SLOT)
                && !self.selector.is_ejected(target, now)
        };
        let option = options
            .into_iter()
            .filter(may_wait)
            .min_by_key(|option| (option.candidate.tier, option.candidate.in_flight));
        let Some(ReachableTarget { address, candidate, peer: Some(peer) }) = option else {
            return false;
        };
        self.call_mut(call).tried_targets.push(candidate.target.clone());
        let destination = Destination::PeerTarget { target: candidate.target, via: Via::SlotHop };
        self.forward(call, peer, address, destination, now);
        true
    }

    /// Whether a freed slot on one of this host's targets could serve the request.
    fn can_wait_here(&self, call: CallId, service: &Service, now: Moment) -> bool {
        let tried = &self.calls[&call].tried_targets;
        service.targets.iter().any(|target| {
            self.slots.owns(&target.name)
                && !self.selector.is_ejected(&target.name, now)
                && !tried.contains(&target.name)
                && self.view.as_ref().is_some_and(|view| !self.is_draining(view, target))
        })
    }

    /// Every target that may serve the request, with its load as far as this host knows it.
    pub(super) fn reachable_targets(
        &self,
        call: CallId,
        view: &View,
        service: &Service,
        home: &RegionId,
        now: Moment,
    ) -> Vec<ReachableTarget> {
        let state = &self.calls[&call];
        let available = service
            .targets
            .iter()
            .filter(|target| !state.tried_targets.contains(&target.name))
            .filter(|target| !self.is_draining(view, target));
        available
            .filter_map(|target| self.reachable_target(state, view, target, home, now))
            .collect()
    }

    fn reachable_target(
        &self,
        call: &Call,
        view: &View,
        target: &Target,
        home: &RegionId,
        now: Moment,
    ) -> Option<ReachableTarget> {
        let region = &view.manifest.region_of(&target.zone)?.name;
        let own = self.slots.owns(&target.name);
        if call.arrival.via.requests_slot() && !own {
            return None;
        }
        let home_has_hosts = view.hosts.iter().any(|host| host.region == *home && !host.leaving);
        let from_other_region = *home != view.own.region && !call.arrival.via.requests_slot();
        if from_other_region && home_has_hosts && region != home {
            return None;
        }
        let tier = if target.zone == view.own.zone {
            Tier::Zone
        } else if *region == view.own.region || region == home {
            Tier::Region
        } else {
            Tier::Foreign
        };
        if own {
            // A caller whose home region has no live host gets spare slots only, like a forwarded
            // request from another region.
            if from_other_region && !self.has_spare_slots(view, &call.arrival.service, now) {
                return None;
            }
            let limit = self.selector.concurrency_limit(&target.name, target.slots, now);
            let free = self.slots.free(&target.name, limit, now);
            let candidate = Candidate {
                in_flight: limit.saturating_sub(free),
                limit,
                target: target.name.clone(),
                tier,
            };
            return Some(ReachableTarget { address: target.address, candidate, peer: None });
        }
        let owner = self.owners.get(&target.name)?;
        let candidate = Candidate {
            in_flight: self.forwarded_count(&target.name),
            limit: target.slots,
            target: target.name.clone(),
            tier,
        };
        Some(ReachableTarget { address: owner.address, candidate, peer: Some(owner.host.clone()) })
    }

    /// Whether this host has free slots beyond the region's reserve.
    pub(super) fn has_spare_slots(&self, view: &View, service: &ServiceId, now: Moment) -> bool {
        let reserve = view.manifest.region_of(&view.own.zone).map_or(0.0, |region| region.reserve);
        view.manifest.service(service).is_some_and(|service| {
            let (free, slots) = self.free_and_total_slots(service, now);
            accept_foreign(free, slots, reserve)
        })
    }

    fn forwarded_count(&self, target: &TargetId) -> u32 {
        let count = self
            .attempts
            .values()
            .filter(|attempt| {
                matches!(
                    &attempt.destination,
                    Destination::PeerTarget { target: to, .. } if to == target
                )
            })
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn try_shift(&mut self, call: CallId, view: &View, home: &RegionId, now: Moment) -> bool {
        let state = &self.calls[&call];
        // A caller from another region was already counted by `admit_by_home_region`.
        if *home != view.own.region {
            return true;
        }
        let query = ShiftQuery {
            cap: state.shift_cap,
            home: home.clone(),
            regions_silent: !view.silent_regions.is_empty(),
            service: state.arrival.service.clone(),
        };
        if !self.shift_limiter.allow(&query, now) {
            return false;
        }
        let request = state.arrival.request.clone();
        let kind = EventKind::Shifted { home: home.clone(), service: query.service };
        self.call_mut(call).shifted = true;
        self.call_mut(call).shift_attempted = true;
        self.record_timeline_event(Some(&request), kind);
        true
    }

    /// Takes a shift that did not take place off the count.
    pub(super) fn undo_shift(&mut self, call: CallId, now: Moment) {
        let Some(view) = self.view.clone() else { return };
        let state = self.call_mut(call);
        if !std::mem::take(&mut state.shifted) {
            return;
        }
        let service = state.arrival.service.clone();
        self.shift_limiter.refund(&service, &view.own.region, now);
    }

    /// Sends to a target: directly if this host owns it, otherwise through its owner as `via`.
    /// Returns whether it was sent.
    pub(super) fn send(
        &mut self,
        call: CallId,
        view: &View,
        option: ReachableTarget,
        via: Via,
        now: Moment,
    ) -> bool {
        let target = option.candidate.target.clone();
        if let Some(peer) = option.peer {
            self.call_mut(call).tried_targets.push(target.clone());
            self.forward(call, peer, option.address, Destination::PeerTarget { target, via }, now);
            return true;
        }
        if !self.holds_lease(view, now) || !self.quarantine_allows(call, &target, now) {
            return false;
        }
        let Some(slot) = self.slots.acquire(&target, option.candidate.limit, now) else {
            return false;
        };
        self.dispatch(call, target, option.address, slot, now);
        true
    }

    /// Whether this host's lease on its targets is still valid. A host that was paused past its
    /// lease may no longer own them; without this check it could send to a target that its
    /// successor has already filled, which would run more requests than it has slots. The lease is
    /// measured on this host's boot clock, so that it ends without any message.
    fn holds_lease(&self, view: &View, now: Moment) -> bool {
        now < view.tenure.valid_until
    }

    /// Whether the quarantine allows the request on the target. A suspect must run alone, since it
    /// would take the other requests down with the target.
    fn quarantine_allows(&self, call: CallId, target: &TargetId, now: Moment) -> bool {
        let fingerprint = self.calls[&call].arrival.fingerprint;
        match self.quarantine.run_mode(fingerprint, now) {
            RunMode::Exclusive => self.slots.in_flight(target) == 0,
            RunMode::Normal => !self.runs_suspect(target, now),
            RunMode::Refused { .. } => false,
        }
    }

    /// Whether the quarantine refuses the request. One that has just been refused there must not
    /// queue: it would never get a slot and be told `deadline-passed` and `not run`, though it ran.
    pub(super) fn is_quarantined(&self, call: CallId, now: Moment) -> bool {
        let fingerprint = self.calls[&call].arrival.fingerprint;
        matches!(self.quarantine.run_mode(fingerprint, now), RunMode::Refused { .. })
    }

    fn runs_suspect(&self, target: &TargetId, now: Moment) -> bool {
        let on_target = self.attempts.values().filter(|attempt| {
            matches!(
                &attempt.destination,
                Destination::OwnTarget { target: on, .. } if on == target
            )
        });
        on_target
            .filter_map(|attempt| self.calls.get(&attempt.call))
            .any(|call| self.quarantine.run_mode(call.arrival.fingerprint, now) != RunMode::Normal)
    }

    fn dispatch(
        &mut self,
        call: CallId,
        target: TargetId,
        address: SocketAddr,
        slot: crate::admission::SlotId,
        now: Moment,
    ) {
        let attempt =
            self.start_attempt(call, Destination::OwnTarget { slot, target: target.clone() }, now);
        let state = self.call_mut(call);
        state.tried_targets.push(target.clone());
        let left = state.arrival.deadline.saturating_sub(now);
        let timeout = left.min(state.timeout);
        let arrival = state.arrival.clone();
        let needs_entry = state.is_booking() && arrival.via != Via::SlotHop;
        let has_entry = state.in_ledger;
        invariant::check(!needs_entry || has_entry, "entry-before-dispatch", || {
            format!("request {} has no ledger entry", arrival.request)
        });
        self.quarantine.record_start(arrival.fingerprint, &target, now);
        self.selector.record_start(&target, now);
        self.record_timeline_event(
            Some(&arrival.request),
            EventKind::Dispatched { target: target.clone() },
        );
        self.actions.push(Action::Dispatch { address, attempt, call, target, timeout });
    }

    /// Queues the request for a slot on this host's own targets, or ends it with an error.
    fn enqueue(
        &mut self,
        call: CallId,
        service: &Service,
        error: ErrorKind,
        now: Moment,
        rng: &mut impl Rng,
    ) {
        let state = &self.calls[&call];
        if !self.can_wait_here(call, service, now) {
            let error = state.last_error.unwrap_or(error);
            return self.fail(call, error, now, rng);
        }
        let id = queue_id(call);
        let deadline = state.latest_start;
        let limit = self.queue_limit;
        let queue = self.queues.entry(service.name.clone());
        let queue = queue.or_insert_with(|| Queue::new(limit, MIN_SERVICE_TIME));
        let pushed = queue.push(id, deadline, now);
        let expired = queue.take_expired(now);
        if pushed.is_err() {
            return self.fail(call, error, now, rng);
        }
        self.call_mut(call).queued = true;
        for id in expired {
            self.fail_queued(&id, ErrorKind::DeadlinePassed, now, rng);
        }
    }

    pub(super) fn fail_queued(
        &mut self,
        id: &RequestId,
        error: ErrorKind,
        now: Moment,
        rng: &mut impl Rng,
    ) {
        let Ok(call) = id.parse::<CallId>() else { return };
        self.fail(call, error, now, rng);
    }

    /// Routes queued requests again that no freed slot of this host can serve, because the host is
    /// stopping or lost its targets. Left in the queue until shortly before the deadline, such a
    /// request would be sent to a target with too little time, and its caller told `unknown`. It is
    /// forwarded to the new owner of the targets; if it came from the holder of a booking's entry,
    /// that host is told at once and tries another owner.
    pub(super) fn reroute_unservable(&mut self, now: Moment, rng: &mut impl Rng) {
        let Some(view) = self.view.clone() else { return };
        let is_stuck = |id: CallId, call: &Call| {
            let service = view.manifest.service(&call.arrival.service);
            call.queued && !service.is_some_and(|service| self.can_wait_here(id, service, now))
        };
        let calls = self.calls.iter().filter(|(id, call)| is_stuck(**id, call));
        let stuck: Vec<CallId> = calls.map(|(id, _)| *id).collect();
        for call in stuck {
            let service = self.calls[&call].arrival.service.clone();
            if let Some(queue) = self.queues.get_mut(&service) {
                queue.remove(&queue_id(call));
            }
            self.call_mut(call).queued = false;
            self.route(call, now, rng);
        }
    }

    /// Gives free slots to queued requests.
    pub(super) fn serve_queues(&mut self, now: Moment, rng: &mut impl Rng) {
        let Some(view) = self.view.clone() else { return };
        for service in &view.manifest.services {
            self.serve_queue(service, now, rng);
        }
    }

    fn serve_queue(&mut self, service: &Service, now: Moment, rng: &mut impl Rng) {
        let expired = self
            .queues
            .get_mut(&service.name)
            .map(|queue| queue.take_expired(now))
            .unwrap_or_default();
        for id in expired {
            self.fail_queued(&id, ErrorKind::DeadlinePassed, now, rng);
        }
        let (mut free, _) = self.free_and_total_slots(service, now);
        while 0 < free {
            free -= 1;
            let next = self.queues.get_mut(&service.name).and_then(|queue| queue.pop(now));
            let Some(call) = next.and_then(|id| id.parse::<CallId>().ok()) else { return };
            if self.calls.contains_key(&call) {
                self.call_mut(call).queued = false;
                self.route(call, now, rng);
            }
        }
    }
}

/// The id of a call in its queue: the call number, since callers choose request ids and may repeat
/// them.
pub(super) fn queue_id(call: CallId) -> RequestId {
    call.to_string().into()
}
