//! How long a request keeps a slot, at a target that knows its object and at one that does not.

use crate::prelude::*;

/// Time at a target that knows the object, before any was measured. It only ranks the first
/// targets: nothing is refused for the time of its work before that was measured.
const KNOWN_ASSUMED: Duration = Duration::from_millis(300);

/// Time at a target that does not know the object as a multiple of that, before it was measured:
/// what targets remember saves most of the work, or they would not be asked to.
const RATIO_ASSUMED: f64 = 3.0;

/// Least weight of the newest run; the last twenty count.
const NEWEST: f64 = 0.05;

/// Most that one run counts above the estimate, as a part of it: a run that found a free slot by
/// what was told may have had to wait after all.
const CLIP: f64 = 0.3;

/// Runs that count in full: the assumption may be far off.
const FIRST_RUNS: u32 = 5;

/// Weight of the newest request in the mean time of a slot; the last fifty count.
const MEAN_NEWEST: f64 = 0.02;

/// Bounds of the ratio: a first run is not faster, and one outlier must not make it endless.
const RATIO_LEAST: f64 = 1.0;
const RATIO_MOST: f64 = 20.0;

/// Shortest time that counts, in seconds: timers do not tell less apart.
const LEAST: f64 = 0.001;

/// Learnt times of one service.
#[derive(Clone, Copy, Debug)]
pub struct WorkTime {
    /// In seconds.
    known: f64,
    known_runs: u32,
    /// In seconds.
    mean: f64,
    ratio: f64,
    ratio_runs: u32,
}

impl Default for WorkTime {
    fn default() -> Self {
        let known = KNOWN_ASSUMED.as_secs_f64();
        Self { known, known_runs: 0, mean: known, ratio: RATIO_ASSUMED, ratio_runs: 0 }
    }
}

impl WorkTime {
    /// Whether runs of both kinds were seen.
    pub fn is_measured(&self) -> bool {
        0 < self.known_runs && 0 < self.ratio_runs
    }

    /// At a target that knows the object.
    pub fn hit(&self) -> Duration {
        Duration::from_secs_f64(self.known)
    }

    /// At a target that does not.
    pub fn miss(&self) -> Duration {
        Duration::from_secs_f64(self.known * self.ratio)
    }

    /// Of all requests, by where they went.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// A request goes where it is expected to keep a slot that long.
    pub fn record_sent(&mut self, expected: Duration) {
        self.mean += (expected.as_secs_f64() - self.mean) * MEAN_NEWEST;
    }

    /// A run that had not to wait for a slot took that long. `knew`: whether the target surely knew
    /// the object, or surely did not; `None` where that is not sure. Tells whether the run was fast.
    pub fn record_run(&mut self, took: Duration, knew: Option<bool>) -> bool {
        let took = took.as_secs_f64().max(LEAST);
        let was_fast = took < self.known * self.ratio.sqrt();
        match knew {
            Some(true) => self.learn_known(took),
            Some(false) if !was_fast => self.learn_ratio(took),
            _ => {}
        }
        was_fast
    }

    fn learn_known(&mut self, took: f64) {
        self.known_runs = self.known_runs.saturating_add(1);
        let off = took - self.known;
        let off = if self.known_runs < FIRST_RUNS { off } else { off.min(self.known * CLIP) };
        self.known += off * weight(self.known_runs);
    }

    fn learn_ratio(&mut self, took: f64) {
        self.ratio_runs = self.ratio_runs.saturating_add(1);
        let ratio = (took / self.known).clamp(RATIO_LEAST, RATIO_MOST);
        self.ratio += (ratio - self.ratio) * weight(self.ratio_runs);
    }
}

/// Weight of the newest of that many runs: their mean at first, then that of the last ones.
fn weight(runs: u32) -> f64 {
    NEWEST.max(1.0 / f64::from(runs))
}
