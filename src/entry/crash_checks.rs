//! Finds out whether a target crashed, and which requests may have caused it.

use std::rc::Rc;

use super::{KnownTarget, TrafficState, View, upstream::connect};
use crate::{
    event_log::Event,
    placement::{Forecast, HealthSignal},
    prelude::*,
};

impl TrafficState {
    /// Clears a request of crash suspicion after a target answered it without failing.
    pub fn clear_crash_suspect(&self, fingerprint: u64) {
        if self.crash_suspects.borrow_mut().clear(fingerprint) {
            self.events.record(None, Event::CrashCleared { fingerprint });
        }
    }

    /// Takes over the crashes that other hosts report.
    pub(super) fn update_crash_suspects(&self, view: &View) {
        let now = self.clock.now();
        let mut suspects = self.crash_suspects.borrow_mut();
        suspects.learn(&view.crashes, now);
        suspects.tick(now);
    }

    /// Probes a target in the background after a lost response. If it does not accept connections,
    /// a crash is counted against each request that was running there when the response was lost.
    pub fn check_for_crash(self: &Rc<Self>, target: &Arc<KnownTarget>, service: &ServiceId) {
        if !self.crash_checks.borrow_mut().insert(target.tag) {
            return;
        }
        let fingerprints =
            self.running_fingerprints.borrow().get(&target.tag).cloned().unwrap_or_default();
        let (state, target, service) = (self.clone(), target.clone(), service.clone());
        tokio::task::spawn_local(async move {
            let connected = connect(&*state.connector, target.entry.addr).await;
            state.crash_checks.borrow_mut().remove(&target.tag);
            if let Err(error) = connected {
                log::debug!(
                    "{} does not accept connections after a lost response: {error}",
                    target.entry.id
                );
                state.record_unreachable(&target);
                state.count_crashes(&target, fingerprints);
                state.record_attempt_end(
                    &target,
                    &service,
                    &Forecast::default(),
                    HealthSignal::Unreachable,
                );
            }
        });
    }

    /// Counts a crash against each request that was running on a target when it went down, since
    /// any of them may have caused it.
    fn count_crashes(&self, target: &KnownTarget, fingerprints: Vec<u64>) {
        if self.is_cut_off() {
            return;
        }
        let now = self.clock.now();
        for fingerprint in fingerprints {
            let id = rand::random();
            let crashes = self.crash_suspects.borrow_mut().record_crash(fingerprint, id, now);
            let target = target.entry.id.clone();
            self.events.record(None, Event::CrashCounted { crashes, fingerprint, target });
        }
    }
}
