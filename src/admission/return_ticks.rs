//! Counts of a `ReturnSchedule`: promises and returns per tick, and the share of callers that return.

/// Fraction of the callers told to come back that do so; the others do not wait.
pub(super) const RETURN_SHARE: f64 = 0.7;

/// Weight of `RETURN_SHARE` in the observed share, in promises. With few promises, the returns of
/// one tick vary by chance; with a weight this low, one tick without returns suffices to stop
/// keeping room for callers that do not come.
const RETURN_SHARE_WEIGHT: f64 = 3.0;

/// Factor per tick by which older observations count less, so that the last second decides.
const OBSERVATION_DECAY: f64 = 0.8;

/// Priorities that are told apart; higher numbers count as the last one.
pub(super) const PRIORITIES: usize = 4;

/// What happens in one tick.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tick {
    /// Requests that were started or queued of callers that were not told to come back, by
    /// priority.
    pub(super) new_requests: [u32; PRIORITIES],
    /// Callers told to come back in this tick, by priority.
    pub(super) promised: [u32; PRIORITIES],
    pub(super) returned: u32,
}

impl Tick {
    /// Callers told to come back in this tick.
    pub(super) fn total(&self) -> u32 {
        self.promised.iter().fold(0, |sum, promised| sum.saturating_add(*promised))
    }

    /// Callers of the class and of higher priorities that are still expected, if `share` of those
    /// that were told to come back do so.
    pub(super) fn awaited(&self, class: usize, share: f64) -> f64 {
        let promised: f64 = self.promised[..=class].iter().copied().map(f64::from).sum();
        (promised * share - f64::from(self.returned)).max(0.0)
    }

    /// Removes one promise of the lowest priority.
    pub(super) fn withdraw(&mut self) {
        if let Some(promised) = self.promised.iter_mut().rev().find(|promised| 0 < **promised) {
            *promised -= 1;
        }
    }
}

/// Promises that fell due lately, and the returns that followed.
#[derive(Debug, Default)]
pub(super) struct ObservedReturns {
    promised: f64,
    returned: f64,
}

impl ObservedReturns {
    /// Counts a tick that ended.
    pub(super) fn record(&mut self, tick: &Tick) {
        self.promised = self.promised * OBSERVATION_DECAY + f64::from(tick.total());
        self.returned = self.returned * OBSERVATION_DECAY + f64::from(tick.returned);
    }

    /// Counts a caller that came in the tick after its own.
    pub(super) fn record_late(&mut self) {
        self.returned += 1.0;
    }

    /// The fraction of the callers told to come back that do so.
    pub(super) fn share(&self) -> f64 {
        let returned = RETURN_SHARE * RETURN_SHARE_WEIGHT + self.returned;
        (returned / (RETURN_SHARE_WEIGHT + self.promised)).min(1.0)
    }
}
