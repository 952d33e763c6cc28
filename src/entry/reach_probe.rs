//! Probes targets while this host may be cut off from all of them.

use std::{
    rc::Rc,
    sync::atomic::{AtomicBool, Ordering},
};

use futures::{StreamExt, stream::FuturesUnordered};
use rand::seq::IteratorRandom;

use super::{
    KnownTarget, TrafficState,
    target_reach::{Reach, ReachChange},
    upstream::connect,
};
use crate::{event_log::Event, placement::TargetHealth, prelude::*};

/// Probes targets when that is due. Never returns.
pub async fn probe_reach(state: Rc<TrafficState>, reaches_targets: Arc<AtomicBool>) {
    loop {
        let round = state.target_reach.borrow().next_round();
        let Some((at, count)) = round else {
            state.reach_changed.notified().await;
            continue;
        };
        tokio::time::sleep(at.saturating_sub(state.clock.now())).await;
        state.probe_targets(count).await;
        reaches_targets.store(!state.is_cut_off(), Ordering::Relaxed);
    }
}

impl TrafficState {
    /// Connects to some targets. Connections that are accepted are kept for requests.
    async fn probe_targets(&self, count: usize) {
        let before = self.target_reach.borrow().reach();
        let targets = self.targets_to_probe(count);
        let mut probes: FuturesUnordered<_> = targets
            .iter()
            .map(async |target| (target, connect(&*self.connector, target.entry.addr).await))
            .collect();
        let mut reached = 0;
        while let Some((target, connection)) = probes.next().await {
            let Ok(connection) = connection else { continue };
            reached += 1;
            self.pool.borrow_mut().put(target.tag, connection, None, self.clock.now());
            // A single target refutes a suspicion; requests wait for that.
            if self.is_reach_suspected() {
                break;
            }
        }
        drop(probes);
        let now = self.clock.now();
        let change = self.target_reach.borrow_mut().record_round(reached, targets.len(), now);
        if let Some(change) = change {
            self.apply_reach_change(change, targets.len());
        }
        if self.target_reach.borrow().reach() != before {
            self.reach_changed.notify_waiters();
        }
    }

    /// Random targets of all services, those without recent failures first.
    fn targets_to_probe(&self, count: usize) -> Vec<Arc<KnownTarget>> {
        let Some(view) = self.view() else { return Vec::new() };
        let mut rng = rand::rng();
        let all = || view.targets.values().flat_map(|targets| targets.iter());
        let reach = self.target_reach.borrow();
        let is_untried = |target: &&Arc<KnownTarget>| !reach.has_failed(target.tag);
        let mut chosen = all().filter(is_untried).choose_multiple(&mut rng, count);
        let missing = count - chosen.len();
        chosen.extend(all().filter(|it| !is_untried(it)).choose_multiple(&mut rng, missing));
        chosen.into_iter().cloned().collect()
    }

    fn apply_reach_change(&self, change: ReachChange, probed: usize) {
        match change {
            ReachChange::CutOff { since, failed } => {
                self.crash_suspects.borrow_mut().forget_since(since);
                self.pool.borrow_mut().clear();
                let since_ms = self.clock.now().saturating_sub(since).as_millis() as u64;
                self.events.record(None, Event::TargetsUnreachable { failed, probed, since_ms });
            }
            ReachChange::Returned { after } => {
                self.target_health
                    .borrow_mut()
                    .values_mut()
                    .for_each(TargetHealth::forget_failures);
                let after_ms = after.as_millis() as u64;
                self.events.record(None, Event::TargetsReachable { after_ms });
            }
        }
    }

    /// Whether probes are about to show if this host reaches any target.
    pub(super) fn is_reach_suspected(&self) -> bool {
        self.target_reach.borrow().reach() == Reach::Suspected
    }

    /// Whether this host reaches no target.
    pub fn is_cut_off(&self) -> bool {
        self.target_reach.borrow().reach() == Reach::CutOff
    }

    /// Records that a connection to a target failed.
    pub(super) fn record_unreachable(&self, target: &KnownTarget) {
        let known = self.view().map(|view| view.targets.values().map(|it| it.len()).sum());
        let mut reach = self.target_reach.borrow_mut();
        if reach.record_failure(target.tag, known.unwrap_or_default(), self.clock.now()) {
            self.reach_changed.notify_waiters();
        }
    }

    /// Suspects that the host is cut off if requests at several targets have had no response.
    pub(super) fn check_silence(&self) {
        let waiting = self.waiting_attempts.borrow();
        let waiting = waiting.iter().map(|(_, (target, since))| (*target, *since));
        if self.target_reach.borrow_mut().check_silence(waiting, self.clock.now()) {
            self.reach_changed.notify_waiters();
        }
    }
}
