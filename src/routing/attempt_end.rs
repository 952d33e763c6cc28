//! An attempt ends: the slot is released, the caller answered, or another attempt made.

use rand::Rng;

use super::{
    Answer, AttemptId, CallId, Outcome, Router, Via,
    call::{Attempt, Place},
    route::queue_id,
};
use crate::{
    base::invariant,
    ledger::{End, KeptAnswer},
    prelude::*,
    selection::Signal,
    shift::ShiftEnd,
    timeline::EventKind,
};

impl Router {
    pub(super) fn ended(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        now: Moment,
        rng: &mut impl Rng,
    ) {
        let Some(ended) = self.attempts.remove(&attempt) else { return };
        let Attempt { call, place, .. } = &ended;
        self.release(*call, place, &outcome, now);
        self.note_pace(&ended, &outcome);
        if self.calls.get_mut(call).is_some_and(|state| state.end_attempt(attempt)) {
            self.settle(*call, place, outcome, now, rng);
        }
        self.drain_queues(now, rng);
    }

    fn settle(
        &mut self,
        call: CallId,
        place: &Place,
        outcome: Outcome,
        now: Moment,
        rng: &mut impl Rng,
    ) {
        if self.other_goes_on(call, &outcome, now) {
            return;
        }
        match outcome {
            Outcome::Answered { kept, .. } => self.answered(call, place, kept, now, rng),
            Outcome::Failed { error, passed: true, .. } => self.fail(call, error, now, rng),
            Outcome::Failed { error, .. } => self.failed(call, place, error, now, rng),
            Outcome::Interrupted { error, .. } => self.interrupted(call, place, error, now, rng),
            Outcome::Refused { error, .. } => self.refused(call, place, error, now, rng),
        }
    }

    /// Gives the slot back and tells the slices what the attempt showed.
    fn release(&mut self, call: CallId, place: &Place, outcome: &Outcome, now: Moment) {
        let Some(target) = place.target() else { return };
        let (signal, latency, error) = match outcome {
            Outcome::Answered { latency, .. } => (Signal::Succeeded, *latency, None),
            Outcome::Failed { error, latency, .. }
            | Outcome::Interrupted { error, latency }
            | Outcome::Refused { error, latency } => {
                (signal_of(*error, place), *latency, Some(*error))
            }
        };
        self.selector.ended(target, signal, latency, now);
        let Some(state) = self.calls.get(&call) else {
            if let Place::Own { slot, target } = place {
                self.slots.release(target, *slot, now);
            }
            return;
        };
        let arrival = state.arrival.clone();
        let shifted = state.shifted || state.direct;
        // Attempts that fail are judged by how the call ends: a receiver that has no spare slot
        // at one target may have some at the next.
        if error.is_none() && !arrival.via.requests_slot() {
            let end = ShiftEnd { latency: Some(latency), refused: false, shifted };
            let home = self.home_or_own(&arrival);
            self.caps.ended(&arrival.service, &home, end, now);
        }
        let Place::Own { slot, target } = place else { return };
        self.slots.release(target, *slot, now);
        let crashed = error == Some(ErrorKind::DispatchLost);
        // Only a whole answer clears a suspect; a shed or timed out run proves nothing.
        if crashed || error.is_none() {
            let mark = self.quarantine.ended(arrival.fingerprint, target, crashed, now);
            if let Some(mark) = mark {
                let fingerprint = format!("{:032x}", mark.fingerprint).into();
                self.note(Some(&arrival.request), EventKind::Quarantined { fingerprint });
            }
        } else {
            self.quarantine.abandoned(arrival.fingerprint, target);
        }
        self.note(Some(&arrival.request), EventKind::Ended { error, target: target.clone() });
    }

    fn answered(
        &mut self,
        call: CallId,
        place: &Place,
        kept: Option<Arc<KeptAnswer>>,
        now: Moment,
        rng: &mut impl Rng,
    ) {
        let entered = self.state(call).in_ledger;
        if entered {
            let end = kept.map_or(End::Unknown, End::Answered);
            self.close_entry(call, end, now, rng);
        }
        invariant::hold(!entered || !matches!(place, Place::Owner), "one-owner-a-booking", || {
            format!("call {call} has an entry here and went to another owner")
        });
        self.answer(call, Answer::Pass);
    }

    pub(super) fn failed(
        &mut self,
        call: CallId,
        place: &Place,
        error: ErrorKind,
        now: Moment,
        rng: &mut impl Rng,
    ) {
        // That this copy did not reach the owner says nothing about earlier copies: told `not run`,
        // the caller would book again with a new key, and the request would run twice.
        if matches!(place, Place::Owner) {
            let reached = error.row().ran != Ran::No;
            let error = if reached { error } else { ErrorKind::OwnerUnreachable };
            return self.fail(call, error, now, rng);
        }
        self.try_again(call, error, now, rng);
    }

    /// Another host said why it did not serve the request.
    fn refused(
        &mut self,
        call: CallId,
        place: &Place,
        error: ErrorKind,
        now: Moment,
        rng: &mut impl Rng,
    ) {
        if matches!(place, Place::Owner) {
            return self.fail(call, error, now, rng);
        }
        self.try_again(call, error, now, rng);
    }

    /// Another attempt, where the error allows one; else the final answer.
    fn try_again(&mut self, call: CallId, error: ErrorKind, now: Moment, rng: &mut impl Rng) {
        let not_run = error.row().ran == Ran::No;
        if not_run {
            self.unshift(call, now);
        }
        let state = self.state(call);
        state.last_error = Some(error);
        let hopeless = matches!(error, ErrorKind::Quarantined | ErrorKind::BodyTooLarge);
        let may_repeat = not_run || !state.is_booking();
        let alone = state.arrival.via == Via::HedgeHop;
        let hopeless = hopeless || alone || self.is_refused(call, now);
        if hopeless || !may_repeat || !self.retries.take(now) {
            return self.fail(call, error, now, rng);
        }
        self.place(call, now, rng);
    }

    /// The caller is gone. A read is stopped where it is. A booking that was sent goes on: only
    /// its end tells the ledger what to answer when the caller sends it again.
    pub(super) fn cancelled(&mut self, call: CallId, now: Moment, rng: &mut impl Rng) {
        let Some(state) = self.calls.get(&call) else { return };
        let is_running = !state.running.is_empty();
        if state.queued {
            let service = state.arrival.service.clone();
            if let Some(queue) = self.queues.get_mut(&service) {
                queue.remove(&queue_id(call));
            }
        }
        if state.is_booking() && is_running {
            return;
        }
        // Another copy of it is running: "not run" would be untrue, whoever still hears it.
        if state.waiting {
            let error = ErrorKind::DispatchTimeout;
            return self.answer(call, Answer::Error { error, retry_after: None });
        }
        if is_running {
            self.stop_attempts(call, None, now);
            return self.fail(call, ErrorKind::StreamCut, now, rng);
        }
        self.fail(call, ErrorKind::DeadlinePassed, now, rng);
    }

    /// Answers the calls whose time is over while they wait for another call's end.
    pub(super) fn expire_calls(&mut self, now: Moment) {
        let over: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.waiting && call.arrival.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for call in over {
            let error = ErrorKind::DispatchTimeout;
            self.answer(call, Answer::Error { error, retry_after: None });
        }
    }
}

fn signal_of(error: ErrorKind, place: &Place) -> Signal {
    match error {
        // A hedge is refused while there still are slots: it says nothing of the target.
        ErrorKind::NoSlots if place.via() == Via::HedgeHop => Signal::Cancelled,
        ErrorKind::Shed | ErrorKind::NoSlots | ErrorKind::NoTarget | ErrorKind::HostLeaving => {
            Signal::Shed
        }
        _ => Signal::Failed,
    }
}
