//! One request that was accepted: its attempts, with retries and hedging, and its outcome.

use std::{future::Future, pin::Pin, rc::Rc};

use futures::{StreamExt, stream::FuturesUnordered};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Access, Idempotency, Route, TrafficState, View,
    attempt::{AttemptOutcome, OutboundRequest, send_attempt},
    caller_io::Disconnect,
    place::PlacementRequest,
    request_handler::check_access,
    request_log::{RequestLog, RequestOutcome},
    response::{CallerResponse, host_response},
    traffic_state::Admission,
};
use crate::{
    base::Ran,
    event_log::AttemptReason,
    placement::{Choice, ObjectTag},
    prelude::*,
};

/// A request is hedged to a second target after this many times the service's mean time.
const HEDGE_DELAY_FACTOR: f64 = 4.0;

/// Shortest time before a request is hedged.
const HEDGE_DELAY_MIN: Duration = Duration::from_millis(350);

/// Bounds of the retry-after time sent to a refused caller. Callers with the shortest deadlines
/// still honour the upper bound.
pub(super) const RETRY_AFTER_MIN: Duration = Duration::from_millis(80);
const RETRY_AFTER_MAX: Duration = Duration::from_millis(700);

/// Longest retry-after time if targets said when they take requests again. Most callers have left
/// by then; one that comes back earlier would be refused again.
const RETRY_AFTER_MAX_PAUSED: Duration = Duration::from_secs(5);

/// Retry-after time when it is unknown when a slot will be free.
pub(super) const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(250);

/// Number of unreachable targets after which a request is refused.
const MAX_UNREACHABLE_TARGETS: u32 = 3;

type Attempt = Pin<Box<dyn Future<Output = (TargetId, AttemptOutcome)>>>;
type Attempts = FuturesUnordered<Attempt>;

/// A request that was accepted, with its attempts.
pub(super) struct Call {
    /// `None` for a request without a team.
    pub admission: Option<Admission>,
    pub log: RequestLog,
    pub state: Rc<TrafficState>,
    pub request: Rc<OutboundRequest>,
    pub route: Arc<Route>,
    pub tried_targets: Vec<u32>,
}

/// Results of the attempts so far.
#[derive(Default)]
struct CallProgress {
    /// A target may have run the request.
    maybe_ran: bool,
    /// A target's error response, passed on if no other attempt succeeds.
    target_error: Option<CallerResponse>,
    /// Time until a slot is expected to be free.
    free_in: Option<Duration>,
    /// `free_in` is when the first target takes requests again, by what the targets said.
    is_paused: bool,
    /// Number of attempts that reached a target, or may have.
    sent: u32,
    /// The target whose response is passed on.
    target: Option<TargetId>,
    unreachable_targets: u32,
    error: Option<ErrorKind>,
}

impl Call {
    /// Makes attempts until one succeeds or none is allowed any more. `None` if the caller has left.
    pub async fn run(mut self, disconnect: Disconnect) -> Option<CallerResponse> {
        let mut attempts = Attempts::new();
        let mut progress = CallProgress::default();
        let mut may_hedge = self.route.idempotency == Idempotency::Idempotent;
        let mean_work = self.state.mean_work(&self.request.service);
        let hedge_after = mean_work.mul_f64(HEDGE_DELAY_FACTOR).max(HEDGE_DELAY_MIN);
        let mut hedge_at = self.state.clock.now() + hedge_after;
        loop {
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
            let now = self.state.clock.now();
            let wake_at =
                if may_hedge { hedge_at.min(self.request.deadline) } else { self.request.deadline };
            tokio::select! {
                biased;
                Some((target, outcome)) = attempts.next() => {
                    if let Some(response) = progress.record(&target, outcome) {
                        let outcome = RequestOutcome::from_target(target, progress.sent);
                        return Some(self.log.record_answered(response, outcome));
                    }
                    // Not idempotent: a request that may have run must not be sent again.
                    if progress.maybe_ran
                        && self.route.idempotency == Idempotency::NonIdempotent
                    {
                        return Some(self.final_response(progress));
                    }
                }
                () = disconnect.closed() => return None,
                () = tokio::time::sleep(wake_at.saturating_sub(now)) => {
                    if self.request.deadline <= self.state.clock.now() {
                        progress.maybe_ran = true;
                        progress.error = Some(ErrorKind::DispatchTimeout);
                        return Some(self.final_response(progress));
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
        if self.route.max_attempts.max(1) <= progress.sent {
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
        let request = PlacementRequest {
            deadline: self.request.deadline,
            object: self.object(),
            route: self.route.clone(),
            service: self.request.service.clone(),
            team: self.request.team.clone(),
            tried_targets: self.tried_targets.clone(),
        };
        let placement = self.state.place(&view, &request);
        let Some(target) = placement.target.clone() else {
            let (error, free_in) = match placement.choice {
                Choice::Busy { free_in, .. } => (ErrorKind::NoSlots, free_in),
                Choice::Paused { available_in } => (ErrorKind::NoSlots, Some(available_in)),
                _ => (ErrorKind::NoTarget, None),
            };
            progress.free_in = free_in;
            progress.is_paused = matches!(placement.choice, Choice::Paused { .. });
            progress.error.get_or_insert(error);
            self.log.record_not_placed(&view, &placement, error, free_in);
            return None;
        };
        if 0 < progress.sent && !self.state.take_retry(&view, &self.request.service) {
            return self.deny_retry(progress, "retry budget");
        }
        progress.sent += 1;
        self.log.record_sent(
            &view,
            &placement,
            &target,
            self.request.deadline,
            progress.sent,
            reason,
        );
        self.tried_targets.push(target.tag);
        let in_flight =
            self.state.start_attempt(&target, self.request.fingerprint, placement.forecast);
        if let Some(admission) = &self.admission {
            admission.attempt_started(progress.maybe_ran);
        }
        let (state, request) = (self.state.clone(), self.request.clone());
        Some(Box::pin(async move {
            let id = target.entry.id.clone();
            (id, send_attempt(state, request, target, in_flight).await)
        }))
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
        if let Some(target_error) = progress.target_error.take() {
            let outcome = match progress.target.take() {
                Some(target) => RequestOutcome::from_target(target, progress.sent),
                None => RequestOutcome::from_host(ErrorKind::AnswerBroken, progress.sent, None),
            };
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

impl CallProgress {
    /// When the caller is to come back. Callers are spread out; none is told a time before the
    /// first target takes requests again.
    fn retry_after(&self) -> Duration {
        let spread = rand::random::<f64>() / 2.0;
        let free_in = self.free_in.unwrap_or(RETRY_AFTER_DEFAULT);
        if self.is_paused {
            return free_in.mul_f64(1.0 + spread).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX_PAUSED);
        }
        free_in.mul_f64(0.75 + spread).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }

    /// Whether no target was tried yet.
    fn is_first_attempt(&self) -> bool {
        self.sent == 0 && self.unreachable_targets == 0
    }

    /// Records the end of an attempt. Returns its response if that goes to the caller.
    fn record(&mut self, target: &TargetId, outcome: AttemptOutcome) -> Option<CallerResponse> {
        match outcome {
            AttemptOutcome::Response(response) => return Some(response),
            AttemptOutcome::TargetError(response) => {
                self.maybe_ran = true;
                self.target_error = Some(response);
                self.target = Some(target.clone());
            }
            AttemptOutcome::NotRun(ErrorKind::ConnectFailed) => {
                self.sent -= 1;
                self.unreachable_targets += 1;
                self.error = Some(ErrorKind::ConnectFailed);
            }
            AttemptOutcome::NotRun(kind) => self.error = Some(kind),
            AttemptOutcome::Withheld => {
                self.sent -= 1;
                self.error = Some(ErrorKind::NoSlots);
            }
            AttemptOutcome::Lost(kind) => {
                self.maybe_ran = true;
                self.error = Some(kind);
            }
        }
        None
    }
}
