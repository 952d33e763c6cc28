//! One request that was accepted: its attempts, with retries and hedging, and its outcome.

use std::{future::Future, pin::Pin, rc::Rc};

use futures::{StreamExt, stream::FuturesUnordered};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Access, Idempotency, Route, TrafficState, View,
    attempt::{AttemptOutcome, OutboundRequest, send_attempt},
    call_progress::{CallProgress, RETRY_AFTER_MIN},
    caller_io::Disconnect,
    place::{Placement, PlacementRequest, allows_region},
    relay::{RelayedRequest, RelayedResponse},
    relay_attempt::{RelayResult, send_relay},
    request_handler::check_access,
    request_log::{RequestLog, RequestOutcome},
    reservations::{Reservation, Reserved},
    response::{CallerResponse, host_response},
    slot_request::SlotRequest,
    team_limits::Admission,
};
use crate::{
    base::Ran,
    event_log::AttemptReason,
    placement::{Choice, ObjectTag, TargetTag},
    prelude::*,
};

/// A request is hedged to a second target after this many times the service's mean time.
const HEDGE_DELAY_FACTOR: f64 = 4.0;

/// Shortest time before a request is hedged.
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(350);

/// Number of unreachable targets after which a request is refused.
const MAX_UNREACHABLE_TARGETS: u32 = 3;

/// Number of hosts that are asked to serve a request, one after the other.
const MAX_RELAYS: usize = 3;

type Attempt = Pin<Box<dyn Future<Output = AttemptResult>>>;
type Attempts = FuturesUnordered<Attempt>;

/// A request that was accepted, with its attempts.
pub(super) struct Call {
    /// `None` for a request without a team.
    pub admission: Option<Admission>,
    pub log: RequestLog,
    pub state: Rc<TrafficState>,
    pub request: Rc<OutboundRequest>,
    pub route: Arc<Route>,
    pub tried_targets: Vec<TargetTag>,
    /// The request counts towards the demand of this host's callers.
    pub is_counted: bool,
    /// What another host stated that passed the request on; `None` for a caller's request.
    pub relayed: Option<RelayedRequest>,
    /// Hosts that were asked to serve the request.
    pub asked_hosts: Vec<HostId>,
}

/// How an attempt ended.
enum AttemptResult {
    Target(TargetId, AttemptOutcome),
    /// The attempt was made by another host.
    Relay(RelayResult),
    /// The owner of the object's group answered; the attempt begins now, if at all.
    Slot(AttemptReason, SlotRequest, Reserved),
}

impl Call {
    /// Makes attempts until one succeeds or none is allowed any more. `None` if the caller has left.
    pub async fn run(mut self, disconnect: Disconnect) -> Option<CallerResponse> {
        let state = self.state.clone();
        let mut attempts = Attempts::new();
        let mut progress = CallProgress::default();
        let is_idempotent = self.route.idempotency == Idempotency::Idempotent;
        let mut may_hedge = is_idempotent && self.relayed.is_none();
        let mean_work = self.state.mean_work(&self.request.service);
        let hedge_after = mean_work.mul_f64(HEDGE_DELAY_FACTOR).max(HEDGE_DELAY_MIN);
        let mut hedge_at = self.state.clock.now() + hedge_after;
        loop {
            let reach_changed = state.reach_changed.notified();
            let now = self.state.clock.now();
            let left = self.request.deadline.saturating_sub(now);
            if attempts.is_empty() && self.state.is_reach_suspected() && !left.is_zero() {
                // Probes tell within a round trip or a connect timeout whether to ask another host.
                tokio::select! {
                    () = reach_changed => continue,
                    () = disconnect.closed() => return None,
                    () = tokio::time::sleep(left) => continue,
                }
            }
            if attempts.is_empty() {
                let reason = if progress.is_first_attempt() {
                    AttemptReason::First
                } else {
                    AttemptReason::Retry
                };
                match self.launch_attempt(&mut progress, reason) {
                    Some(attempt) => attempts.push(attempt),
                    None => return Some(self.final_response(progress)),
                }
            }
            let wake_at =
                if may_hedge { hedge_at.min(self.request.deadline) } else { self.request.deadline };
            tokio::select! {
                biased;
                Some(result) = attempts.next() => {
                    let result = match result {
                        AttemptResult::Slot(reason, asked, reserved) => {
                            attempts.extend(self.use_answer(&mut progress, reason, asked, reserved));
                            if attempts.is_empty() {
                                return Some(self.final_response(progress));
                            }
                            continue;
                        }
                        ended => ended,
                    };
                    if let Some((response, target)) = self.record(&mut progress, result) {
                        let outcome = RequestOutcome::from_target(target, progress.sent);
                        return Some(self.log.record_answered(response, outcome));
                    }
                    // Not idempotent: a request that may have run must not be sent again.
                    if progress.maybe_ran && !is_idempotent {
                        return Some(self.final_response(progress));
                    }
                }
                () = disconnect.closed() => return None,
                () = reach_changed, if may_hedge && self.asked_hosts.is_empty() => {
                    if self.state.is_cut_off() {
                        // The targets that were asked do not answer any more.
                        may_hedge = false;
                        attempts.extend(self.launch_attempt(&mut progress, AttemptReason::Hedge));
                    }
                }
                () = tokio::time::sleep(wake_at.saturating_sub(now)) => {
                    if self.request.deadline <= self.state.clock.now() {
                        progress.maybe_ran = true;
                        progress.error = Some(ErrorKind::DispatchTimeout);
                        return Some(self.final_response(progress));
                    }
                    // The timer may fire before the deadline has passed by the host's clock.
                    if !may_hedge {
                        continue;
                    }
                    may_hedge = false;
                    hedge_at = self.request.deadline;
                    attempts.extend(self.launch_attempt(&mut progress, AttemptReason::Hedge));
                }
            }
        }
    }

    /// Starts one more attempt, if the route, the retry budget and the targets allow it.
    fn launch_attempt(
        &mut self,
        progress: &mut CallProgress,
        reason: AttemptReason,
    ) -> Option<Attempt> {
        if self.max_attempts() <= progress.sent {
            return self.deny_retry(progress, "attempts of the route");
        }
        if MAX_UNREACHABLE_TARGETS <= progress.unreachable_targets {
            return self.deny_retry(progress, "unreachable targets");
        }
        let view = self.state.view()?;
        if let Some(kind) = self.access_error(&view) {
            progress.error.get_or_insert(kind);
            return None;
        }
        if self.state.is_cut_off() {
            return self.launch_relay(&view, progress, reason);
        }
        let request = PlacementRequest {
            deadline: self.request.deadline,
            object: self.object(),
            route: self.route.clone(),
            service: self.request.service.clone(),
            team: self.request.team.clone(),
            tried_targets: self.tried_targets.clone(),
        };
        let objective_left = self.objective_left();
        let is_return = self.is_return();
        let asked = self.state.slot_request(&view, request.clone(), objective_left, is_return);
        if let Some(asked) = asked {
            return Some(self.ask_owner(reason, asked));
        }
        self.place_and_send(progress, reason, &view, &request)
    }

    /// Asks the owner of a group for a slot.
    fn ask_owner(&self, reason: AttemptReason, mut asked: SlotRequest) -> Attempt {
        let state = self.state.clone();
        Box::pin(async move {
            let mut reserved = state.clone().ask_for_slot(asked.owner.clone(), asked.ask.clone());
            let mut answer = reserved.await;
            if matches!(answer, Reserved::Refused(_)) && asked.use_second_group(&state) {
                reserved = state.clone().ask_for_slot(asked.owner.clone(), asked.ask.clone());
                answer = match reserved.await {
                    granted @ Reserved::Granted(..) => granted,
                    _ => answer,
                };
            }
            AttemptResult::Slot(reason, asked, answer)
        })
    }

    /// Starts the attempt that an owner has granted, if any.
    fn use_answer(
        &mut self,
        progress: &mut CallProgress,
        reason: AttemptReason,
        asked: SlotRequest,
        reserved: Reserved,
    ) -> Option<Attempt> {
        let view = self.state.view()?;
        let (grant, reservation) = match reserved {
            Reserved::Granted(grant, reservation) => (grant, reservation),
            Reserved::Refused(refusal) => {
                progress.free_in = refusal.return_in_ms.map(|ms| Duration::from_millis(ms.into()));
                progress.is_promised = refusal.is_promised;
                progress.error.get_or_insert(ErrorKind::NoSlots);
                let placement = asked.refused_placement(&refusal);
                self.log.record_not_placed(&view, &placement, ErrorKind::NoSlots, progress.free_in);
                return None;
            }
            Reserved::Unanswered => {
                return self.place_and_send(progress, reason, &view, &asked.request);
            }
        };
        match asked.granted_placement(&self.state, &view, &grant) {
            Some(placement) => self.send(progress, reason, &view, &placement, Some(reservation)),
            None => self.place_and_send(progress, reason, &view, &asked.request),
        }
    }

    /// Selects a target by what this host knows, and starts an attempt there.
    fn place_and_send(
        &mut self,
        progress: &mut CallProgress,
        reason: AttemptReason,
        view: &View,
        request: &PlacementRequest,
    ) -> Option<Attempt> {
        let placement = self.state.place(view, request);
        let Some(target) = placement.target.clone() else {
            let (error, free_in) = match placement.choice {
                Choice::Busy { free_in, .. } => (ErrorKind::NoSlots, free_in),
                Choice::Paused { available_in } => (ErrorKind::NoSlots, Some(available_in)),
                _ => (ErrorKind::NoTarget, None),
            };
            progress.free_in = free_in;
            progress.is_paused = matches!(placement.choice, Choice::Paused { .. });
            progress.error.get_or_insert(error);
            self.log.record_not_placed(view, &placement, error, free_in);
            return None;
        };
        let reservation = self.state.announce_taken(view, &target, request.object);
        self.send(progress, reason, view, &placement, reservation)
    }

    /// Starts an attempt at the target of the placement, if the retry budget allows it.
    fn send(
        &mut self,
        progress: &mut CallProgress,
        reason: AttemptReason,
        view: &View,
        placement: &Placement,
        reservation: Option<Reservation>,
    ) -> Option<Attempt> {
        let target = placement.target.clone()?;
        let is_retry =
            0 < progress.sent || self.relayed.as_ref().is_some_and(|relayed| relayed.is_retry);
        if is_retry && !self.state.take_retry(view, &self.request.service) {
            return self.deny_retry(progress, "retry budget");
        }
        progress.sent += 1;
        self.log.record_sent(
            view,
            placement,
            &target,
            self.request.deadline,
            progress.sent,
            reason,
        );
        self.tried_targets.push(target.tag);
        let in_flight = self.state.start_attempt(
            &target,
            self.request.fingerprint,
            placement.forecast,
            reservation,
        );
        if let Some(admission) = &self.admission {
            admission.attempt_started(progress.maybe_ran);
        }
        let (state, request) = (self.state.clone(), self.request.clone());
        Some(Box::pin(async move {
            let id = target.entry.id.clone();
            AttemptResult::Target(id, send_attempt(state, request, target, in_flight).await)
        }))
    }

    /// Time until the answer is late: the objective counts from the caller's first attempt.
    fn objective_left(&self) -> Duration {
        let objective = self.route.objective.saturating_sub(self.waited_before());
        objective.saturating_sub(self.log.elapsed())
    }

    /// Whether the caller was refused before and came back.
    fn is_return(&self) -> bool {
        RETRY_AFTER_MIN <= self.waited_before()
    }

    /// Time since the caller's first attempt. A caller that was refused before has less time left
    /// than the route allows.
    fn waited_before(&self) -> Duration {
        let timeout = self.route.timeout;
        let left = self.request.metadata.time_left;
        left.map_or(Duration::ZERO, |left| timeout.saturating_sub(left))
    }

    /// The host that passed a request on decides about retries.
    fn max_attempts(&self) -> u32 {
        if self.relayed.is_some() { 1 } else { self.route.max_attempts.max(1) }
    }

    /// Asks another host to serve the request, since this one reaches no target. A request that
    /// another host passed on goes no further.
    fn launch_relay(
        &mut self,
        view: &View,
        progress: &mut CallProgress,
        reason: AttemptReason,
    ) -> Option<Attempt> {
        if self.relayed.is_some() {
            progress.error.get_or_insert(ErrorKind::ConnectFailed);
            return None;
        }
        if progress.is_refused || MAX_RELAYS <= self.asked_hosts.len() {
            return None;
        }
        let team = self.request.team.as_deref();
        let may_enter = |region: &RegionId| allows_region(&self.route, team, region);
        let has_homes = !self.route.allowed_regions.is_empty()
            || team.is_some_and(|team| !team.allowed_regions.is_empty());
        let host = self.state.choose_relay(&view.hosts, &self.asked_hosts, has_homes, &may_enter);
        let Some(host) = host else {
            progress.error.get_or_insert(ErrorKind::ConnectFailed);
            return self.deny_retry(progress, "hosts that reach targets");
        };
        if let Some(admission) = self.admission.take()
            && !progress.maybe_ran
        {
            // The other host counts the request towards the limit of its team.
            admission.mark_not_run();
        }
        let relayed = RelayedRequest {
            is_counted: self.is_counted,
            is_retry: 0 < progress.sent,
            tried_targets: self.tried_targets.clone(),
        };
        progress.sent += 1;
        let deadline = self.request.deadline;
        self.log.record_relayed(host.host.clone(), deadline, progress.sent, reason);
        self.asked_hosts.push(host.host.clone());
        let (state, request) = (self.state.clone(), self.request.clone());
        Some(Box::pin(async move {
            AttemptResult::Relay(send_relay(state, request, host, relayed).await)
        }))
    }

    /// Records the end of an attempt. Returns its response, and the target that sent it, if that
    /// goes to the caller.
    fn record(
        &mut self,
        progress: &mut CallProgress,
        result: AttemptResult,
    ) -> Option<(CallerResponse, Option<TargetId>)> {
        let result = match result {
            AttemptResult::Target(target, outcome) => {
                let response = progress.record(Some(&target), outcome)?;
                return Some((self.name_target(response, &target), Some(target)));
            }
            AttemptResult::Relay(result) => result,
            AttemptResult::Slot(..) => return None,
        };
        progress.relay_retry_after = result.retry_after.or(progress.relay_retry_after);
        if let AttemptOutcome::NotRun(kind) = &result.outcome {
            match *kind {
                // No target was asked.
                _ if result.may_ask_another => progress.sent -= 1,
                ErrorKind::Shed => {}
                _ => progress.is_refused = true,
            }
            progress.error = Some(*kind);
        }
        let target = result.target.map(|(id, tag)| {
            self.tried_targets.push(tag);
            id
        });
        match result.outcome {
            AttemptOutcome::NotRun(_) => None,
            outcome => Some((progress.record(target.as_ref(), outcome)?, target)),
        }
    }

    /// Tells a host that passed the request on which target sent the response.
    fn name_target(&self, mut response: CallerResponse, target: &TargetId) -> CallerResponse {
        if self.relayed.is_some() {
            let target = self.tried_targets.last().map(|tag| (target.clone(), *tag));
            response.extensions_mut().insert(RelayedResponse { error: None, target });
        }
        response
    }

    /// The error if the key has lost access since the request was accepted, for example because it
    /// was revoked.
    fn access_error(&self, view: &View) -> Option<ErrorKind> {
        self.request.team.as_ref()?;
        match check_access(&self.state, view, &self.route, &self.request.metadata.key) {
            Access::Granted(_) => None,
            Access::Unchecked => Some(ErrorKind::ApiKeyUnchecked),
            Access::Unknown => Some(ErrorKind::ApiKeyUnknown),
        }
    }

    /// Records that a limit does not allow a further attempt.
    fn deny_retry(&self, progress: &CallProgress, limit: &str) -> Option<Attempt> {
        self.log.record_retry_denied(limit, progress.sent);
        None
    }

    /// The object that the request is about, used to prefer targets that have it cached. The tag
    /// does not depend on the route, since all routes to a service share the caches of its targets.
    fn object(&self) -> Option<ObjectTag> {
        let object = self.request.metadata.object.as_ref().filter(|_| self.route.sticky)?;
        Some(xxh3_64(object.as_bytes()) as ObjectTag)
    }

    fn final_response(&self, mut progress: CallProgress) -> CallerResponse {
        if let Some(mut target_error) = progress.target_error.take() {
            let target = progress.target.take();
            if let Some(target) = &target {
                target_error = self.name_target(target_error, target);
            }
            let outcome = RequestOutcome::from_target(target, progress.sent);
            return self.log.record_answered(target_error, outcome);
        }
        let error = progress.error.unwrap_or(ErrorKind::NoSlots);
        let error = match error.response().ran {
            Ran::No if progress.maybe_ran => ErrorKind::DispatchLost,
            _ => error,
        };
        if let (Some(admission), Ran::No) = (&self.admission, error.response().ran) {
            admission.mark_not_run();
        }
        let retry_after = progress.retry_after();
        let response = host_response(&self.state, &self.request.metadata, error, Some(retry_after));
        self.log.record_answered(
            response,
            RequestOutcome::from_host(error, progress.sent, Some(retry_after)),
        )
    }
}
