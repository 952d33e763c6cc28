//! Guards of attempts in progress: each counts something until it is dropped.

use std::rc::Rc;

use super::{KnownTarget, TrafficState, reservations::Reservation};
use crate::{
    placement::{Forecast, name_tag},
    prelude::*,
};

impl TrafficState {
    /// Records that a request is sent to a target. It counts as in flight until the guard is
    /// dropped.
    pub fn start_attempt(
        self: &Rc<Self>,
        target: &Arc<KnownTarget>,
        fingerprint: u64,
        forecast: Forecast,
        reservation: Option<Reservation>,
    ) -> InFlight {
        let now = self.clock.now();
        if let Some(object) = forecast.object {
            self.cached_objects.borrow_mut().record_use(target.tag, object);
            self.recent_objects.borrow_mut().push_back((now, target.tag, object));
        }
        if target.is_cold(now) {
            self.cold_target_limiter.borrow_mut().take_token(target);
        }
        let is_paced = self.charge_limit(target);
        let (service, region) = (name_tag(&target.entry.service), name_tag(&target.region));
        self.sent_counter.borrow_mut().record(service, region, now);
        self.target_health.borrow_mut().entry(target.tag).or_default().in_flight += 1;
        self.running_fingerprints.borrow_mut().entry(target.tag).or_default().push(fingerprint);
        InFlight {
            state: self.clone(),
            forecast,
            fingerprint,
            is_paced,
            reservation,
            started: now,
            tag: target.tag,
        }
    }

    /// Records that an attempt waits for the response of a target, until the guard is dropped.
    pub(super) fn start_waiting(self: &Rc<Self>, target: &KnownTarget) -> WaitingAttempt {
        let number = self.attempt_count.get();
        self.attempt_count.set(number + 1);
        self.waiting_attempts.borrow_mut().insert(number, (target.tag, self.clock.now()));
        WaitingAttempt { number, state: self.clone() }
    }
}

/// Marks an attempt as waiting for a response until dropped.
pub struct WaitingAttempt {
    number: u64,
    state: Rc<TrafficState>,
}

impl Drop for WaitingAttempt {
    fn drop(&mut self) {
        self.state.waiting_attempts.borrow_mut().remove(&self.number);
    }
}

/// Marks a request as in flight at a target until dropped.
pub struct InFlight {
    state: Rc<TrafficState>,
    pub forecast: Forecast,
    fingerprint: u64,
    /// Whether the request was charged to a limit of the target when it was placed.
    pub(super) is_paced: bool,
    /// Until when a target's owner counts the request.
    pub(super) reservation: Option<Reservation>,
    pub started: Moment,
    tag: u32,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(health) = self.state.target_health.borrow_mut().get_mut(&self.tag) {
            health.in_flight = health.in_flight.saturating_sub(1);
        }
        let mut running = self.state.running_fingerprints.borrow_mut();
        if let Some(fingerprints) = running.get_mut(&self.tag) {
            if let Some(at) = fingerprints.iter().position(|running| *running == self.fingerprint) {
                fingerprints.swap_remove(at);
            }
            if fingerprints.is_empty() {
                running.remove(&self.tag);
            }
        }
    }
}
