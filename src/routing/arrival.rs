//! Arrival of a request: it is refused, answered from the ledger, forwarded to the ledger's owner,
//! or routed to a target.

use rand::Rng;

use super::{
    Action, Answer, Arrival, AttemptId, CallId, Router, Via,
    call::{Attempt, Call, Destination, latest_start},
};
use crate::{
    base::invariant,
    ledger::{BeginOutcome, ExecutionOutcome, IdempotencyKey},
    manifest::ServiceKind,
    prelude::*,
    quarantine::RunMode,
    shift::{CompletedRequest, DirectQuery},
    timeline::EventKind,
    view::View,
};

impl Router {
    pub(super) fn on_arrived(&mut self, arrival: Arrival, now: Moment, rng: &mut impl Rng) {
        let call = arrival.call;
        let kind = EventKind::Arrived {
            hops: u8::from(arrival.via != Via::Caller),
            service: arrival.service.clone(),
        };
        self.record_timeline_event(Some(&arrival.request), kind);
        match self.check_arrival(&arrival, now) {
            Ok(state) => {
                self.calls.insert(call, state);
                self.admit(call, now, rng);
            }
            Err(error) => {
                let booking = arrival.may_have_run() && !self.is_repeatable(&arrival.service);
                let error = if booking { error.before_ledger() } else { error };
                self.refuse_before_admission(&arrival, error, rng);
            }
        }
    }

    /// Checks the request against the manifest, its deadline and this host's state, without regard
    /// to other requests.
    fn check_arrival(&self, arrival: &Arrival, now: Moment) -> Result<Call, ErrorKind> {
        let view = self.view.as_ref().ok_or(ErrorKind::NoManifest)?;
        if arrival.member != view.manifest.member {
            return Err(ErrorKind::OtherMember);
        }
        let service = view.manifest.service(&arrival.service);
        let manifest_error = match service {
            None => Some(ErrorKind::ServiceUnknown),
            Some(service) if service.max_body < arrival.body_len => Some(ErrorKind::BodyTooLarge),
            Some(_) => None,
        };
        let kind = service.map_or(ServiceKind::Booking, |service| service.kind);
        let booking = !kind.is_idempotent();
        // By this host's manifest the copy cannot run, but an earlier copy may have run under an
        // older manifest or that of the ledger's owner. So the ledger is still consulted; it says
        // `not run` only once its entry keeps every other copy from running.
        if let Some(error) = manifest_error.filter(|_| !(booking && arrival.names_ledger_entry())) {
            return Err(error);
        }
        // Only the ledger knows whether a late booking ran, so its deadline is not checked here.
        if arrival.deadline <= now && !booking {
            return Err(ErrorKind::DeadlinePassed);
        }
        if self.leaving && !booking {
            return Err(ErrorKind::HostLeaving);
        }
        if booking && arrival.key.is_none() {
            return Err(ErrorKind::KeyMissing);
        }
        if booking && arrival.binding.is_none() {
            return Err(ErrorKind::BindingMissing);
        }
        Ok(Call {
            arrival: arrival.clone(),
            attempts: 0,
            answer_begun: false,
            direct_shift: false,
            hedge_considered: false,
            in_ledger: false,
            interrupted: false,
            kind,
            last_error: None,
            latest_start: latest_start(arrival.deadline, now),
            queued: false,
            running_attempts: Vec::new(),
            shift_cap: service.map_or(0.0, |service| service.shift_cap),
            shifted: false,
            timeout: Duration::from_millis(service.map_or(0, |service| service.timeout_ms)),
            tried_targets: Vec::new(),
            shift_attempted: false,
            manifest_error,
            awaits_copy: false,
        })
    }

    fn is_repeatable(&self, service: &ServiceId) -> bool {
        let view = self.view.as_ref();
        let service = view.and_then(|view| view.manifest.service(service));
        service.is_some_and(|service| service.kind.is_idempotent())
    }

    fn refuse_before_admission(&mut self, arrival: &Arrival, error: ErrorKind, rng: &mut impl Rng) {
        self.record_timeline_event(Some(&arrival.request), EventKind::Refused { error });
        let answer = Answer::Error { error, retry_after: jittered_retry_after(error, rng) };
        self.actions.push(Action::Answer { answer, call: arrival.call });
    }

    fn admit(&mut self, call: CallId, now: Moment, rng: &mut impl Rng) {
        let state = &self.calls[&call];
        if state.is_booking() && state.arrival.via != Via::SlotHop {
            return self.admit_booking(call, now, rng);
        }
        if state.is_booking() && self.leaving {
            return self.fail(call, ErrorKind::HostLeaving, now, rng);
        }
        self.admit_new_request(call, now, rng);
    }

    /// Admits a request that may run at most once, by the ledger that its binding names.
    fn admit_booking(&mut self, call: CallId, now: Moment, rng: &mut impl Rng) {
        let arrival = &self.calls[&call].arrival;
        let (Some(binding), Some(key)) = (arrival.binding.clone(), arrival.key.clone()) else {
            return self.fail(call, ErrorKind::BindingMissing, now, rng);
        };
        let request = arrival.request.clone();
        match self.ledger.begin(&binding, &key, arrival.digest, &request, now) {
            BeginOutcome::Conflict => self.fail(call, ErrorKind::KeyConflict, now, rng),
            BeginOutcome::GenerationDropped => {
                self.fail(call, ErrorKind::GenerationDropped, now, rng)
            }
            BeginOutcome::Accepted => {
                self.call_mut(call).in_ledger = true;
                match self.calls[&call].manifest_error {
                    Some(error) => self.fail(call, error, now, rng),
                    None => self.admit_new_request(call, now, rng),
                }
            }
            BeginOutcome::Full => self.fail(call, ErrorKind::LedgerFull, now, rng),
            BeginOutcome::Kept(kept) => self.answer(call, Answer::Kept { kept }),
            BeginOutcome::AnswerNotKept { .. } => {
                self.fail(call, ErrorKind::AnswerNotKept, now, rng)
            }
            BeginOutcome::Refused => self.fail(call, ErrorKind::KeyRefused, now, rng),
            BeginOutcome::Running => self.call_mut(call).awaits_copy = true,
            BeginOutcome::Sealed => self.fail(call, ErrorKind::BindingClosed, now, rng),
            BeginOutcome::UnknownBinding => self.forward_to_owner(call, &binding, now, rng),
            BeginOutcome::OutcomeUnknown => self.fail(call, ErrorKind::DispatchLost, now, rng),
        }
    }

    /// Forwards to the host that the binding names, or to the one that adopted its ledger.
    fn forward_to_owner(
        &mut self,
        call: CallId,
        binding: &Binding,
        now: Moment,
        rng: &mut impl Rng,
    ) {
        // If a peer wrongly takes this host for the owner, forwarding could loop until the caller's
        // deadline. One ledger hop is enough, since the first host already looked up the owner.
        if self.calls[&call].arrival.via == Via::LedgerHop {
            return self.fail(call, ErrorKind::OwnerGone, now, rng);
        }
        if self.calls[&call].arrival.deadline <= now {
            return self.fail(call, ErrorKind::OwnerUnreachable, now, rng);
        }
        let owner = self.view.as_ref().and_then(|view| find_owner(view, binding));
        let Some((host, address)) = owner else {
            return self.fail(call, ErrorKind::OwnerGone, now, rng);
        };
        self.forward(call, host, address, Destination::LedgerOwner, now);
    }

    pub(super) fn forward(
        &mut self,
        call: CallId,
        host: HostId,
        address: SocketAddr,
        destination: Destination,
        now: Moment,
    ) {
        let attempt = self.start_attempt(call, destination.clone(), now);
        let state = &self.calls[&call];
        let timeout = state.arrival.deadline.saturating_sub(now);
        let request = state.arrival.request.clone();
        self.record_timeline_event(Some(&request), EventKind::Forwarded { to: host.clone() });
        let via = destination.via();
        self.actions.push(Action::Forward { address, attempt, call, host, timeout, via });
    }

    pub(super) fn start_attempt(
        &mut self,
        call: CallId,
        destination: Destination,
        now: Moment,
    ) -> AttemptId {
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        let state = self.call_mut(call);
        let is_first = state.attempts == 0;
        state.running_attempts.push(attempt);
        state.attempts += 1;
        state.queued = false;
        let (booking, running) = (state.is_booking(), state.running_attempts.len());
        self.attempts.insert(attempt, Attempt { call, is_first, destination, started_at: now });
        // Two attempts at a booking in progress could run it twice, whatever the ledger says.
        invariant::check(!booking || running == 1, "one-attempt-a-booking", || {
            format!("call {call} has {running} attempts in progress")
        });
        attempt
    }

    /// Admits a request that has not run before, if the quarantine and the shift caps allow it, and
    /// routes it.
    fn admit_new_request(&mut self, call: CallId, now: Moment, rng: &mut impl Rng) {
        let arrival = &self.calls[&call].arrival;
        if let RunMode::Refused { .. } = self.quarantine.run_mode(arrival.fingerprint, now) {
            return self.fail(call, ErrorKind::Quarantined, now, rng);
        }
        // A hedge is not a request of its own; if counted, it would add to the budget for others.
        if self.calls[&call].arrival.via == Via::HedgeHop {
            self.exclude_running_targets(call);
        } else {
            self.retry_budget.record_first_attempt(now);
        }
        if let Err(error) = self.admit_by_home_region(call, now) {
            return self.fail(call, error, now, rng);
        }
        self.route(call, now, rng);
    }

    /// Counts a request of this region's own callers. One from another region is admitted if that
    /// region has a live host, which decides about shifts, or if the shift cap has room.
    fn admit_by_home_region(&mut self, call: CallId, now: Moment) -> Result<(), ErrorKind> {
        let state = &self.calls[&call];
        if state.arrival.via.requests_slot() {
            return Ok(());
        }
        let view = self.view.clone().ok_or(ErrorKind::NoManifest)?;
        let home = self.home_region(&state.arrival);
        let service = state.arrival.service.clone();
        if home == view.own.region {
            self.shift_limiter.record_arrival(&service, &home, now);
            return Ok(());
        }
        // While the home region has a live host, that host decides about shifts of its callers and
        // this one only forwards the request there (`route` offers no other target).
        if view.hosts.iter().any(|host| host.region == home && !host.leaving) {
            return Ok(());
        }
        let baseline = view
            .baselines
            .iter()
            .find(|base| base.home == home && base.service == service)
            .map_or(0.0, |base| base.rate);
        let receivers =
            view.hosts.iter().filter(|host| host.region != home && !host.leaving).count();
        let query = DirectQuery {
            baseline,
            cap: state.shift_cap,
            home: home.clone(),
            receivers: u32::try_from(receivers).unwrap_or(u32::MAX),
            service: service.clone(),
        };
        if !self.shift_limiter.allow_direct(&query, now) {
            return Err(ErrorKind::CapReached);
        }
        let request = state.arrival.request.clone();
        let state = self.call_mut(call);
        state.direct_shift = true;
        state.shift_attempted = true;
        self.record_timeline_event(Some(&request), EventKind::Shifted { home, service });
        Ok(())
    }

    /// The home region of a request's caller; this host's own if no client block contains it.
    pub(super) fn home_region(&self, arrival: &Arrival) -> RegionId {
        let own = self.view.as_ref().map(|view| &view.own.region);
        self.blocks.home_region(arrival.client).or(own).cloned().unwrap_or_else(|| "".into())
    }

    /// Ends a call with an error, and tells the ledger whether that proves that it did not run.
    pub(super) fn fail(&mut self, call: CallId, error: ErrorKind, now: Moment, rng: &mut impl Rng) {
        let Some(state) = self.calls.get(&call) else { return };
        let error = state.final_error(error);
        if state.in_ledger {
            let end = if error.response().ran == Ran::No {
                ExecutionOutcome::NotRun
            } else {
                ExecutionOutcome::Unknown
            };
            self.end_ledger_entry(call, end, now, rng);
        }
        self.record_failed_shift(call, error, now);
        let retry_after = self.retry_after(call, error, now, rng);
        self.answer(call, Answer::Error { error, retry_after });
    }

    /// Reports a shift that failed after all attempts, which lowers the number of further shifts.
    fn record_failed_shift(&mut self, call: CallId, error: ErrorKind, now: Moment) {
        let state = &self.calls[&call];
        if !state.shift_attempted {
            return;
        }
        let home = self.home_region(&state.arrival);
        let service = state.arrival.service.clone();
        let undo = state.direct_shift && error.response().ran == Ran::No;
        let refused = error == ErrorKind::NoSlots;
        let end = CompletedRequest { latency: None, refused, shifted: true };
        self.shift_limiter.record_completion(&service, &home, end, now);
        if undo {
            self.shift_limiter.refund_direct(&service, &home, now);
        }
    }

    /// Tells the ledger how a request ended, and admits the copies that wait for it.
    pub(super) fn end_ledger_entry(
        &mut self,
        call: CallId,
        end: ExecutionOutcome,
        now: Moment,
        rng: &mut impl Rng,
    ) {
        let state = self.call_mut(call);
        state.in_ledger = false;
        let (Some(binding), Some(key)) = (state.arrival.binding.clone(), state.arrival.key.clone())
        else {
            return;
        };
        self.ledger.end(&binding, &key, end, now);
        for waiter in self.waiters(&binding, &key) {
            self.call_mut(waiter).awaits_copy = false;
            self.admit_booking(waiter, now, rng);
        }
    }

    fn waiters(&self, binding: &Binding, key: &IdempotencyKey) -> Vec<CallId> {
        let is_waiting = |call: &Call| {
            call.awaits_copy
                && call.arrival.binding.as_ref() == Some(binding)
                && call.arrival.key.as_ref() == Some(key)
        };
        self.calls.iter().filter(|(_, call)| is_waiting(call)).map(|(id, _)| *id).collect()
    }

    fn retry_after(
        &self,
        call: CallId,
        error: ErrorKind,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<Duration> {
        let Some(state) = self.calls.get(&call) else { return jittered_retry_after(error, rng) };
        if error != ErrorKind::CapReached {
            return jittered_retry_after(error, rng);
        }
        let home = self.blocks.home_region(state.arrival.client)?;
        Some(self.shift_limiter.retry_after(&state.arrival.service, home, now, rng))
    }

    pub(super) fn call_mut(&mut self, call: CallId) -> &mut Call {
        self.calls.get_mut(&call).expect("only ids of calls without a final answer are passed")
    }
}

/// The minimum from the error's row plus jitter, so that callers refused together don't all retry
/// at the same time.
fn jittered_retry_after(error: ErrorKind, rng: &mut impl Rng) -> Option<Duration> {
    error.response().retry_after.map(|least| least.mul_f64(1.0 + rng.random::<f64>()))
}

fn find_owner(view: &View, binding: &Binding) -> Option<(HostId, SocketAddr)> {
    let incarnation = binding.incarnation;
    view.hosts
        .iter()
        .filter(|host| host.id != view.own.id)
        .find(|host| host.incarnation == incarnation || host.adopted.contains(&incarnation))
        .map(|host| (host.id.clone(), host.address))
}
