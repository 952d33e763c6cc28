//! End of an attempt: releases the slot, then answers the caller or starts another attempt.

use rand::Rng;

use super::{
    Answer, AttemptId, CallId, Outcome, Router, Via,
    call::{Attempt, Destination},
    route::queue_id,
};
use crate::{
    base::invariant,
    ledger::{ExecutionOutcome, KeptAnswer},
    prelude::*,
    selection::HealthSignal,
    shift::CompletedRequest,
    timeline::EventKind,
};

impl Router {
    pub(super) fn on_attempt_ended(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        now: Moment,
        rng: &mut impl Rng,
    ) {
        let Some(ended) = self.attempts.remove(&attempt) else { return };
        let Attempt { call, destination, .. } = &ended;
        self.release_and_report(*call, destination, &outcome, now);
        self.record_outcome_latency(&ended, &outcome);
        if self.calls.get_mut(call).is_some_and(|state| state.remove_attempt(attempt)) {
            self.handle_outcome(*call, destination, outcome, now, rng);
        }
        self.serve_queues(now, rng);
    }

    fn handle_outcome(
        &mut self,
        call: CallId,
        destination: &Destination,
        outcome: Outcome,
        now: Moment,
        rng: &mut impl Rng,
    ) {
        if self.awaits_other_attempt(call, &outcome, now) {
            return;
        }
        match outcome {
            Outcome::Answered { kept, .. } => {
                self.attempt_answered(call, destination, kept, now, rng)
            }
            Outcome::Failed { error, passed: true, .. } => self.fail(call, error, now, rng),
            Outcome::Failed { error, .. } => {
                self.attempt_failed(call, destination, error, now, rng)
            }
            Outcome::Interrupted { error, .. } => {
                self.attempt_interrupted(call, destination, error, now, rng)
            }
            Outcome::Refused { error, .. } => {
                self.attempt_refused(call, destination, error, now, rng)
            }
        }
    }

    /// Releases the slot and reports the outcome to the selector, the shift caps and the
    /// quarantine.
    fn release_and_report(
        &mut self,
        call: CallId,
        destination: &Destination,
        outcome: &Outcome,
        now: Moment,
    ) {
        let Some(target) = destination.target() else { return };
        let (signal, latency, error) = match outcome {
            Outcome::Answered { latency, .. } => (HealthSignal::Succeeded, *latency, None),
            Outcome::Failed { error, latency, .. }
            | Outcome::Interrupted { error, latency }
            | Outcome::Refused { error, latency } => {
                (signal_of(*error, destination), *latency, Some(*error))
            }
        };
        self.selector.record_end(target, signal, latency, now);
        let Some(state) = self.calls.get(&call) else {
            if let Destination::OwnTarget { slot, target } = destination {
                self.slots.release(target, *slot, now);
            }
            return;
        };
        let arrival = state.arrival.clone();
        let shifted = state.shifted || state.direct_shift;
        // Failed attempts are counted when the call ends: a region without a spare slot at one
        // target may have one at the next.
        if error.is_none() && !arrival.via.requests_slot() {
            let end = CompletedRequest { latency: Some(latency), refused: false, shifted };
            let home = self.home_region(&arrival);
            self.shift_limiter.record_completion(&arrival.service, &home, end, now);
        }
        let Destination::OwnTarget { slot, target } = destination else { return };
        self.slots.release(target, *slot, now);
        let crashed = error == Some(ErrorKind::DispatchLost);
        // Only a complete answer clears a suspect; a request that was shed or timed out may still
        // crash a target.
        if crashed || error.is_none() {
            let mark = self.quarantine.record_end(arrival.fingerprint, target, crashed, now);
            if let Some(mark) = mark {
                let fingerprint = format!("{:032x}", mark.fingerprint).into();
                self.record_timeline_event(
                    Some(&arrival.request),
                    EventKind::Quarantined { fingerprint },
                );
            }
        } else {
            self.quarantine.record_inconclusive_end(arrival.fingerprint, target);
        }
        self.record_timeline_event(
            Some(&arrival.request),
            EventKind::Ended { error, target: target.clone() },
        );
    }

    fn attempt_answered(
        &mut self,
        call: CallId,
        destination: &Destination,
        kept: Option<Arc<KeptAnswer>>,
        now: Moment,
        rng: &mut impl Rng,
    ) {
        let has_entry = self.call_mut(call).in_ledger;
        if has_entry {
            let end = kept.map_or(ExecutionOutcome::Unknown, ExecutionOutcome::Answered);
            self.end_ledger_entry(call, end, now, rng);
        }
        invariant::check(
            !has_entry || !matches!(destination, Destination::LedgerOwner),
            "one-owner-a-booking",
            || format!("call {call} has a ledger entry here but was sent to another owner"),
        );
        self.answer(call, Answer::Pass);
    }

    pub(super) fn attempt_failed(
        &mut self,
        call: CallId,
        destination: &Destination,
        error: ErrorKind,
        now: Moment,
        rng: &mut impl Rng,
    ) {
        // That this copy did not reach the owner says nothing about earlier copies. Told `not run`,
        // the caller would book again with a new key, and the request could run twice.
        if matches!(destination, Destination::LedgerOwner) {
            let reached = error.response().ran != Ran::No;
            let error = if reached { error } else { ErrorKind::OwnerUnreachable };
            return self.fail(call, error, now, rng);
        }
        self.retry_or_fail(call, error, now, rng);
    }

    /// Handles the refusal of a forwarded attempt by another host.
    fn attempt_refused(
        &mut self,
        call: CallId,
        destination: &Destination,
        error: ErrorKind,
        now: Moment,
        rng: &mut impl Rng,
    ) {
        if matches!(destination, Destination::LedgerOwner) {
            return self.fail(call, error, now, rng);
        }
        self.retry_or_fail(call, error, now, rng);
    }

    /// Starts another attempt if the error and the retry budget allow it; otherwise ends the call.
    fn retry_or_fail(&mut self, call: CallId, error: ErrorKind, now: Moment, rng: &mut impl Rng) {
        let not_run = error.response().ran == Ran::No;
        if not_run {
            self.undo_shift(call, now);
        }
        let state = self.call_mut(call);
        state.last_error = Some(error);
        let is_final = matches!(error, ErrorKind::Quarantined | ErrorKind::BodyTooLarge);
        let may_repeat = not_run || !state.is_booking();
        let is_hedge = state.arrival.via == Via::HedgeHop;
        let is_final = is_final || is_hedge || self.is_quarantined(call, now);
        if is_final || !may_repeat || !self.retry_budget.take_retry(now) {
            return self.fail(call, error, now, rng);
        }
        self.route(call, now, rng);
    }

    /// Handles the disconnection of a caller. A read is cancelled. A booking that was sent goes on:
    /// the ledger needs its outcome to answer the caller when it sends the booking again.
    pub(super) fn on_cancelled(&mut self, call: CallId, now: Moment, rng: &mut impl Rng) {
        let Some(state) = self.calls.get(&call) else { return };
        let is_running = !state.running_attempts.is_empty();
        if state.queued {
            let service = state.arrival.service.clone();
            if let Some(queue) = self.queues.get_mut(&service) {
                queue.remove(&queue_id(call));
            }
        }
        if state.is_booking() && is_running {
            return;
        }
        // Another copy of it is running, so `not run` would be untrue.
        if state.awaits_copy {
            let error = ErrorKind::DispatchTimeout;
            return self.answer(call, Answer::Error { error, retry_after: None });
        }
        if is_running {
            self.cancel_attempts(call, None, now);
            return self.fail(call, ErrorKind::StreamCut, now, rng);
        }
        self.fail(call, ErrorKind::DeadlinePassed, now, rng);
    }

    /// Answers the calls whose deadline has passed while they wait for another copy to end.
    pub(super) fn expire_waiting_copies(&mut self, now: Moment) {
        let expired: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.awaits_copy && call.arrival.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for call in expired {
            let error = ErrorKind::DispatchTimeout;
            self.answer(call, Answer::Error { error, retry_after: None });
        }
    }
}

fn signal_of(error: ErrorKind, destination: &Destination) -> HealthSignal {
    match error {
        // A hedge is refused even while slots are free: the refusal says nothing about the target.
        ErrorKind::NoSlots if destination.via() == Via::HedgeHop => HealthSignal::Cancelled,
        ErrorKind::Shed | ErrorKind::NoSlots | ErrorKind::NoTarget | ErrorKind::HostLeaving => {
            HealthSignal::Shed
        }
        _ => HealthSignal::Failed,
    }
}
