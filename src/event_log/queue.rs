//! Lines that wait to be written, within bounds of rate and size.
//!
//! Load pattern: an overload refuses thousands of requests a second while whoever reads the output
//! is slow or stopped. The first lines of each second by kind and cause are kept; when the queue is
//! full, steps of requests give way to failures and to what the host believes. What is dropped is
//! counted by kind.

use std::collections::{HashMap, VecDeque};

use super::{EventKind, EventLogSettings, kind::Priority};
use crate::prelude::*;

/// Span of the rate bound.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// One line that asks to be kept.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingLine {
    /// With `kind`, what the rate is bounded by.
    pub rate_key: &'static str,
    pub kind: EventKind,
    pub text: Vec<u8>,
    pub priority: Priority,
}

/// The queue; a pure state machine.
#[derive(Debug)]
pub struct LineQueue {
    bytes: usize,
    /// Lines dropped since they were last told, by kind.
    dropped: BTreeMap<EventKind, u64>,
    lines: VecDeque<PendingLine>,
    window_counts: HashMap<(EventKind, &'static str), u32>,
    window_start: Moment,
    settings: EventLogSettings,
}

impl LineQueue {
    /// An empty queue.
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

    /// Whether a line of this kind and cause may still be written in this second; if not, it is
    /// counted. Asked before the line is made, since that costs more.
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

    /// Keeps a line, in place of lighter ones where there is no room.
    pub fn push(&mut self, pending: PendingLine) {
        let room = self.settings.queue_bytes;
        while room < self.bytes + pending.text.len() {
            let light = self.lines.iter().position(|line| line.priority < pending.priority);
            let Some(at) = light else { return self.count_dropped(pending.kind) };
            if let Some(line) = self.lines.remove(at) {
                self.bytes -= line.text.len();
                self.count_dropped(line.kind);
            }
        }
        self.bytes += pending.text.len();
        self.lines.push_back(pending);
    }

    /// Takes all lines out, oldest first, each with its line feed.
    pub fn take_lines(&mut self) -> Vec<u8> {
        let mut text = Vec::with_capacity(self.bytes);
        for line in std::mem::take(&mut self.lines) {
            text.extend_from_slice(&line.text);
        }
        self.bytes = 0;
        text
    }

    /// Takes the counts of dropped lines out.
    pub fn take_dropped(&mut self) -> BTreeMap<EventKind, u64> {
        std::mem::take(&mut self.dropped)
    }

    fn count_dropped(&mut self, kind: EventKind) {
        *self.dropped.entry(kind).or_default() += 1;
    }
}
