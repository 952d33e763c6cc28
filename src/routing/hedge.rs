//! Hedged reads: a second attempt in parallel with a slow one. The first complete answer wins.

use rand::Rng;

use super::{
    Action, AttemptId, CallId, Outcome, Router, Via,
    call::{Attempt, Call, Destination},
    route::{MAX_ATTEMPTS, MIN_SERVICE_TIME, ReachableTarget},
};
use crate::{
    manifest::Service,
    prelude::*,
    quarantine::RunMode,
    selection::{Candidate, HealthSignal, Tier},
    timeline::EventKind,
    view::View,
};

impl Router {
    /// Hedges each read that takes longer than the hedge delay of its service.
    pub(super) fn hedge_slow_reads(&mut self, now: Moment, rng: &mut impl Rng) {
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
            // Considered once per call. Repeated at each tick, it would take up all processor time
            // in an overload.
            self.call_mut(call).hedge_considered = true;
            self.start_hedge(call, now, rng);
        }
    }

    fn is_slow(&self, call: &Call, now: Moment) -> bool {
        let [attempt] = call.running_attempts[..] else { return false };
        if call.answer_begun
            || call.hedge_considered
            || !call.is_home_read()
            || MAX_ATTEMPTS <= call.attempts
        {
            return false;
        }
        let Some(delay) = self.read_latencies.hedge_delay(&call.arrival.service) else {
            return false;
        };
        let too_late = call.arrival.deadline <= now + MIN_SERVICE_TIME;
        let since = self.attempts.get(&attempt).map_or(now, |attempt| attempt.started_at);
        !too_late && delay < now.saturating_sub(since)
    }

    fn start_hedge(&mut self, call: CallId, now: Moment, rng: &mut impl Rng) {
        let Some(view) = self.view.clone() else { return };
        let state = &self.calls[&call];
        let Some(service) = view.manifest.service(&state.arrival.service) else { return };
        let home = self.home_region(&state.arrival);
        // A request that may have crashed a target must not run on two targets at once.
        let clear = self.quarantine.run_mode(state.arrival.fingerprint, now) == RunMode::Normal;
        if !clear || home != view.own.region {
            return;
        }
        let Some(option) = self.hedge_target(call, &view, service, now, rng) else { return };
        let slow = self.slow_target(call);
        let request = self.calls[&call].arrival.request.clone();
        // Without a budget, a service whose targets all slow down would get every request twice and
        // slow down further. Half of the budget is reserved for retries after failures.
        if !self.retry_budget.take_hedge(now) || !self.send(call, &view, option, Via::HedgeHop, now)
        {
            return;
        }
        if let Some(target) = slow {
            self.record_timeline_event(Some(&request), EventKind::Hedged { target });
        }
    }

    /// Chooses a target for the second attempt: one in this region that is not ejected and has a
    /// spare slot. For a target of another host, its owner applies the same rule.
    fn hedge_target(
        &mut self,
        call: CallId,
        view: &View,
        service: &Service,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<ReachableTarget> {
        let spare = self.has_spare_slots(view, &service.name, now);
        let mut options = self.reachable_targets(call, view, service, &view.own.region, now);
        options.retain(|option| {
            let Candidate { target, tier, .. } = &option.candidate;
            let in_region = *tier != Tier::Foreign;
            in_region && (spare || option.peer.is_some()) && !self.selector.is_ejected(target, now)
        });
        let candidates: Vec<Candidate> =
            options.iter().map(|option| option.candidate.clone()).collect();
        let chosen = self.selector.pick(&service.name, &candidates, now, rng)?;
        Some(options.swap_remove(chosen))
    }

    fn slow_target(&self, call: CallId) -> Option<TargetId> {
        let attempt = self.calls[&call].running_attempts.first()?;
        self.attempts.get(attempt)?.destination.target().cloned()
    }

    /// Excludes the targets on which this host already runs the same request. The host that sent
    /// both attempts names targets, but their owner chooses. It could choose the slow target again,
    /// since that one looks fast until a request on it has ended.
    pub(super) fn exclude_running_targets(&mut self, call: CallId) {
        let request = &self.calls[&call].arrival.request;
        let same_request = self.attempts.values().filter(|attempt| {
            self.calls.get(&attempt.call).is_some_and(|other| other.arrival.request == *request)
        });
        let tried =
            same_request.filter_map(|attempt| attempt.destination.target().cloned()).collect();
        self.call_mut(call).tried_targets = tried;
    }

    /// Cancels the other attempt when the head of this one's answer is passed to the caller.
    pub(super) fn on_answer_begun(&mut self, attempt: AttemptId, now: Moment) {
        let Some(call) = self.attempts.get(&attempt).map(|attempt| attempt.call) else { return };
        if !self.calls.contains_key(&call) {
            return;
        }
        self.cancel_attempts(call, Some(attempt), now);
        self.call_mut(call).answer_begun = true;
    }

    /// Whether a call whose attempt failed has another one to wait for. Cancels the other attempt
    /// after a complete answer or a crash.
    pub(super) fn awaits_other_attempt(
        &mut self,
        call: CallId,
        outcome: &Outcome,
        now: Moment,
    ) -> bool {
        let error = match outcome {
            Outcome::Answered { .. } => None,
            Outcome::Failed { error, .. }
            | Outcome::Interrupted { error, .. }
            | Outcome::Refused { error, .. } => Some(*error),
        };
        // After a complete answer the other attempt is useless. After a crash the request is a
        // suspect: it must not run beside other requests, and is routed again to run alone.
        if error.is_none_or(|error| error == ErrorKind::DispatchLost) {
            self.cancel_attempts(call, None, now);
            return false;
        }
        let state = self.call_mut(call);
        if state.running_attempts.is_empty() {
            return false;
        }
        state.last_error = error;
        true
    }

    /// Cancels the attempts of a call, except `keep`.
    pub(super) fn cancel_attempts(&mut self, call: CallId, keep: Option<AttemptId>, now: Moment) {
        let running = self.call_mut(call).running_attempts.clone();
        for attempt in running.into_iter().filter(|attempt| Some(*attempt) != keep) {
            self.cancel_attempt(attempt, now);
        }
    }

    fn cancel_attempt(&mut self, attempt: AttemptId, now: Moment) {
        let Some(stopped) = self.attempts.remove(&attempt) else { return };
        self.call_mut(stopped.call).remove_attempt(attempt);
        self.actions.push(Action::Cancel { attempt });
        let age = self.waiting_time(&stopped, now);
        self.record_read_latency(&stopped, age);
        if let Some(target) = stopped.destination.target() {
            self.selector.record_end(target, HealthSignal::Cancelled, age, now);
        }
        let Destination::OwnTarget { slot, target } = &stopped.destination else { return };
        let fingerprint = self.calls[&stopped.call].arrival.fingerprint;
        self.quarantine.record_inconclusive_end(fingerprint, target);
        self.slots.release(target, *slot, now);
    }

    /// Time that a cancelled attempt waited for its answer; zero if the answer had begun. After
    /// that, the duration depends on how fast the caller reads, and would be taken for the target's
    /// latency.
    fn waiting_time(&self, stopped: &Attempt, now: Moment) -> Duration {
        let begun = self.calls.get(&stopped.call).is_some_and(|call| call.answer_begun);
        if begun { Duration::ZERO } else { now.saturating_sub(stopped.started_at) }
    }

    /// Records the latency of an attempt that was answered or timed out.
    pub(super) fn record_outcome_latency(&mut self, ended: &Attempt, outcome: &Outcome) {
        match outcome {
            Outcome::Answered { latency, .. }
            | Outcome::Failed { error: ErrorKind::DispatchTimeout, latency, .. } => {
                self.record_read_latency(ended, *latency);
            }
            _ => {}
        }
    }

    /// Records the latency of a first attempt. Second attempts are left out, since they would count
    /// slow requests twice. Cancelled first attempts are included: without them the estimate would
    /// fall with each hedge that wins, and hedges would start earlier and earlier.
    fn record_read_latency(&mut self, attempt: &Attempt, took: Duration) {
        let Some(call) = self.calls.get(&attempt.call) else { return };
        if attempt.is_first && call.is_home_read() && !took.is_zero() {
            self.read_latencies.record(&call.arrival.service, took);
        }
    }
}
