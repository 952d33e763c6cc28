//! Gradual increase of the share of a shift cap that may be used.

use std::collections::VecDeque;

use super::ShiftOptions;
use crate::{base::invariant, manifest::Share, prelude::*};

/// Share of the cap that a shift starts with.
const INITIAL_SHARE: Share = 0.1;
/// Minimum time between two changes of the share.
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(500);
/// Good answers that an increase requires.
const MIN_GOOD_ANSWERS: u32 = 3;
/// The share is reduced when more than this share of the answers since its last change were bad.
const MAX_BAD_SHARE: Share = 0.6;
/// The share is reduced when more than this share of all requests that ended since its last change
/// were bad or refused.
const MAX_UNSERVED_SHARE: Share = 0.9;
/// After this long without shifts the caches of the receiving region are assumed to be cold.
const COLD_AFTER: Duration = Duration::from_secs(30);
/// Time without increases after the share was reduced; doubles with every two reversals within
/// `REVERSAL_SPAN`.
const PAUSE_BASE: Duration = Duration::from_secs(4);
const PAUSE_MAX: Duration = Duration::from_secs(64);
/// Time over which reversals are counted.
const REVERSAL_SPAN: Duration = Duration::from_secs(300);
/// Reversals that the pauses allow within `REVERSAL_SPAN`.
const MAX_REVERSALS: usize = 16;

/// What the outcome of a shifted request says about the receiving region.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Feedback {
    /// It failed or took far longer than usual: the receiving region is overloaded.
    Bad,
    Good,
    /// The receiving region had no free slot outside its reserve. The reserve protects it, so some
    /// refusals only mean that it is busy.
    Refused,
}

/// The share of a cap that may be used now.
///
/// A large shift at once meets cold caches: answers slow down, slots fill up and the receiving
/// region is overloaded. Doubling the share on good answers and halving it on bad ones finds what
/// the region can handle. Pauses that grow with the number of reversals keep the share from
/// oscillating.
#[derive(Clone, Debug)]
pub(super) struct Ramp {
    bad: u32,
    good: u32,
    last_shift: Moment,
    last_step: Moment,
    /// Share of the cap that was usable at the last shift.
    share_at_last_shift: Share,
    paused_until: Moment,
    refused: u32,
    reversals: VecDeque<Moment>,
    rising: bool,
    options: ShiftOptions,
    share: Share,
}

impl Ramp {
    pub(super) fn new(options: ShiftOptions, now: Moment) -> Self {
        Self {
            bad: 0,
            good: 0,
            last_shift: now,
            last_step: now,
            share_at_last_shift: INITIAL_SHARE,
            paused_until: now,
            refused: 0,
            reversals: VecDeque::new(),
            rising: true,
            options,
            share: INITIAL_SHARE,
        }
    }

    /// Share of the cap that may be used now.
    pub(super) fn share(&self, now: Moment) -> Share {
        if !self.options.ramp {
            return 1.0;
        }
        if COLD_AFTER < now.saturating_sub(self.last_shift) { INITIAL_SHARE } else { self.share }
    }

    /// Fraction of a small flow's minimum rate that may be used now: all of it, unless the share
    /// was reduced below `INITIAL_SHARE`.
    pub(super) fn min_rate_fraction(&self, now: Moment) -> Share {
        (self.share(now) / INITIAL_SHARE).min(1.0)
    }

    /// Records that a shift was allowed while `share` of the cap was usable. For a small flow at
    /// its minimum rate this is more than the ramp's own share; the next increase then starts from
    /// `share`.
    pub(super) fn record_shift(&mut self, share: Share, now: Moment) {
        if COLD_AFTER < now.saturating_sub(self.last_shift) {
            self.step_to(INITIAL_SHARE, now);
        }
        self.share_at_last_shift = share;
        self.last_shift = now;
    }

    /// Records the outcome of a shifted request and adjusts the share.
    pub(super) fn record(&mut self, feedback: Feedback, now: Moment) {
        match feedback {
            Feedback::Bad => self.bad += 1,
            Feedback::Good => self.good += 1,
            Feedback::Refused => self.refused += 1,
        }
        if now.saturating_sub(self.last_step) < MIN_STEP_INTERVAL {
            return;
        }
        if self.should_back_off() {
            self.step_down(now);
        } else if MIN_GOOD_ANSWERS <= self.good && self.paused_until <= now {
            self.step_up(now);
        }
    }

    fn should_back_off(&self) -> bool {
        let answered = f64::from(self.good + self.bad);
        let unserved = f64::from(self.bad + self.refused);
        let total = answered + f64::from(self.refused);
        answered * MAX_BAD_SHARE < f64::from(self.bad) || total * MAX_UNSERVED_SHARE < unserved
    }

    /// Number of direction changes within `REVERSAL_SPAN`, as of the last change of the share.
    pub(super) fn reversals(&self) -> usize {
        self.reversals.len()
    }

    fn step_down(&mut self, now: Moment) {
        self.set_direction(false, now);
        let doublings = u32::try_from(self.reversals.len() / 2).unwrap_or(u32::MAX).min(8);
        let pause = PAUSE_BASE.saturating_mul(1 << doublings).min(PAUSE_MAX);
        self.paused_until = if self.options.pause { now + pause } else { now };
        self.step_to((self.share / 2.0).max(INITIAL_SHARE / 4.0), now);
    }

    fn step_up(&mut self, now: Moment) {
        if self.share < 1.0 {
            self.set_direction(true, now);
        }
        self.step_to((self.share.max(self.share_at_last_shift) * 2.0).min(1.0), now);
    }

    fn step_to(&mut self, share: Share, now: Moment) {
        self.share = share;
        self.last_step = now;
        (self.bad, self.good, self.refused) = (0, 0, 0);
    }

    fn set_direction(&mut self, rising: bool, now: Moment) {
        while self.reversals.front().is_some_and(|&at| at + REVERSAL_SPAN < now) {
            self.reversals.pop_front();
        }
        if self.rising == rising {
            return;
        }
        self.rising = rising;
        self.reversals.push_back(now);
        let count = self.reversals.len();
        invariant::check(count <= MAX_REVERSALS, "shift-reversals-bounded", || {
            format!("{count} reversals within {REVERSAL_SPAN:?}")
        });
    }
}
