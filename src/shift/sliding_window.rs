//! Counts over a sliding window.

use crate::prelude::*;

/// Buckets of a window.
const BUCKETS: usize = 50;
/// Length of a bucket.
const STEP: Duration = Duration::from_millis(200);
/// Length of the window.
pub(super) const WINDOW: Duration = Duration::from_secs(10);

/// Requests of the last ten seconds: all, and those that were shifted or refused a shift.
#[derive(Clone, Debug)]
pub(super) struct SlidingWindow {
    buckets: [Bucket; BUCKETS],
    since: Moment,
    sums: Bucket,
    /// Number of the newest bucket.
    tick: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Bucket {
    /// Served here for callers whose own hosts are gone.
    pub(super) direct: u32,
    pub(super) refused: u32,
    pub(super) shifted: u32,
    pub(super) total: u32,
}

impl SlidingWindow {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            buckets: [Bucket::default(); BUCKETS],
            since: now,
            sums: Bucket::default(),
            tick: tick(now),
        }
    }

    /// Changes the newest bucket.
    pub(super) fn change(&mut self, now: Moment, change: impl Fn(&mut Bucket)) {
        self.roll(now);
        change(&mut self.buckets[(self.tick % BUCKETS as u64) as usize]);
        change(&mut self.sums);
    }

    /// Takes one from the newest bucket that counts any in `field`; false when none does.
    pub(super) fn take_back(
        &mut self,
        now: Moment,
        field: impl Fn(&mut Bucket) -> &mut u32,
    ) -> bool {
        self.roll(now);
        let newest = self.tick;
        let oldest = newest.saturating_sub(BUCKETS as u64 - 1);
        for tick in (oldest..=newest).rev() {
            let count = field(&mut self.buckets[(tick % BUCKETS as u64) as usize]);
            if *count != 0 {
                *count -= 1;
                *field(&mut self.sums) -= 1;
                return true;
            }
        }
        false
    }

    /// Sums over the window that ends now.
    pub(super) fn sums(&mut self, now: Moment) -> Bucket {
        self.roll(now);
        self.sums
    }

    /// Sums over the window that ends now, without moving it.
    pub(super) fn peek(&self, now: Moment) -> Bucket {
        let mut copy = self.clone();
        copy.roll(now);
        copy.sums
    }

    /// How much time the sums cover; a young window has seen less than a window.
    pub(super) fn span(&self, now: Moment) -> Duration {
        now.saturating_sub(self.since).clamp(Duration::from_secs(1), WINDOW)
    }

    fn roll(&mut self, now: Moment) {
        let newest = tick(now);
        if newest <= self.tick {
            return;
        }
        if BUCKETS as u64 <= newest - self.tick {
            self.buckets = [Bucket::default(); BUCKETS];
            self.sums = Bucket::default();
            self.tick = newest;
            return;
        }
        while self.tick < newest {
            self.tick += 1;
            let old = std::mem::take(&mut self.buckets[(self.tick % BUCKETS as u64) as usize]);
            self.sums.direct -= old.direct;
            self.sums.refused -= old.refused;
            self.sums.shifted -= old.shifted;
            self.sums.total -= old.total;
        }
    }
}

fn tick(now: Moment) -> u64 {
    (now.as_millis() / STEP.as_millis()) as u64
}
