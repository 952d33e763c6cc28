//! What is counted in a window of time.

use std::ops::AddAssign;

use super::targets::Load;
use crate::{event_log::End, prelude::*};

/// Length of a window.
pub const WINDOW: Duration = Duration::from_secs(2);

/// Requests of a service in a span of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Requests sent to targets; a retry or hedge counts again.
    pub sent: u64,
    /// Of these, sent to a full target.
    pub sent_to_full: u64,
    /// Of these, while another target of its region and service had a free slot.
    pub sent_to_full_while_free: u64,
    /// Of those sent to a full target, those whose host believed that it had a free slot.
    pub sent_to_full_believed_free: u64,
    /// Requests sent with an estimate of the target's load that was wrong by two or more.
    pub load_wrong: u64,
    /// Requests that no target could take.
    pub not_placed: u64,
    /// Of these, while the chosen region had a free slot.
    pub not_placed_while_free: u64,
    /// Answers of targets within the objective.
    pub in_time: u64,
    /// Answers of targets after the objective.
    pub late: u64,
    /// Answers of targets that report a failure.
    pub target_failed: u64,
    /// Answers by hosts: refused and not run.
    pub refused: u64,
    /// Answers by hosts: failed, and may have run.
    pub failed: u64,
}

/// A load, summed up over time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadTime {
    /// Time that the sum covers, in seconds.
    pub seconds: f64,
    pub slots: f64,
    pub used: f64,
    pub waiting: f64,
}

/// What is counted in one window of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Window {
    pub counts: Counts,
    pub load: LoadTime,
}

impl Counts {
    /// Counts an answer.
    pub fn add_answer(&mut self, end: End) {
        let count = match end {
            End::Served => &mut self.in_time,
            End::Late => &mut self.late,
            End::TargetFailed => &mut self.target_failed,
            End::Refused => &mut self.refused,
            End::Failed => &mut self.failed,
        };
        *count += 1;
    }

    /// All answers to callers, those of hosts included.
    pub fn answers(&self) -> u64 {
        self.in_time + self.late + self.target_failed + self.refused + self.failed
    }

    /// Of the requests that targets served, the fraction in time; `None` if there were none.
    pub fn in_time_of_served(&self) -> Option<f64> {
        fraction(self.in_time, self.in_time + self.late)
    }

    /// Of all answers to callers, the fraction in time; `None` if there were none.
    pub fn in_time_of_answers(&self) -> Option<f64> {
        fraction(self.in_time, self.answers())
    }
}

/// The fraction `part` of `whole`; `None` of nothing.
pub fn fraction(part: u64, whole: u64) -> Option<f64> {
    (0 < whole).then(|| part as f64 / whole as f64)
}

impl LoadTime {
    /// Adds a load that lasted for `span`.
    pub fn add(&mut self, load: Load, span: Duration) {
        let seconds = span.as_secs_f64();
        self.seconds += seconds;
        self.slots += load.slots as f64 * seconds;
        self.used += load.used as f64 * seconds;
        self.waiting += load.waiting as f64 * seconds;
    }
}

impl Window {
    /// Adds the same span of time of another service.
    pub fn add_service(&mut self, other: &Self) {
        let seconds = self.load.seconds.max(other.load.seconds);
        *self += *other;
        self.load.seconds = seconds;
    }
}

impl AddAssign for Window {
    /// Adds another span of time.
    fn add_assign(&mut self, other: Self) {
        self.counts += other.counts;
        self.load.seconds += other.load.seconds;
        self.load.slots += other.load.slots;
        self.load.used += other.load.used;
        self.load.waiting += other.load.waiting;
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.sent += other.sent;
        self.sent_to_full += other.sent_to_full;
        self.sent_to_full_while_free += other.sent_to_full_while_free;
        self.sent_to_full_believed_free += other.sent_to_full_believed_free;
        self.load_wrong += other.load_wrong;
        self.not_placed += other.not_placed;
        self.not_placed_while_free += other.not_placed_while_free;
        self.in_time += other.in_time;
        self.late += other.late;
        self.target_failed += other.target_failed;
        self.refused += other.refused;
        self.failed += other.failed;
    }
}
