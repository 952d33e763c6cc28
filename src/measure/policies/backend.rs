//! A target as it really behaves, whatever its endpoints say.

use std::collections::BTreeSet;

use super::world::SLOTS;
use crate::{manifest::Target, prelude::*, selection::LoadReport};

/// How much slower the first requests of another region's callers are.
const COLD_FACTOR: f64 = 4.0;
/// Requests after which most of a region's callers are cached.
const COLD_REQUESTS: f64 = 20.0;

/// What a load endpoint says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Endpoint {
    /// The truth of the moment at which it was asked.
    Honest,
    /// Always idle.
    Idle,
    /// Always full, with one slot.
    Tiny,
}

/// One target.
#[derive(Clone, Debug)]
pub(super) struct Backend {
    pub dead: bool,
    pub endpoint: Endpoint,
    pub name: TargetId,
    pub region: usize,
    /// Hosts and numbers of the attempts that run.
    pub running: BTreeSet<(usize, u64)>,
    pub slow: f64,
    /// Requests served for callers of each region.
    pub warmth: [u32; 3],
    pub zone: ZoneId,
}

/// Busy slots of one region over time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Busy {
    /// Slots times seconds since the last sample.
    area: f64,
    busy: u32,
    changed_at: Moment,
    /// Highest share of a sample.
    highest: f64,
    /// The region is gone: its headroom says nothing.
    pub lost: bool,
    sampled_at: Moment,
    pub slots: u32,
}

impl Backend {
    pub fn new(target: &Target, region: usize, endpoint: Endpoint) -> Self {
        Self {
            dead: false,
            endpoint,
            name: target.name.clone(),
            region,
            running: BTreeSet::new(),
            slow: 1.0,
            warmth: [0; 3],
            zone: target.zone.clone(),
        }
    }

    /// Time that a request of `work` seconds takes when it starts now.
    pub fn service_time(&mut self, work: f64, home: usize) -> Duration {
        let served = &mut self.warmth[home];
        let cold = if home == self.region {
            0.0
        } else {
            (COLD_FACTOR - 1.0) * (-f64::from(*served) / COLD_REQUESTS).exp()
        };
        *served += 1;
        Duration::from_secs_f64(work * self.slow * (1.0 + cold))
    }

    /// Slots in use.
    pub fn busy(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    pub fn report(&self) -> LoadReport {
        match self.endpoint {
            Endpoint::Honest => LoadReport { busy: self.busy(), draining: false, slots: SLOTS },
            Endpoint::Idle => LoadReport { busy: 0, draining: false, slots: SLOTS },
            Endpoint::Tiny => LoadReport { busy: 1, draining: false, slots: 1 },
        }
    }
}

impl Busy {
    /// Adds to the busy slots.
    pub fn change(&mut self, by: i32, now: Moment) {
        self.integrate(now);
        self.busy = self.busy.saturating_add_signed(by);
    }

    /// Ends a sample.
    pub fn sample(&mut self, counted: bool, now: Moment) {
        self.integrate(now);
        let span = now.saturating_sub(self.sampled_at).as_secs_f64();
        let mean = self.area / span.max(f64::EPSILON) / f64::from(self.slots.max(1));
        if counted && !self.lost {
            self.highest = self.highest.max(mean);
        }
        self.area = 0.0;
        self.sampled_at = now;
    }

    /// Lowest spare share of a sample.
    pub fn headroom(&self) -> f64 {
        (1.0 - self.highest).max(0.0)
    }

    fn integrate(&mut self, now: Moment) {
        let span = now.saturating_sub(self.changed_at).as_secs_f64();
        self.area += f64::from(self.busy) * span;
        self.changed_at = now;
    }
}
