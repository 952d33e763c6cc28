//! The source of time for the state machines.
//!
//! `std::time::Instant` does not advance while a machine is suspended, so a host that was suspended
//! past the end of its lease would still consider the lease valid. `BootClock` reads the boot
//! clock, which includes time in suspension.

use std::{sync::Mutex, time::Duration};

/// A point in time, as the time since the start of the clock. Values from different hosts must not
/// be compared.
pub type Moment = Duration;

/// Source of the current time.
pub trait Clock: Send + Sync {
    /// Returns the current time, which never decreases.
    fn now(&self) -> Moment;
}

/// The boot clock of the machine, which also counts time in suspension.
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

/// A clock that advances only on request, for tests and simulations.
#[derive(Debug, Default)]
pub struct ManualClock {
    now: Mutex<Moment>,
}

impl ManualClock {
    /// Advances the clock by `step`.
    pub fn advance(&self, step: Duration) {
        *self.now.lock().expect("no holder of this lock panics") += step;
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Moment {
        *self.now.lock().expect("no holder of this lock panics")
    }
}
