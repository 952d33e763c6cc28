//! Whether the store answers a host, as all of its calls together show it.
//!
//! A watch tells nothing while it waits, and a response that is lost in an outage is missed only when it
//! was due. Therefore followers of several prefixes share what they hear of the store. Once none of
//! them has heard of it for too long, or a call failed, it is asked by a cheap call until it answers;
//! watches that were sent before the end of an outage may never be answered, and are sent again.

use std::sync::{
    Mutex, MutexGuard,
    atomic::{AtomicBool, Ordering},
};

use tokio::{
    sync::{Notify, watch},
    task::JoinHandle,
};

use super::{Platform, PlatformError, Result};
use crate::prelude::*;

/// Time without any response after which the store is asked whether it answers. Longer than the time
/// between the ends of two watches, see `FollowOptions::end_phase`.
const MAX_SILENCE: Duration = Duration::from_millis(3_250);

/// Timeout of the call that asks, and interval of such calls while they fail.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Longest pause of a follower while the store is asked. The call that asks may fail where others do
/// not.
const MAX_PAUSE: Duration = Duration::from_secs(10);

/// Shortest outage that counts as one: shorter ones are single calls that failed.
const MIN_OUTAGE: Duration = Duration::from_millis(1_500);

/// A time in which the store did not answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outage {
    pub began: Moment,
    /// When the store first answered again.
    pub ended: Moment,
}

/// What the responses and failures of calls show of the store.
#[derive(Debug)]
pub(super) struct ContactState {
    answered_at: Moment,
    last_outage: Option<Outage>,
    /// Since when the store has not answered; `None` if the last call succeeded.
    lost_since: Option<Moment>,
    probed_at: Option<Moment>,
}

impl ContactState {
    pub(super) fn new(now: Moment) -> Self {
        Self { answered_at: now, last_outage: None, lost_since: None, probed_at: None }
    }

    /// Records a response. Returns whether it ended an outage.
    pub(super) fn record_answer(&mut self, now: Moment) -> bool {
        let is_silent = MAX_SILENCE <= now.saturating_sub(self.answered_at);
        let began = self.lost_since.take().or(is_silent.then_some(self.answered_at));
        self.answered_at = now;
        let Some(began) = began.filter(|began| MIN_OUTAGE <= now.saturating_sub(*began)) else {
            return false;
        };
        self.last_outage = Some(Outage { began, ended: now });
        true
    }

    /// Records that a call failed whose response was due at `due`.
    pub(super) fn record_failure(&mut self, due: Moment) {
        let since = due.max(self.answered_at);
        self.lost_since.get_or_insert(since);
    }

    /// When the store is to be asked whether it answers.
    pub(super) fn probe_at(&self) -> Moment {
        match self.lost_since {
            Some(since) => since.max(self.probed_at.map_or(since, |at| at + PROBE_INTERVAL)),
            None => self.answered_at.max(self.probed_at.unwrap_or_default()) + MAX_SILENCE,
        }
    }

    /// Records that the store is being asked.
    pub(super) fn record_probe(&mut self, now: Moment) {
        self.probed_at = Some(now);
    }
}

/// What followers of one store share about it.
pub struct StoreContact {
    /// Notified after a response that follows a failure.
    answered: Notify,
    clock: Arc<dyn Clock>,
    /// Notified after a failure.
    failed: Notify,
    /// Whether a task asks the store after a failure.
    is_probed: AtomicBool,
    /// Number of outages that ended.
    outages: watch::Sender<u64>,
    state: Mutex<ContactState>,
}

/// The task that asks the store; ends when dropped.
pub struct Probes {
    contact: Arc<StoreContact>,
    task: JoinHandle<()>,
}

impl Drop for Probes {
    fn drop(&mut self) {
        self.task.abort();
        self.contact.is_probed.store(false, Ordering::Relaxed);
        self.contact.answered.notify_waiters();
    }
}

impl StoreContact {
    pub fn new(clock: Arc<dyn Clock>) -> Arc<Self> {
        let state = Mutex::new(ContactState::new(clock.now()));
        Arc::new(Self {
            answered: Notify::new(),
            clock,
            failed: Notify::new(),
            is_probed: AtomicBool::new(false),
            outages: watch::Sender::new(0),
            state,
        })
    }

    /// The last outage that ended.
    pub fn last_outage(&self) -> Option<Outage> {
        self.state().last_outage
    }

    /// Whether the last call failed.
    pub fn is_lost(&self) -> bool {
        self.state().lost_since.is_some()
    }

    /// Asks the store whether it answers whenever no call has shown it for too long.
    pub fn spawn_probes(self: &Arc<Self>, platform: Arc<dyn Platform>) -> Probes {
        self.is_probed.store(true, Ordering::Relaxed);
        Probes { contact: self.clone(), task: tokio::spawn(self.clone().probe(platform)) }
    }

    /// Begins anew, for followers that begin now: nothing was asked for before.
    pub fn restart(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        *state = ContactState { last_outage: state.last_outage, ..ContactState::new(now) };
    }

    /// Records the outcome of a call that was sent at `sent` and that the store may hold for `wait`.
    pub(super) fn record<T>(&self, outcome: &Result<T>, sent: Moment, wait: Duration) {
        let now = self.clock.now();
        match outcome {
            Err(PlatformError::Unavailable { .. }) => {
                self.state().record_failure(now.min(sent + wait));
                self.failed.notify_one();
            }
            // The client's own limit, or the store's, says nothing of other calls.
            Err(PlatformError::RateLimited { .. }) => {}
            _ => {
                if self.state().record_answer(now) {
                    self.outages.send_modify(|count| *count += 1);
                }
                self.answered.notify_waiters();
            }
        }
    }

    /// Pauses after a failure for `pause`, and while the store is asked in vain: one call tells all
    /// followers that it answers again.
    pub(super) async fn pause(&self, pause: Duration) {
        tokio::time::sleep(pause).await;
        let regained = async {
            loop {
                let answered = self.answered.notified();
                if !self.is_lost() || !self.is_probed.load(Ordering::Relaxed) {
                    return;
                }
                answered.await;
            }
        };
        let _ = tokio::time::timeout(MAX_PAUSE, regained).await;
    }

    /// Subscribes to the ends of outages.
    pub(super) fn outages(&self) -> watch::Receiver<u64> {
        self.outages.subscribe()
    }

    fn state(&self) -> MutexGuard<'_, ContactState> {
        self.state.lock().expect("no holder of this lock panics")
    }

    async fn probe(self: Arc<Self>, platform: Arc<dyn Platform>) {
        loop {
            let now = self.clock.now();
            let due = self.state().probe_at();
            if now < due {
                tokio::select! {
                    () = tokio::time::sleep(due - now) => {}
                    () = self.failed.notified() => {}
                }
                continue;
            }
            self.state().record_probe(now);
            let response = tokio::time::timeout(PROBE_INTERVAL, platform.probe()).await;
            let response = response.unwrap_or_else(|_| {
                let detail = "the store did not answer when asked".into();
                Err(PlatformError::Unavailable { detail, may_have_applied: false })
            });
            self.record(&response, now, Duration::ZERO);
        }
    }
}
