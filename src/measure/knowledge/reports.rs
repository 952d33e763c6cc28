//! Loads that hosts report to each other.

use std::collections::VecDeque;

use super::{load::Size, loads::Loads};

/// Interval and age of the reports of way (0), in milliseconds.
pub(super) const HEARTBEAT_MS: u64 = 100;

/// Bytes of a report for each target with requests in flight.
const TARGET_BYTES: u64 = 6;

/// Bytes of a report beside those, with the headers of UDP and IP.
const ENVELOPE_BYTES: u64 = 60;

/// A change of the requests that a host has in flight at a target.
#[derive(Clone, Copy, Debug)]
struct Change {
    /// When the other hosts know of it, in milliseconds since the start.
    due: u64,
    host: usize,
    target: usize,
    is_sent: bool,
}

/// Which hosts send a report at the end of an interval.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Senders {
    All,
    /// Those whose requests in flight changed since their last report.
    Changed,
    /// None: the knowledge is free.
    Nobody,
}

/// Each host knows its own requests now, and those of the others as they were some time ago.
#[derive(Debug)]
pub(super) struct Reports {
    /// Age of what a host knows of the others, and interval of the reports, in milliseconds.
    age_ms: u64,
    /// By host, the number of targets where it has requests in flight.
    busy_targets: Vec<u64>,
    /// Bytes sent by host.
    bytes: Vec<u64>,
    changes: VecDeque<Change>,
    /// By host, whether its requests in flight changed since its last report.
    has_changed: Vec<bool>,
    next_report: u64,
    now: u64,
    /// Requests in flight by host and target.
    own: Vec<u32>,
    /// Those that the others know of.
    reported_own: Vec<u32>,
    /// Sum of `reported_own` over the hosts.
    reported: Vec<u32>,
    senders: Senders,
    targets: usize,
}

impl Reports {
    /// Loads without age and cost.
    pub fn exact(size: Size) -> Self {
        Self::new(size, 0, Senders::Nobody)
    }

    /// Reports in each heartbeat.
    pub fn heartbeats(size: Size) -> Self {
        Self::new(size, HEARTBEAT_MS, Senders::All)
    }

    /// Reports on change, collected over an interval of `age_ms` milliseconds.
    pub fn on_change(size: Size, age_ms: u64) -> Self {
        Self::new(size, age_ms, Senders::Changed)
    }

    fn new(size: Size, age_ms: u64, senders: Senders) -> Self {
        let pairs = size.hosts * size.targets;
        Self {
            age_ms,
            busy_targets: vec![0; size.hosts],
            bytes: vec![0; size.hosts],
            changes: VecDeque::new(),
            has_changed: vec![false; size.hosts],
            next_report: age_ms,
            now: 0,
            own: vec![0; pairs],
            reported_own: vec![0; pairs],
            reported: vec![0; size.targets],
            senders,
            targets: size.targets,
        }
    }

    fn send_reports(&mut self) {
        let receivers = self.bytes.len() as u64 - 1;
        for (host, bytes) in self.bytes.iter_mut().enumerate() {
            let has_changed = std::mem::take(&mut self.has_changed[host]);
            if has_changed || self.senders == Senders::All {
                *bytes += receivers * (ENVELOPE_BYTES + TARGET_BYTES * self.busy_targets[host]);
            }
        }
    }

    fn apply(&mut self, change: Change) {
        let pair = change.host * self.targets + change.target;
        let counts = [&mut self.reported_own[pair], &mut self.reported[change.target]];
        for count in counts {
            *count = if change.is_sent { *count + 1 } else { *count - 1 };
        }
    }

    fn change(&mut self, host: usize, target: usize, is_sent: bool) {
        self.has_changed[host] = true;
        let change = Change { due: self.now + self.age_ms, host, target, is_sent };
        match self.age_ms {
            0 => self.apply(change),
            _ => self.changes.push_back(change),
        }
    }
}

impl Loads for Reports {
    fn advance(&mut self, now: u64) {
        self.now = now;
        while self.senders != Senders::Nobody && self.next_report <= now {
            self.send_reports();
            self.next_report += self.age_ms;
        }
        while let Some(change) = self.changes.front().copied().filter(|it| it.due <= now) {
            self.changes.pop_front();
            self.apply(change);
        }
    }

    fn load(&self, host: usize, target: usize) -> u32 {
        let pair = host * self.targets + target;
        self.own[pair] + self.reported[target] - self.reported_own[pair]
    }

    fn sent(&mut self, host: usize, target: usize) {
        let own = &mut self.own[host * self.targets + target];
        *own += 1;
        self.busy_targets[host] += u64::from(*own == 1);
        self.change(host, target, true);
    }

    fn ended(&mut self, host: usize, target: usize, _load: usize) {
        let own = &mut self.own[host * self.targets + target];
        *own -= 1;
        self.busy_targets[host] -= u64::from(*own == 0);
        self.change(host, target, false);
    }

    fn bytes(&self) -> &[u64] {
        &self.bytes
    }
}
