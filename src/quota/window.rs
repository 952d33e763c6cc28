//! Sliding window over the requests of one team at this host.

use std::collections::VecDeque;

use super::{REPORT_WINDOW, TeamCounts};
use crate::prelude::*;

/// Length of a time bucket.
const BUCKET: Duration = Duration::from_millis(50);

/// Number of time buckets in the window.
const BUCKETS: u64 = (REPORT_WINDOW.as_millis() / BUCKET.as_millis()) as u64;

/// Arrived and admitted requests by time bucket.
#[derive(Debug, Default)]
pub(super) struct CountWindow {
    buckets: VecDeque<(u64, TeamCounts)>,
}

impl CountWindow {
    pub fn record_arrival(&mut self, now: Moment) {
        self.bucket(now).0 += 1;
    }

    pub fn record_admission(&mut self, now: Moment) {
        self.bucket(now).1 += 1;
    }

    /// Removes the latest admission in the window, for a request that did not run.
    pub fn undo_admission(&mut self) {
        let counts = self.buckets.iter_mut().rev().map(|(_, counts)| counts);
        if let Some((_, admitted)) = counts.into_iter().find(|(_, admitted)| 0 < *admitted) {
            *admitted -= 1;
        }
    }

    /// Totals over the window.
    pub fn counts(&self, now: Moment) -> TeamCounts {
        let first = (bucket_index(now) + 1).saturating_sub(BUCKETS);
        let within = self.buckets.iter().filter(|(index, _)| first <= *index);
        within.fold((0, 0), |sum, (_, counts)| (sum.0 + counts.0, sum.1 + counts.1))
    }

    fn bucket(&mut self, now: Moment) -> &mut TeamCounts {
        let index = bucket_index(now);
        self.buckets.retain(|(kept, _)| index < *kept + BUCKETS);
        if self.buckets.back().is_none_or(|(last, _)| *last < index) {
            self.buckets.push_back((index, (0, 0)));
        }
        &mut self.buckets.back_mut().expect("the bucket of this time exists").1
    }
}

fn bucket_index(now: Moment) -> u64 {
    (now.as_millis() / BUCKET.as_millis()) as u64
}

/// Requests per second for a count over the window.
pub(super) fn rate(count: u32) -> f64 {
    f64::from(count) / REPORT_WINDOW.as_secs_f64()
}
