//! Where a request goes: the candidates, the choice, the dispatch.

use rand::Rng;

use super::{
    Action, CallId, Router, Via,
    call::{Call, Place},
};
use crate::{
    admission::Queue,
    base::invariant,
    manifest::{Service, Target},
    prelude::*,
    quarantine::Standing,
    selection::{Candidate, Tier},
    shift::{ShiftAsk, accept_foreign},
    timeline::EventKind,
    view::View,
};

/// Most attempts at one request, the first included.
pub(super) const MAX_ATTEMPTS: u32 = 3;

/// Time that a request needs at least once it has a slot; with less left it is hopeless.
pub(super) const EXPECTED_TIME: Duration = Duration::from_millis(20);

/// Requests that this host may have waiting at an owner, by slot of the target.
const WAITING_PER_SLOT: u32 = 4;

/// A candidate and how to reach it.
pub(super) struct Way {
    pub address: SocketAddr,
    pub candidate: Candidate,
    /// The host that owns the target, where it is not this one.
    pub peer: Option<HostId>,
}

impl Router {
    /// Sends the request somewhere, queues it, or refuses it.
    pub(super) fn place(&mut self, call: CallId, now: Moment, rng: &mut impl Rng) {
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
        let home = self.home_or_own(&state.arrival);
        let via = state.arrival.via;
        let is_guest = via == Via::SlotHop && home != view.own.region;
        let spare_only = is_guest || via == Via::HedgeHop;
        if spare_only && !self.takes_guest(&view, &service.name, now) {
            return self.fail(call, ErrorKind::NoSlots, now, rng);
        }
        self.choose(call, &view, service, &home, now, rng);
    }

    fn choose(
        &mut self,
        call: CallId,
        view: &View,
        service: &Service,
        home: &RegionId,
        now: Moment,
        rng: &mut impl Rng,
    ) {
        let mut options = self.options(call, view, service, home, now);
        let mut error = if options.is_empty() { ErrorKind::NoTarget } else { ErrorKind::NoSlots };
        loop {
            let candidates: Vec<Candidate> =
                options.iter().map(|option| option.candidate.clone()).collect();
            let Some(chosen) = self.selector.pick(&service.name, &candidates, now, rng) else {
                break;
            };
            let foreign = candidates[chosen].tier == Tier::Foreign;
            if foreign && !self.may_shift(call, view, home, now) {
                error = ErrorKind::CapReached;
                // They stay in sight as full ones: were they taken out, targets at home that are
                // ejected would be the whole pool and get every request that may not shift.
                let away = options.iter_mut().filter(|way| way.candidate.tier == Tier::Foreign);
                away.for_each(|way| way.candidate.in_flight = way.candidate.limit);
                continue;
            }
            let option = options.swap_remove(chosen);
            if self.send(call, view, option, Via::SlotHop, now) {
                return;
            }
            self.unshift(call, now);
        }
        // A hedge that waits for a slot is no faster than the attempt that it is to overtake.
        if self.calls[&call].arrival.via == Via::HedgeHop {
            return self.fail(call, error, now, rng);
        }
        if self.waits_here(call, service, now) || !self.wait_at_owner(call, options, now) {
            self.enqueue(call, service, error, now, rng);
        }
    }

    /// A host that owns no target of the service has no queue that a freed slot would empty: it
    /// would refuse in a short burst what the owners' queues could hold. It forwards to the owner
    /// with the least forwarded, where the request waits.
    fn wait_at_owner(&mut self, call: CallId, options: Vec<Way>, now: Moment) -> bool {
        let state = &self.calls[&call];
        if state.arrival.via.requests_slot() {
            return false;
        }
        let may_wait = |way: &Way| {
            let Candidate { in_flight, limit, target, tier } = &way.candidate;
            *tier != Tier::Foreign
                && *in_flight < limit.saturating_mul(WAITING_PER_SLOT)
                && !self.selector.ejected(target, now)
        };
        let way = options
            .into_iter()
            .filter(may_wait)
            .min_by_key(|way| (way.candidate.tier, way.candidate.in_flight));
        let Some(Way { address, candidate, peer: Some(peer) }) = way else { return false };
        self.state(call).tried.push(candidate.target.clone());
        let place = Place::Peer { target: candidate.target, via: Via::SlotHop };
        self.forward(call, peer, address, place, now);
        true
    }

    /// Whether a freed slot of this host could serve the request.
    fn waits_here(&self, call: CallId, service: &Service, now: Moment) -> bool {
        let tried = &self.calls[&call].tried;
        service.targets.iter().any(|target| {
            self.slots.owns(&target.name)
                && !self.selector.ejected(&target.name, now)
                && !tried.contains(&target.name)
                && self.view.as_ref().is_some_and(|view| !self.is_draining(view, target))
        })
    }

    /// Every target that may serve the request now, with the room that is known of.
    pub(super) fn options(
        &self,
        call: CallId,
        view: &View,
        service: &Service,
        home: &RegionId,
        now: Moment,
    ) -> Vec<Way> {
        let state = &self.calls[&call];
        let usable = service
            .targets
            .iter()
            .filter(|target| !state.tried.contains(&target.name))
            .filter(|target| !self.is_draining(view, target));
        usable.filter_map(|target| self.option(state, view, target, home, now)).collect()
    }

    fn option(
        &self,
        call: &Call,
        view: &View,
        target: &Target,
        home: &RegionId,
        now: Moment,
    ) -> Option<Way> {
        let region = &view.manifest.region_of(&target.zone)?.name;
        let own = self.slots.owns(&target.name);
        if call.arrival.via.requests_slot() && !own {
            return None;
        }
        let home_lives = view.hosts.iter().any(|host| host.region == *home && !host.leaving);
        let is_guest = *home != view.own.region && !call.arrival.via.requests_slot();
        if is_guest && home_lives && region != home {
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
            // A caller whose own hosts are gone gets spare slots only, like a forwarded request.
            if is_guest && !self.takes_guest(view, &call.arrival.service, now) {
                return None;
            }
            let limit = self.selector.limit(&target.name, target.slots, now);
            let free = self.slots.free(&target.name, limit, now);
            let candidate = Candidate {
                in_flight: limit.saturating_sub(free),
                limit,
                target: target.name.clone(),
                tier,
            };
            return Some(Way { address: target.address, candidate, peer: None });
        }
        let owner = self.owners.get(&target.name)?;
        let candidate = Candidate {
            in_flight: self.forwarded_to(&target.name),
            limit: target.slots,
            target: target.name.clone(),
            tier,
        };
        Some(Way { address: owner.address, candidate, peer: Some(owner.host.clone()) })
    }

    /// Whether slots are spare beyond the reserve.
    pub(super) fn takes_guest(&self, view: &View, service: &ServiceId, now: Moment) -> bool {
        let reserve = view.manifest.region_of(&view.own.zone).map_or(0.0, |region| region.reserve);
        view.manifest.service(service).is_some_and(|service| {
            let (free, slots) = self.spare(service, now);
            accept_foreign(free, slots, reserve)
        })
    }

    fn forwarded_to(&self, target: &TargetId) -> u32 {
        let count = self
            .attempts
            .values()
            .filter(
                |attempt| matches!(&attempt.place, Place::Peer { target: to, .. } if to == target),
            )
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn may_shift(&mut self, call: CallId, view: &View, home: &RegionId, now: Moment) -> bool {
        let state = &self.calls[&call];
        // A caller from elsewhere was already counted by `count_home` when it came directly.
        if *home != view.own.region {
            return true;
        }
        let ask = ShiftAsk {
            cap: state.shift_cap,
            home: home.clone(),
            regions_silent: !view.silent_regions.is_empty(),
            service: state.arrival.service.clone(),
        };
        if !self.caps.allow(&ask, now) {
            return false;
        }
        let request = state.arrival.request.clone();
        let kind = EventKind::Shifted { home: home.clone(), service: ask.service };
        self.state(call).shifted = true;
        self.state(call).tried_away = true;
        self.note(Some(&request), kind);
        true
    }

    /// Takes back a counted shift that did not come about.
    pub(super) fn unshift(&mut self, call: CallId, now: Moment) {
        let Some(view) = self.view.clone() else { return };
        let state = self.state(call);
        if !std::mem::take(&mut state.shifted) {
            return;
        }
        let service = state.arrival.service.clone();
        self.caps.undo(&service, &view.own.region, now);
    }

    /// Sends to a target, by its owner as `via` where that is another host.
    pub(super) fn send(
        &mut self,
        call: CallId,
        view: &View,
        option: Way,
        via: Via,
        now: Moment,
    ) -> bool {
        let target = option.candidate.target.clone();
        if let Some(peer) = option.peer {
            self.state(call).tried.push(target.clone());
            self.forward(call, peer, option.address, Place::Peer { target, via }, now);
            return true;
        }
        if !self.has_right(view, now) || !self.suspect_may_run(call, &target, now) {
            return false;
        }
        let Some(slot) = self.slots.acquire(&target, option.candidate.limit, now) else {
            return false;
        };
        self.dispatch(call, target, option.address, slot, now);
        true
    }

    /// A host that was paused past its lease may no longer own its targets: without this check
    /// it would send to a target that its successor has already filled, and the target would
    /// run more requests than it has slots. The lease is counted by this host's own boot clock,
    /// so that no message has to reach it first.
    fn has_right(&self, view: &View, now: Moment) -> bool {
        now < view.tenure.valid_until
    }

    /// A suspect in company would take innocent requests down with the target.
    fn suspect_may_run(&self, call: CallId, target: &TargetId, now: Moment) -> bool {
        let fingerprint = self.calls[&call].arrival.fingerprint;
        match self.quarantine.standing(fingerprint, now) {
            Standing::Alone => self.slots.in_flight(target) == 0,
            Standing::Clear => !self.runs_suspect(target, now),
            Standing::Refused { .. } => false,
        }
    }

    /// Whether the quarantine refuses the request. One that has just proved guilty would wait in the
    /// queue for a slot that it never gets, and be told `deadline-passed` and `not run` though it ran.
    pub(super) fn is_refused(&self, call: CallId, now: Moment) -> bool {
        let fingerprint = self.calls[&call].arrival.fingerprint;
        matches!(self.quarantine.standing(fingerprint, now), Standing::Refused { .. })
    }

    fn runs_suspect(&self, target: &TargetId, now: Moment) -> bool {
        let on_target = self.attempts.values().filter(
            |attempt| matches!(&attempt.place, Place::Own { target: on, .. } if on == target),
        );
        on_target
            .filter_map(|attempt| self.calls.get(&attempt.call))
            .any(|call| self.quarantine.standing(call.arrival.fingerprint, now) != Standing::Clear)
    }

    fn dispatch(
        &mut self,
        call: CallId,
        target: TargetId,
        address: SocketAddr,
        slot: crate::admission::SlotId,
        now: Moment,
    ) {
        let attempt = self.new_attempt(call, Place::Own { slot, target: target.clone() }, now);
        let state = self.state(call);
        state.tried.push(target.clone());
        let left = state.arrival.deadline.saturating_sub(now);
        let timeout = left.min(state.timeout);
        let arrival = state.arrival.clone();
        let protected = state.is_booking() && arrival.via != Via::SlotHop;
        let entered = state.in_ledger;
        invariant::hold(!protected || entered, "entry-before-dispatch", || {
            format!("request {} has no ledger entry", arrival.request)
        });
        self.quarantine.started(arrival.fingerprint, &target, now);
        self.selector.started(&target, now);
        self.note(Some(&arrival.request), EventKind::Dispatched { target: target.clone() });
        self.out.push(Action::Dispatch { address, attempt, call, target, timeout });
    }

    /// Waits for a slot of this host's own targets, or gets its final answer at once.
    fn enqueue(
        &mut self,
        call: CallId,
        service: &Service,
        error: ErrorKind,
        now: Moment,
        rng: &mut impl Rng,
    ) {
        let state = &self.calls[&call];
        if !self.waits_here(call, service, now) {
            let error = state.last_error.unwrap_or(error);
            return self.fail(call, error, now, rng);
        }
        let id = queue_id(call);
        let deadline = state.latest_start;
        let limit = self.queue_limit;
        let queue = self.queues.entry(service.name.clone());
        let queue = queue.or_insert_with(|| Queue::new(limit, EXPECTED_TIME));
        let pushed = queue.push(id, deadline, now);
        let expired = queue.expire(now);
        if pushed.is_err() {
            return self.fail(call, error, now, rng);
        }
        self.state(call).queued = true;
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

    /// A stopping host, or one that lost its targets, gets no slot free for what waits here: a
    /// request left in the queue would stand there until its deadline, and then be sent to a target
    /// with too little time, so that its caller hears `unknown`. It goes where the targets went; the
    /// holder of a booking's entry is told at once, and tries another owner.
    pub(super) fn move_queued(&mut self, now: Moment, rng: &mut impl Rng) {
        let Some(view) = self.view.clone() else { return };
        let is_stuck = |id: CallId, call: &Call| {
            let service = view.manifest.service(&call.arrival.service);
            call.queued && !service.is_some_and(|service| self.waits_here(id, service, now))
        };
        let calls = self.calls.iter().filter(|(id, call)| is_stuck(**id, call));
        let stuck: Vec<CallId> = calls.map(|(id, _)| *id).collect();
        for call in stuck {
            let service = self.calls[&call].arrival.service.clone();
            if let Some(queue) = self.queues.get_mut(&service) {
                queue.remove(&queue_id(call));
            }
            self.state(call).queued = false;
            self.place(call, now, rng);
        }
    }

    /// Offers freed slots to the requests that wait for one.
    pub(super) fn drain_queues(&mut self, now: Moment, rng: &mut impl Rng) {
        let Some(view) = self.view.clone() else { return };
        for service in &view.manifest.services {
            self.drain_queue(service, now, rng);
        }
    }

    fn drain_queue(&mut self, service: &Service, now: Moment, rng: &mut impl Rng) {
        let expired =
            self.queues.get_mut(&service.name).map(|queue| queue.expire(now)).unwrap_or_default();
        for id in expired {
            self.fail_queued(&id, ErrorKind::DeadlinePassed, now, rng);
        }
        let (mut free, _) = self.spare(service, now);
        while 0 < free {
            free -= 1;
            let next = self.queues.get_mut(&service.name).and_then(|queue| queue.pop(now));
            let Some(call) = next.and_then(|id| id.parse::<CallId>().ok()) else { return };
            if self.calls.contains_key(&call) {
                self.state(call).queued = false;
                self.place(call, now, rng);
            }
        }
    }
}

/// Requests wait under their call number: the ids that callers choose may come twice.
pub(super) fn queue_id(call: CallId) -> RequestId {
    call.to_string().into()
}
