//! Time as the decisions see it.
//!
//! `std::time::Instant` stops while a machine is suspended, so a host that slept past its lease
//! would believe the lease still valid. `BootClock` reads the boot clock, which goes on counting.

use std::{sync::Mutex, time::Duration};

/// A point in time: the time since the clock's own start. Points of different hosts never compare.
pub type Moment = Duration;

/// Source of the current time.
pub trait Clock: Send + Sync {
    /// The current time; never goes back.
    fn now(&self) -> Moment;
}

/// The machine's boot clock, which also counts the time that the machine was suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Moment {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let secs = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
        Duration::new(secs, nanos)
    }
}

/// A clock that moves only when told to.
#[derive(Debug, Default)]
pub struct ManualClock {
    now: Mutex<Moment>,
}

impl ManualClock {
    /// Moves the clock on by `step`.
    pub fn advance(&self, step: Duration) {
        *self.now.lock().expect("no holder of this lock panics") += step;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Moment {
        *self.now.lock().expect("no holder of this lock panics")
    }
}
