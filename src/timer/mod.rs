//! A timer that calls subscribers at regular intervals.

use tokio::{runtime::Handle, task::AbortHandle, time::MissedTickBehavior};

use crate::prelude::*;

/// Callback of a subscription. It must not block.
pub type Job = Box<dyn FnMut() + Send>;

/// Calls subscribers at regular intervals.
pub trait Timer: Send + Sync {
    /// Calls `job` once every `period`, starting one period from now, until the subscription is
    /// dropped.
    fn every(&self, period: Duration, job: Job) -> Subscription;
}

/// A registered job; dropping it stops the calls.
#[derive(Debug)]
pub struct Subscription {
    task: AbortHandle,
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Timer on a tokio runtime. Missed ticks are skipped, so that a host that was paused does not
/// start a hundred exchanges with other hosts at once.
#[derive(Clone, Debug)]
pub struct TokioTimer {
    runtime: Handle,
}

impl TokioTimer {
    /// Creates a timer whose jobs run on `runtime`.
    pub fn new(runtime: Handle) -> Self {
        Self { runtime }
    }
}

impl Timer for TokioTimer {
    fn every(&self, period: Duration, mut job: Job) -> Subscription {
        let task = self.runtime.spawn(async move {
            let mut interval = tokio::time::interval(period);
            interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
            interval.tick().await;
            loop {
                interval.tick().await;
                job();
            }
        });
        Subscription { task: task.abort_handle() }
    }
}
