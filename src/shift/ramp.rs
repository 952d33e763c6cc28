//! How much of a cap is in use: a shift starts small and grows while it goes well.

use std::collections::VecDeque;

use super::ShiftOptions;
use crate::{base::invariant, manifest::Share, prelude::*};

/// First step, as a share of the cap.
const FIRST_STEP: Share = 0.1;
/// Least time between two steps up, and between two steps down.
const STEP_TIME: Duration = Duration::from_millis(500);
/// Good answers that a step up needs.
const STEP_GOOD: u32 = 3;
/// Bad answers, as a share of a step's answers, that make it back off.
const BAD_SHARE: Share = 0.6;
/// Bad answers and refusals, as a share of all that ended in a step, that make it back off.
const REFUSED_SHARE: Share = 0.9;
/// Without shifts for this long the caches of the receiving region count as cold again.
const COLD_AFTER: Duration = Duration::from_secs(30);
/// First pause after backing off; doubles with every reversal of the last minutes.
const PAUSE_BASE: Duration = Duration::from_secs(4);
/// Longest pause.
const PAUSE_MAX: Duration = Duration::from_secs(64);
/// Span over which reversals are counted.
const REVERSAL_SPAN: Duration = Duration::from_secs(300);
/// Most reversals that the pauses allow within the span.
const REVERSAL_MAX: usize = 16;

/// What the end of a shifted request says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Feedback {
    /// It failed, or took far longer than usual: the receiving region suffers.
    Bad,
    Good,
    /// The receiving region had no slot to spare. Its reserve protects it, so that some refusals
    /// only say that it is in use.
    Refused,
}

/// The share of a cap that may be used now.
///
/// A large shift at once meets cold caches: answers slow down, slots fill and the receiving region
/// tips over. Growing on good answers and halving on bad ones finds what it can bear. A pause that
/// doubles with each reversal keeps the share from swinging.
#[derive(Clone, Debug)]
pub(super) struct Ramp {
    bad: u32,
    good: u32,
    last_shift: Moment,
    last_step: Moment,
    /// Share that was open at the last shift.
    open: Share,
    paused_until: Moment,
    refused: u32,
    reversals: VecDeque<Moment>,
    rising: bool,
    rules: ShiftOptions,
    share: Share,
}

impl Ramp {
    pub(super) fn new(rules: ShiftOptions, now: Moment) -> Self {
        Self {
            bad: 0,
            good: 0,
            last_shift: now,
            last_step: now,
            open: FIRST_STEP,
            paused_until: now,
            refused: 0,
            reversals: VecDeque::new(),
            rising: true,
            rules,
            share: FIRST_STEP,
        }
    }

    /// Share of the cap that may be used now.
    pub(super) fn share(&self, now: Moment) -> Share {
        if !self.rules.ramp {
            return 1.0;
        }
        if COLD_AFTER < now.saturating_sub(self.last_shift) { FIRST_STEP } else { self.share }
    }

    /// Part of a small flow's least step that is open: all of it until the ramp backs off below
    /// its own first step.
    pub(super) fn least(&self, now: Moment) -> Share {
        (self.share(now) / FIRST_STEP).min(1.0)
    }

    /// A shift was allowed while `share` of the cap was open: more than this ramp's own share where
    /// a small flow got its least step, and then the next step starts from there.
    pub(super) fn used(&mut self, share: Share, now: Moment) {
        if COLD_AFTER < now.saturating_sub(self.last_shift) {
            self.step_to(FIRST_STEP, now);
        }
        self.open = share;
        self.last_shift = now;
    }

    /// A shifted request ended.
    pub(super) fn record(&mut self, feedback: Feedback, now: Moment) {
        match feedback {
            Feedback::Bad => self.bad += 1,
            Feedback::Good => self.good += 1,
            Feedback::Refused => self.refused += 1,
        }
        if now.saturating_sub(self.last_step) < STEP_TIME {
            return;
        }
        if self.is_going_badly() {
            self.step_down(now);
        } else if STEP_GOOD <= self.good && self.paused_until <= now {
            self.step_up(now);
        }
    }

    fn is_going_badly(&self) -> bool {
        let answers = f64::from(self.good + self.bad);
        let lost = f64::from(self.bad + self.refused);
        let ends = answers + f64::from(self.refused);
        answers * BAD_SHARE < f64::from(self.bad) || ends * REFUSED_SHARE < lost
    }

    /// Changes of direction within the counted span.
    pub(super) fn reversals(&self) -> usize {
        self.reversals.len()
    }

    fn step_down(&mut self, now: Moment) {
        self.turn(false, now);
        let doublings = u32::try_from(self.reversals.len() / 2).unwrap_or(u32::MAX).min(8);
        let pause = PAUSE_BASE.saturating_mul(1 << doublings).min(PAUSE_MAX);
        self.paused_until = if self.rules.pause { now + pause } else { now };
        self.step_to((self.share / 2.0).max(FIRST_STEP / 4.0), now);
    }

    fn step_up(&mut self, now: Moment) {
        if self.share < 1.0 {
            self.turn(true, now);
        }
        self.step_to((self.share.max(self.open) * 2.0).min(1.0), now);
    }

    fn step_to(&mut self, share: Share, now: Moment) {
        self.share = share;
        self.last_step = now;
        (self.bad, self.good, self.refused) = (0, 0, 0);
    }

    fn turn(&mut self, rising: bool, now: Moment) {
        while self.reversals.front().is_some_and(|&at| at + REVERSAL_SPAN < now) {
            self.reversals.pop_front();
        }
        if self.rising == rising {
            return;
        }
        self.rising = rising;
        self.reversals.push_back(now);
        let count = self.reversals.len();
        invariant::hold(count <= REVERSAL_MAX, "shift-reversals-bounded", || {
            format!("{count} reversals within {REVERSAL_SPAN:?}")
        });
    }
}
