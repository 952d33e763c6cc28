//! Hedged reads: a second attempt beside one that takes long; the first whole answer wins.

use rand::Rng;

use super::{
    Action, AttemptId, CallId, Outcome, Router, Via,
    call::{Attempt, Call, Place},
    route::{EXPECTED_TIME, MAX_ATTEMPTS, Way},
};
use crate::{
    manifest::Service,
    prelude::*,
    quarantine::Standing,
    selection::{Candidate, Signal, Tier},
    timeline::EventKind,
    view::View,
};

impl Router {
    /// Makes a second attempt at each read that takes longer than usual.
    pub(super) fn hedge_slow(&mut self, now: Moment, rng: &mut impl Rng) {
        if !self.tuning.hedge || self.leaving {
            return;
        }
        let slow: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| self.is_slow(call, now))
            .map(|(id, _)| *id)
            .collect();
        for call in slow {
            // Weighed once: asked again at each tick, an overload would be busy with this alone.
            self.state(call).hedged = true;
            self.hedge(call, now, rng);
        }
    }

    fn is_slow(&self, call: &Call, now: Moment) -> bool {
        let [attempt] = call.running[..] else { return false };
        if call.begun || call.hedged || !call.is_home_read() || MAX_ATTEMPTS <= call.attempts {
            return false;
        }
        let Some(usual) = self.paces.usual(&call.arrival.service) else { return false };
        let hopeless = call.arrival.deadline <= now + EXPECTED_TIME;
        let since = self.attempts.get(&attempt).map_or(now, |attempt| attempt.since);
        !hopeless && usual < now.saturating_sub(since)
    }

    fn hedge(&mut self, call: CallId, now: Moment, rng: &mut impl Rng) {
        let Some(view) = self.view.clone() else { return };
        let state = &self.calls[&call];
        let Some(service) = view.manifest.service(&state.arrival.service) else { return };
        let home = self.home_or_own(&state.arrival);
        // One that may have crashed a target must not run on two at a time.
        let clear = self.quarantine.standing(state.arrival.fingerprint, now) == Standing::Clear;
        if !clear || home != view.own.region {
            return;
        }
        let Some(way) = self.hedge_way(call, &view, service, now, rng) else { return };
        let slow = self.slow_target(call);
        let request = self.calls[&call].arrival.request.clone();
        // Beyond the budget, a service whose targets all slow down would be sent everything twice
        // and slow down more. Half of the budget is left to failures.
        if !self.retries.take_hedge(now) || !self.send(call, &view, way, Via::HedgeHop, now) {
            return;
        }
        if let Some(target) = slow {
            self.note(Some(&request), EventKind::Hedged { target });
        }
    }

    /// Where a second attempt may go: to a sound target of the region that has a slot to spare.
    /// The owner of another host's target decides for itself, by the same rule.
    fn hedge_way(
        &mut self,
        call: CallId,
        view: &View,
        service: &Service,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<Way> {
        let spare = self.takes_guest(view, &service.name, now);
        let mut ways = self.options(call, view, service, &view.own.region, now);
        ways.retain(|way| {
            let Candidate { target, tier, .. } = &way.candidate;
            let near = *tier != Tier::Foreign;
            near && (spare || way.peer.is_some()) && !self.selector.ejected(target, now)
        });
        let candidates: Vec<Candidate> = ways.iter().map(|way| way.candidate.clone()).collect();
        let chosen = self.selector.pick(&service.name, &candidates, now, rng)?;
        Some(ways.swap_remove(chosen))
    }

    fn slow_target(&self, call: CallId) -> Option<TargetId> {
        let attempt = self.calls[&call].running.first()?;
        self.attempts.get(attempt)?.place.target().cloned()
    }

    /// Keeps a hedge from the targets where this host already runs its request. The host that sent
    /// both names targets, but their owner chooses; it would choose the slow one again, which
    /// looks like a fast one until something on it has ended.
    pub(super) fn avoid_rivals(&mut self, call: CallId) {
        let request = &self.calls[&call].arrival.request;
        let rivals = self.attempts.values().filter(|attempt| {
            self.calls.get(&attempt.call).is_some_and(|rival| rival.arrival.request == *request)
        });
        let tried = rivals.filter_map(|attempt| attempt.place.target().cloned()).collect();
        self.state(call).tried = tried;
    }

    /// The head of an attempt's answer goes to the caller: the other attempt has lost.
    pub(super) fn begun(&mut self, attempt: AttemptId, now: Moment) {
        let Some(call) = self.attempts.get(&attempt).map(|attempt| attempt.call) else { return };
        if !self.calls.contains_key(&call) {
            return;
        }
        self.stop_attempts(call, Some(attempt), now);
        self.state(call).begun = true;
    }

    /// Whether a call whose attempt ended without an answer waits for its other attempt.
    pub(super) fn other_goes_on(&mut self, call: CallId, outcome: &Outcome, now: Moment) -> bool {
        let error = match outcome {
            Outcome::Answered { .. } => None,
            Outcome::Failed { error, .. }
            | Outcome::Interrupted { error, .. }
            | Outcome::Refused { error, .. } => Some(*error),
        };
        // After a whole answer the other attempt is of no use. After a crash the request is a
        // suspect: it must not go on beside innocent ones, and is placed again to run alone.
        if error.is_none_or(|error| error == ErrorKind::DispatchLost) {
            self.stop_attempts(call, None, now);
            return false;
        }
        let state = self.state(call);
        if state.running.is_empty() {
            return false;
        }
        state.last_error = error;
        true
    }

    /// Gives up the attempts of a call, but for the one to keep.
    pub(super) fn stop_attempts(&mut self, call: CallId, keep: Option<AttemptId>, now: Moment) {
        let running = self.state(call).running.clone();
        for attempt in running.into_iter().filter(|attempt| Some(*attempt) != keep) {
            self.stop(attempt, now);
        }
    }

    fn stop(&mut self, attempt: AttemptId, now: Moment) {
        let Some(stopped) = self.attempts.remove(&attempt) else { return };
        self.state(stopped.call).end_attempt(attempt);
        self.out.push(Action::Cancel { attempt });
        let age = self.wasted(&stopped, now);
        self.note_usual(&stopped, age);
        if let Some(target) = stopped.place.target() {
            self.selector.ended(target, Signal::Cancelled, age, now);
        }
        let Place::Own { slot, target } = &stopped.place else { return };
        let fingerprint = self.calls[&stopped.call].arrival.fingerprint;
        self.quarantine.abandoned(fingerprint, target);
        self.slots.release(target, *slot, now);
    }

    /// Time that a given-up attempt waited for its answer; none where the answer had begun. That
    /// one went on for as long as its caller read: a slow caller's time would pass for the target's.
    fn wasted(&self, stopped: &Attempt, now: Moment) -> Duration {
        let begun = self.calls.get(&stopped.call).is_some_and(|call| call.begun);
        if begun { Duration::ZERO } else { now.saturating_sub(stopped.since) }
    }

    /// Learns from an ended attempt how long reads usually take.
    pub(super) fn note_pace(&mut self, ended: &Attempt, outcome: &Outcome) {
        match outcome {
            Outcome::Answered { latency, .. }
            | Outcome::Failed { error: ErrorKind::DispatchTimeout, latency, .. } => {
                self.note_usual(ended, *latency);
            }
            _ => {}
        }
    }

    /// Second attempts are left out: they would count the slow requests twice. First ones that
    /// were given up are in, or what is usual would sink with each hedge that wins, and the next
    /// ones would start sooner and sooner.
    fn note_usual(&mut self, attempt: &Attempt, took: Duration) {
        let Some(call) = self.calls.get(&attempt.call) else { return };
        if attempt.first && call.is_home_read() && !took.is_zero() {
            self.paces.note(&call.arrival.service, took);
        }
    }
}
