//! The queue of lines to be written, limited in rate and in size.
//!
//! In an overload a host refuses thousands of requests per second while the reader of its output
//! may be slow or stopped. In each second the queue accepts a limited number of lines per kind and
//! rate key. When it is full, lines about failures and about the host's state displace steps of
//! successful requests. Dropped lines are counted by kind.

use std::collections::{HashMap, VecDeque};

use super::{EventKind, EventLogSettings, kind::Priority};
use crate::prelude::*;

/// Period that the rate limit applies to.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// A line to be queued.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingLine {
    /// Together with `kind`, the key of the rate limit.
    pub rate_key: &'static str,
    pub kind: EventKind,
    pub text: Vec<u8>,
    pub priority: Priority,
}

/// The line queue, without I/O; callers pass in the time.
#[derive(Debug)]
pub struct LineQueue {
    bytes: usize,
    /// Lines dropped since the last report, by kind.
    dropped: BTreeMap<EventKind, u64>,
    lines: VecDeque<PendingLine>,
    window_counts: HashMap<(EventKind, &'static str), u32>,
    window_start: Moment,
    settings: EventLogSettings,
}

impl LineQueue {
    /// Creates an empty queue.
    pub fn new(settings: EventLogSettings) -> Self {
        Self {
            bytes: 0,
            dropped: BTreeMap::new(),
            lines: VecDeque::new(),
            window_counts: HashMap::new(),
            window_start: Moment::ZERO,
            settings,
        }
    }

    /// Checks the rate limit for a line of this kind and rate key; a refused line is counted as
    /// dropped. Called before the line is formatted, since formatting costs more.
    pub fn admit(&mut self, kind: EventKind, rate_key: &'static str, now: Moment) -> bool {
        if RATE_WINDOW <= now.saturating_sub(self.window_start) {
            self.window_start = now;
            self.window_counts.clear();
        }
        let count = self.window_counts.entry((kind, rate_key)).or_default();
        *count += 1;
        let admitted = *count <= self.settings.lines_per_second;
        if !admitted {
            self.count_dropped(kind);
        }
        admitted
    }

    /// Appends a line. If the queue is full, drops the oldest lines of lower priority to make room;
    /// if there are none, drops the new line.
    pub fn push(&mut self, pending: PendingLine) {
        let max_bytes = self.settings.queue_bytes;
        while max_bytes < self.bytes + pending.text.len() {
            let lower_priority =
                self.lines.iter().position(|line| line.priority < pending.priority);
            let Some(at) = lower_priority else { return self.count_dropped(pending.kind) };
            if let Some(line) = self.lines.remove(at) {
                self.bytes -= line.text.len();
                self.count_dropped(line.kind);
            }
        }
        self.bytes += pending.text.len();
        self.lines.push_back(pending);
    }

    /// Removes and concatenates all lines, oldest first; each ends with a line feed.
    pub fn take_lines(&mut self) -> Vec<u8> {
        let mut text = Vec::with_capacity(self.bytes);
        for line in std::mem::take(&mut self.lines) {
            text.extend_from_slice(&line.text);
        }
        self.bytes = 0;
        text
    }

    /// Returns the counts of dropped lines and resets them.
    pub fn take_dropped(&mut self) -> BTreeMap<EventKind, u64> {
        std::mem::take(&mut self.dropped)
    }

    fn count_dropped(&mut self, kind: EventKind) {
        *self.dropped.entry(kind).or_default() += 1;
    }
}
