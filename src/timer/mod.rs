//! The timer service: parts subscribe to be called at an interval.

use tokio::{runtime::Handle, task::AbortHandle, time::MissedTickBehavior};

use crate::prelude::*;

/// What is called at each tick. It must not block.
pub type Job = Box<dyn FnMut() + Send>;

/// Calls subscribers at their intervals.
pub trait Timer: Send + Sync {
    /// Calls `job` every `period`, first after one period, until the subscription is dropped.
    fn every(&self, period: Duration, job: Job) -> Subscription;
}

/// Ends the calls when dropped.
#[derive(Debug)]
pub struct Subscription {
    task: AbortHandle,
}

impl Drop for Subscription {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Timer on a tokio runtime. Ticks that were missed are skipped: a host that was paused must not
/// catch up on a hundred exchanges at once.
#[derive(Clone, Debug)]
pub struct TokioTimer {
    runtime: Handle,
}

impl TokioTimer {
    /// A timer whose jobs run on `runtime`.
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
