//! Writes the log events of one request on one host, from its acceptance to its end.

use std::{cell::Cell, rc::Rc};

use super::{KnownTarget, TrafficState, View, place::Placement, response::CallerResponse};
use crate::{
    base::Ran,
    event_log::{AttemptReason, End, Event, RequestKey},
    placement::Choice,
    prelude::*,
};

/// How a request ended, apart from the response itself.
pub struct RequestOutcome {
    /// Why the host answered by itself; `None` if it passes on a target's response.
    error: Option<ErrorKind>,
    ran: Ran,
    retry_after: Option<Duration>,
    sent: u32,
    target: Option<TargetId>,
}

impl RequestOutcome {
    /// The outcome of a request whose response comes from a target.
    /// `None` if another host did not state which.
    pub fn from_target(target: Option<TargetId>, sent: u32) -> Self {
        Self { error: None, ran: Ran::Yes, retry_after: None, sent, target }
    }

    /// The outcome of a request that the host answers by itself.
    pub fn from_host(error: ErrorKind, sent: u32, retry_after: Option<Duration>) -> Self {
        let ran = error.response().ran;
        let retry_after = retry_after.filter(|_| ran == Ran::No);
        Self { error: Some(error), ran, retry_after, sent, target: None }
    }

    fn end(&self, is_success: bool, is_late: bool) -> End {
        match (self.error, self.ran) {
            (None, _) if is_success && is_late => End::Late,
            (None, _) if is_success => End::Served,
            (None, _) => End::TargetFailed,
            (Some(_), Ran::No) => End::Refused,
            (Some(_), _) => End::Failed,
        }
    }
}

/// Writes the log events of one request. If dropped before a response was recorded, it records that
/// the caller has left.
pub struct RequestLog {
    state: Rc<TrafficState>,
    ended: Cell<bool>,
    key: RequestKey,
    objective: Duration,
    sent: Cell<u32>,
    service: ServiceId,
    accepted_at: Moment,
}

impl RequestLog {
    /// Creates the log of a request that was accepted at `accepted_at`.
    pub fn new(
        state: Rc<TrafficState>,
        key: RequestKey,
        service: ServiceId,
        objective: Duration,
        accepted_at: Moment,
    ) -> Self {
        let (ended, sent) = (Cell::new(false), Cell::new(0));
        Self { state, ended, key, objective, sent, service, accepted_at }
    }

    /// The key that identifies the request in the log.
    pub fn key(&self) -> &RequestKey {
        &self.key
    }

    /// Records that the request is sent to a target.
    pub fn record_sent(
        &self,
        view: &View,
        placement: &Placement,
        target: &KnownTarget,
        deadline: Moment,
        attempt: u32,
        reason: AttemptReason,
    ) {
        self.sent.set(attempt);
        let now = self.state.clock.now();
        let expected = match placement.choice {
            Choice::Send(estimate) => estimate.expected(),
            _ => Duration::ZERO,
        };
        let event = Event::Sent {
            attempt,
            cold: target.is_cold(now),
            declaration: declaration_version(view),
            expected_ms: millis(expected),
            knows_percent: (placement.forecast.hit_probability * 100.0).round() as u8,
            left_ms: millis(deadline.saturating_sub(now)),
            load: placement.load,
            reason,
            region: target.region.clone(),
            service: self.service.clone(),
            slots: target.entry.slots,
            target: target.entry.id.clone(),
            view_age_ms: millis(now.saturating_sub(view.published_at)),
            zone: target.entry.zone.clone(),
        };
        self.state.record(&self.key, event);
    }

    /// Records that another host is asked to serve the request.
    pub fn record_relayed(
        &self,
        to: HostId,
        deadline: Moment,
        attempt: u32,
        reason: AttemptReason,
    ) {
        self.sent.set(attempt);
        let left_ms = millis(deadline.saturating_sub(self.state.clock.now()));
        let service = self.service.clone();
        self.state.record(&self.key, Event::Relayed { attempt, left_ms, reason, service, to });
    }

    /// Records that no target can take the request.
    pub fn record_not_placed(
        &self,
        view: &View,
        placement: &Placement,
        error: ErrorKind,
        free_in: Option<Duration>,
    ) {
        let event = Event::NotPlaced {
            candidates: placement.candidates,
            cold: placement.cold_candidates,
            crowded: placement.best_busy.as_ref().map(|(target, _)| target.clone()),
            declaration: declaration_version(view),
            error,
            expected_ms: placement.best_busy.as_ref().map(|(_, expected)| millis(*expected)),
            free_elsewhere: placement.free_elsewhere,
            limit_ms: millis(placement.limit),
            rationed: placement.denied_first_run,
            region: placement.region.clone(),
            room_in_ms: free_in.map(millis),
            service: self.service.clone(),
            shut: placement.unavailable,
            view_age_ms: millis(self.state.clock.now().saturating_sub(view.published_at)),
            work_ms: millis(placement.mean_work),
        };
        self.state.record(&self.key, event);
    }

    /// Records that `limit` does not allow a further attempt.
    pub fn record_retry_denied(&self, limit: &str, sent: u32) {
        let event = Event::RetryDenied { limit: limit.into(), sent, service: self.service.clone() };
        self.state.record(&self.key, event);
    }

    /// Records the response and passes it through.
    pub fn record_answered(
        &self,
        response: CallerResponse,
        outcome: RequestOutcome,
    ) -> CallerResponse {
        self.ended.set(true);
        let took = self.elapsed();
        let status = response.status();
        let event = Event::Answered {
            end: outcome.end(status.is_success(), self.objective < took),
            error: outcome.error,
            objective_ms: millis(self.objective),
            ran: outcome.ran,
            retry_after_ms: outcome.retry_after.map(millis),
            sent: outcome.sent,
            service: self.service.clone(),
            status: status.as_u16(),
            target: outcome.target,
            took_ms: millis(took),
        };
        self.state.record(&self.key, event);
        response
    }

    /// Time since the request was accepted.
    pub fn elapsed(&self) -> Duration {
        self.state.clock.now().saturating_sub(self.accepted_at)
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if self.ended.get() {
            return;
        }
        let event = Event::CallerLeft {
            sent: self.sent.get(),
            service: self.service.clone(),
            took_ms: millis(self.elapsed()),
        };
        self.state.record(&self.key, event);
    }
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

fn declaration_version(view: &View) -> u64 {
    view.declaration.as_ref().map_or(0, |declaration| declaration.version)
}
