//! Request counts over a sliding window.

use crate::prelude::*;

const BUCKETS: usize = 50;
const BUCKET_LENGTH: Duration = Duration::from_millis(200);
pub(super) const WINDOW: Duration = Duration::from_secs(10);

/// Requests of the last ten seconds: all of them, and those that were shifted, served directly or
/// refused.
#[derive(Clone, Debug)]
pub(super) struct SlidingWindow {
    buckets: [Bucket; BUCKETS],
    started_at: Moment,
    sums: Bucket,
    /// Number of the newest bucket.
    bucket_number: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Bucket {
    /// Served here for callers whose home hosts are gone.
    pub(super) direct: u32,
    pub(super) refused: u32,
    pub(super) shifted: u32,
    pub(super) total: u32,
}

impl SlidingWindow {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            buckets: [Bucket::default(); BUCKETS],
            started_at: now,
            sums: Bucket::default(),
            bucket_number: bucket_number(now),
        }
    }

    /// Applies `add` to the newest bucket and to the sums.
    pub(super) fn update(&mut self, now: Moment, add: impl Fn(&mut Bucket)) {
        self.advance(now);
        add(&mut self.buckets[(self.bucket_number % BUCKETS as u64) as usize]);
        add(&mut self.sums);
    }

    /// Subtracts one from `field` of the newest bucket in which it is not 0. Returns false if it is
    /// 0 in all buckets.
    pub(super) fn decrement(
        &mut self,
        now: Moment,
        field: impl Fn(&mut Bucket) -> &mut u32,
    ) -> bool {
        self.advance(now);
        let newest = self.bucket_number;
        let oldest = newest.saturating_sub(BUCKETS as u64 - 1);
        for bucket_number in (oldest..=newest).rev() {
            let count = field(&mut self.buckets[(bucket_number % BUCKETS as u64) as usize]);
            if *count != 0 {
                *count -= 1;
                *field(&mut self.sums) -= 1;
                return true;
            }
        }
        false
    }

    /// Sums over the window that ends at `now`.
    pub(super) fn sums(&mut self, now: Moment) -> Bucket {
        self.advance(now);
        self.sums
    }

    /// Sums over the window that ends at `now`, without advancing it.
    pub(super) fn sums_at(&self, now: Moment) -> Bucket {
        let mut copy = self.clone();
        copy.advance(now);
        copy.sums
    }

    /// The time that the sums cover: less than `WINDOW` until that much time has passed, and at
    /// least a second.
    pub(super) fn span(&self, now: Moment) -> Duration {
        now.saturating_sub(self.started_at).clamp(Duration::from_secs(1), WINDOW)
    }

    fn advance(&mut self, now: Moment) {
        let newest = bucket_number(now);
        if newest <= self.bucket_number {
            return;
        }
        if BUCKETS as u64 <= newest - self.bucket_number {
            self.buckets = [Bucket::default(); BUCKETS];
            self.sums = Bucket::default();
            self.bucket_number = newest;
            return;
        }
        while self.bucket_number < newest {
            self.bucket_number += 1;
            let old =
                std::mem::take(&mut self.buckets[(self.bucket_number % BUCKETS as u64) as usize]);
            self.sums.direct -= old.direct;
            self.sums.refused -= old.refused;
            self.sums.shifted -= old.shifted;
            self.sums.total -= old.total;
        }
    }
}

fn bucket_number(now: Moment) -> u64 {
    (now.as_millis() / BUCKET_LENGTH.as_millis()) as u64
}
