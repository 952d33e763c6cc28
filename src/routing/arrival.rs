//! A request arrives: refused, answered from the ledger, carried to its owner, or placed.

use rand::Rng;

use super::{
    Action, Answer, Arrival, AttemptId, CallId, Router, Via,
    call::{Attempt, Call, Place, latest_start},
};
use crate::{
    base::invariant,
    ledger::{Begin, End, Key},
    manifest::ServiceKind,
    prelude::*,
    quarantine::Standing,
    shift::{DirectAsk, ShiftEnd},
    timeline::EventKind,
    view::View,
};

impl Router {
    pub(super) fn arrived(&mut self, arrival: Arrival, now: Moment, rng: &mut impl Rng) {
        let call = arrival.call;
        let kind = EventKind::Arrived {
            hops: u8::from(arrival.via != Via::Caller),
            service: arrival.service.clone(),
        };
        self.note(Some(&arrival.request), kind);
        match self.check(&arrival, now) {
            Ok(state) => {
                self.calls.insert(call, state);
                self.admit(call, now, rng);
            }
            Err(error) => {
                let booking = arrival.may_have_run() && !self.is_repeatable(&arrival.service);
                let error = if booking { error.before_ledger() } else { error };
                self.refuse_unseen(&arrival, error, rng);
            }
        }
    }

    /// The checks that need no state of other requests.
    fn check(&self, arrival: &Arrival, now: Moment) -> Result<Call, ErrorKind> {
        let view = self.view.as_ref().ok_or(ErrorKind::NoManifest)?;
        if arrival.member != view.manifest.member {
            return Err(ErrorKind::OtherMember);
        }
        let service = view.manifest.service(&arrival.service);
        let unfit = match service {
            None => Some(ErrorKind::ServiceUnknown),
            Some(service) if service.max_body < arrival.body_len => Some(ErrorKind::BodyTooLarge),
            Some(_) => None,
        };
        let kind = service.map_or(ServiceKind::Booking, |service| service.kind);
        let booking = !kind.is_repeatable();
        // By the manifest of this host the copy cannot run; by an older one, or by that of the
        // owner, an earlier copy may have. So its ledger is asked all the same, and says `not run`
        // only once its entry keeps every other copy from running.
        if let Some(error) = unfit.filter(|_| !(booking && arrival.names_ledger_entry())) {
            return Err(error);
        }
        // Whether a late booking ran is for its ledger to say, not for its deadline.
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
            begun: false,
            direct: false,
            hedged: false,
            in_ledger: false,
            interrupted: false,
            kind,
            last_error: None,
            latest_start: latest_start(arrival.deadline, now),
            queued: false,
            running: Vec::new(),
            shift_cap: service.map_or(0.0, |service| service.shift_cap),
            shifted: false,
            timeout: Duration::from_millis(service.map_or(0, |service| service.timeout_ms)),
            tried: Vec::new(),
            tried_away: false,
            unfit,
            waiting: false,
        })
    }

    fn is_repeatable(&self, service: &ServiceId) -> bool {
        let view = self.view.as_ref();
        let service = view.and_then(|view| view.manifest.service(service));
        service.is_some_and(|service| service.kind.is_repeatable())
    }

    fn refuse_unseen(&mut self, arrival: &Arrival, error: ErrorKind, rng: &mut impl Rng) {
        self.note(Some(&arrival.request), EventKind::Refused { error });
        let answer = Answer::Error { error, retry_after: spread(error, rng) };
        self.out.push(Action::Answer { answer, call: arrival.call });
    }

    fn admit(&mut self, call: CallId, now: Moment, rng: &mut impl Rng) {
        let state = &self.calls[&call];
        if state.is_booking() && state.arrival.via != Via::SlotHop {
            return self.admit_booking(call, now, rng);
        }
        if state.is_booking() && self.leaving {
            return self.fail(call, ErrorKind::HostLeaving, now, rng);
        }
        self.admit_fresh(call, now, rng);
    }

    /// A request that may run at most once goes through the ledger that its binding names.
    fn admit_booking(&mut self, call: CallId, now: Moment, rng: &mut impl Rng) {
        let arrival = &self.calls[&call].arrival;
        let (Some(binding), Some(key)) = (arrival.binding.clone(), arrival.key.clone()) else {
            return self.fail(call, ErrorKind::BindingMissing, now, rng);
        };
        let request = arrival.request.clone();
        match self.ledger.begin(&binding, &key, arrival.digest, &request, now) {
            Begin::Conflict => self.fail(call, ErrorKind::KeyConflict, now, rng),
            Begin::Dropped => self.fail(call, ErrorKind::GenerationDropped, now, rng),
            Begin::Fresh => {
                self.state(call).in_ledger = true;
                match self.calls[&call].unfit {
                    Some(error) => self.fail(call, error, now, rng),
                    None => self.admit_fresh(call, now, rng),
                }
            }
            Begin::Full => self.fail(call, ErrorKind::LedgerFull, now, rng),
            Begin::Kept(kept) => self.answer(call, Answer::Kept { kept }),
            Begin::KeptFact { .. } => self.fail(call, ErrorKind::AnswerNotKept, now, rng),
            Begin::Refused => self.fail(call, ErrorKind::KeyRefused, now, rng),
            Begin::Running => self.state(call).waiting = true,
            Begin::Sealed => self.fail(call, ErrorKind::BindingClosed, now, rng),
            Begin::Stranger => self.carry_to_owner(call, &binding, now, rng),
            Begin::Unknown => self.fail(call, ErrorKind::DispatchLost, now, rng),
        }
    }

    /// Forwards to the host that the binding names, or to the one that took over its ledger.
    fn carry_to_owner(&mut self, call: CallId, binding: &Binding, now: Moment, rng: &mut impl Rng) {
        // A host that a peer took for the owner, and that is not, would send the request round
        // and round: the caller would wait until its deadline. One ledger hop is enough, since
        // the first host already looked for the owner.
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
        self.forward(call, host, address, Place::Owner, now);
    }

    pub(super) fn forward(
        &mut self,
        call: CallId,
        host: HostId,
        address: SocketAddr,
        place: Place,
        now: Moment,
    ) {
        let attempt = self.new_attempt(call, place.clone(), now);
        let state = &self.calls[&call];
        let timeout = state.arrival.deadline.saturating_sub(now);
        let request = state.arrival.request.clone();
        self.note(Some(&request), EventKind::Forwarded { to: host.clone() });
        let via = place.via();
        self.out.push(Action::Forward { address, attempt, call, host, timeout, via });
    }

    pub(super) fn new_attempt(&mut self, call: CallId, place: Place, now: Moment) -> AttemptId {
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        let state = self.state(call);
        let first = state.attempts == 0;
        state.running.push(attempt);
        state.attempts += 1;
        state.queued = false;
        let (booking, running) = (state.is_booking(), state.running.len());
        self.attempts.insert(attempt, Attempt { call, first, place, since: now });
        // Two copies of a booking under way would run it twice, whatever the ledger says.
        invariant::hold(!booking || running == 1, "one-attempt-a-booking", || {
            format!("call {call} has {running}")
        });
        attempt
    }

    /// A request that has not run before: quarantine and shift caps decide, then it is placed.
    fn admit_fresh(&mut self, call: CallId, now: Moment, rng: &mut impl Rng) {
        let arrival = &self.calls[&call].arrival;
        if let Standing::Refused { .. } = self.quarantine.standing(arrival.fingerprint, now) {
            return self.fail(call, ErrorKind::Quarantined, now, rng);
        }
        // A hedge is no request of its own: counted, it would earn budget for the next one.
        if self.calls[&call].arrival.via == Via::HedgeHop {
            self.avoid_rivals(call);
        } else {
            self.retries.noted(now);
        }
        if let Err(error) = self.count_home(call, now) {
            return self.fail(call, error, now, rng);
        }
        self.place(call, now, rng);
    }

    /// Counts a caller's request at home, or asks whether a caller from elsewhere may be served.
    fn count_home(&mut self, call: CallId, now: Moment) -> Result<(), ErrorKind> {
        let state = &self.calls[&call];
        if state.arrival.via.requests_slot() {
            return Ok(());
        }
        let view = self.view.clone().ok_or(ErrorKind::NoManifest)?;
        let home = self.home_or_own(&state.arrival);
        let service = state.arrival.service.clone();
        if home == view.own.region {
            self.caps.arrived(&service, &home, now);
            return Ok(());
        }
        // While a host of the home region lives, that host decides about its callers' shifts and
        // this one only carries the request there (`place` offers nothing else).
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
        let ask = DirectAsk {
            baseline,
            cap: state.shift_cap,
            home: home.clone(),
            receivers: u32::try_from(receivers).unwrap_or(u32::MAX),
            service: service.clone(),
        };
        if !self.caps.allow_direct(&ask, now) {
            return Err(ErrorKind::CapReached);
        }
        let request = state.arrival.request.clone();
        let state = self.state(call);
        state.direct = true;
        state.tried_away = true;
        self.note(Some(&request), EventKind::Shifted { home, service });
        Ok(())
    }

    /// The home region of a request's caller; this host's own if no client block holds it.
    pub(super) fn home_or_own(&self, arrival: &Arrival) -> RegionId {
        let own = self.view.as_ref().map(|view| &view.own.region);
        self.blocks.home(arrival.client).or(own).cloned().unwrap_or_else(|| "".into())
    }

    /// Ends a call with an error, telling the ledger whether that proves it did not run.
    pub(super) fn fail(&mut self, call: CallId, error: ErrorKind, now: Moment, rng: &mut impl Rng) {
        let Some(state) = self.calls.get(&call) else { return };
        let error = state.final_error(error);
        if state.in_ledger {
            let end = if error.row().ran == Ran::No { End::NotRun } else { End::Unknown };
            self.close_entry(call, end, now, rng);
        }
        self.note_lost_shift(call, error, now);
        let retry_after = self.retry_after(call, error, now, rng);
        self.answer(call, Answer::Error { error, retry_after });
    }

    /// A shift that came to nothing, after all attempts, makes the next ones fewer.
    fn note_lost_shift(&mut self, call: CallId, error: ErrorKind, now: Moment) {
        let state = &self.calls[&call];
        if !state.tried_away {
            return;
        }
        let home = self.home_or_own(&state.arrival);
        let service = state.arrival.service.clone();
        let undo = state.direct && error.row().ran == Ran::No;
        let refused = error == ErrorKind::NoSlots;
        let end = ShiftEnd { latency: None, refused, shifted: true };
        self.caps.ended(&service, &home, end, now);
        if undo {
            self.caps.undo_direct(&service, &home, now);
        }
    }

    /// Tells the ledger how a request ended, and those who wait for it.
    pub(super) fn close_entry(&mut self, call: CallId, end: End, now: Moment, rng: &mut impl Rng) {
        let state = self.state(call);
        state.in_ledger = false;
        let (Some(binding), Some(key)) = (state.arrival.binding.clone(), state.arrival.key.clone())
        else {
            return;
        };
        self.ledger.end(&binding, &key, end, now);
        for waiter in self.waiters(&binding, &key) {
            self.state(waiter).waiting = false;
            self.admit_booking(waiter, now, rng);
        }
    }

    fn waiters(&self, binding: &Binding, key: &Key) -> Vec<CallId> {
        let is_waiting = |call: &Call| {
            call.waiting
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
        let Some(state) = self.calls.get(&call) else { return spread(error, rng) };
        if error != ErrorKind::CapReached {
            return spread(error, rng);
        }
        let home = self.blocks.home(state.arrival.client)?;
        Some(self.caps.retry_after(&state.arrival.service, home, now, rng))
    }

    pub(super) fn state(&mut self, call: CallId) -> &mut Call {
        self.calls.get_mut(&call).expect("callers hold the id of a call that has no answer yet")
    }
}

/// The table's least time, spread so that callers that were refused together come back apart.
fn spread(error: ErrorKind, rng: &mut impl Rng) -> Option<Duration> {
    error.row().retry_after.map(|least| least.mul_f64(1.0 + rng.random::<f64>()))
}

fn find_owner(view: &View, binding: &Binding) -> Option<(HostId, SocketAddr)> {
    let incarnation = binding.incarnation;
    view.hosts
        .iter()
        .filter(|host| host.id != view.own.id)
        .find(|host| host.incarnation == incarnation || host.adopted.contains(&incarnation))
        .map(|host| (host.id.clone(), host.address))
}
