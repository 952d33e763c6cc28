//! The times of a host's lines, also if its wall clock jumps.
//!
//! The boot clock never jumps. Within one run of a host, the time of a line is therefore the boot
//! clock plus the median difference of the two clocks.

use crate::prelude::*;

/// The boot clock begins anew with each run. Lines of several threads may be out of order by less
/// than this.
const MAX_REORDER_MS: i64 = 1_000;

/// Differences up to this one are rounding and the delay between the readings of the two clocks.
const MAX_JITTER_MS: i64 = 50;

/// Number of a run: the time of a host from a start to its end.
pub type RunId = u32;

/// The clocks of one host.
#[derive(Debug, Default)]
pub struct HostClock {
    runs: Vec<Run>,
}

#[derive(Debug, Default)]
struct Run {
    last_up_ms: i64,
    /// Number of lines by the difference of wall clock and boot clock, in milliseconds.
    offsets: BTreeMap<i64, u64>,
}

/// The times of one run.
#[derive(Clone, Copy, Debug)]
pub struct RunTimes {
    /// Last line, in milliseconds since the Unix epoch.
    pub end_ms: i64,
    /// Number of lines whose wall clock differs from the time that they were given.
    pub jumped_lines: u64,
    offset_ms: i64,
}

impl HostClock {
    /// Takes in the clocks of a line, in the order of the log; returns the run of the line.
    pub fn observe(&mut self, at_ms: i64, up_ms: i64, is_start: bool) -> RunId {
        let last_up_ms = self.runs.last().map(|run| run.last_up_ms);
        if is_start || last_up_ms.is_none_or(|last| up_ms.saturating_add(MAX_REORDER_MS) < last) {
            self.runs.push(Run::default());
        }
        let id = self.runs.len() - 1;
        let run = &mut self.runs[id];
        run.last_up_ms = run.last_up_ms.max(up_ms);
        *run.offsets.entry(at_ms - up_ms).or_default() += 1;
        id as RunId
    }

    /// The times of the runs, in their order.
    pub fn run_times(&self) -> Vec<RunTimes> {
        self.runs.iter().map(Run::times).collect()
    }
}

impl Run {
    fn times(&self) -> RunTimes {
        let offset_ms = self.median_offset();
        let jumped = |offset: &i64| MAX_JITTER_MS < offset.saturating_sub(offset_ms).abs();
        let jumped_lines =
            self.offsets.iter().filter(|(offset, _)| jumped(offset)).map(|(_, count)| count).sum();
        RunTimes { end_ms: self.last_up_ms.saturating_add(offset_ms), jumped_lines, offset_ms }
    }

    fn median_offset(&self) -> i64 {
        let total: u64 = self.offsets.values().sum();
        let mut seen = 0;
        for (offset, count) in &self.offsets {
            seen += count;
            if total <= seen * 2 {
                return *offset;
            }
        }
        0
    }
}

impl RunTimes {
    /// The time of a line, in milliseconds since the Unix epoch.
    pub fn time_ms(&self, up_ms: i64) -> i64 {
        up_ms.saturating_add(self.offset_ms)
    }
}
