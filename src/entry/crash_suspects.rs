//! Requests that crash every target that runs them.
//!
//! Such a request is retried and reaches further targets, through any host. Each crash of a target
//! counts against all requests that were running there. A request that is answered without a crash
//! is cleared; one with `MAX_CRASHES` crashes is refused. Hosts report their counts to each other.

use std::collections::HashMap;

use crate::prelude::*;

/// Hash of a request's method, path and body.
pub type Fingerprint = u64;

/// Crashes after which a request is refused. Two could be coincidence: the other requests on a
/// crashed target are retried, and may be on a second target when that crashes.
const MAX_CRASHES: u8 = 3;

/// How long a crash counts.
const CRASH_RETENTION: Duration = Duration::from_secs(60);

/// Most fingerprints that are kept; the oldest are removed first.
const MAX_FINGERPRINTS: usize = 512;

/// Counts crashes of targets by the fingerprints of the requests that were running there.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    crashes: HashMap<Fingerprint, CrashRecord>,
}

#[derive(Clone, Copy, Debug)]
struct CrashRecord {
    at: Moment,
    count: u8,
}

impl CrashSuspects {
    /// Whether no fingerprint is recorded.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Counts a crash against a request and returns its number of crashes seen by this host.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, now: Moment) -> u8 {
        if MAX_FINGERPRINTS <= self.crashes.len() {
            let oldest =
                self.crashes.iter().min_by_key(|(fingerprint, record)| (record.at, **fingerprint));
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            oldest.map(|fingerprint| self.crashes.remove(&fingerprint));
        }
        let record = self.crashes.entry(fingerprint).or_insert(CrashRecord { at: now, count: 0 });
        record.at = now;
        record.count = record.count.saturating_add(1);
        record.count
    }

    /// Clears a request that was answered without a crash: the crashes counted against it, here or
    /// `elsewhere`, were not its fault. If other hosts reported crashes, an entry with a count of
    /// zero is kept, which overrides their reports.
    pub fn clear(&mut self, fingerprint: Fingerprint, elsewhere: u8, now: Moment) {
        if 0 < elsewhere {
            self.crashes.insert(fingerprint, CrashRecord { at: now, count: 0 });
        } else {
            self.crashes.remove(&fingerprint);
        }
    }

    /// Forgets the crashes counted since a time: this host had lost its own links to the targets.
    pub fn forget_since(&mut self, since: Moment) {
        self.crashes.retain(|_, record| record.at < since || record.count == 0);
    }

    /// Whether this host has counted a crash against a request.
    pub fn has_crashes(&self, fingerprint: Fingerprint) -> bool {
        self.crashes.get(&fingerprint).is_some_and(|record| 0 < record.count)
    }

    /// Whether a request may run, given the crashes that other hosts counted `elsewhere`.
    pub fn may_run(&self, fingerprint: Fingerprint, elsewhere: u8) -> bool {
        match self.crashes.get(&fingerprint) {
            Some(record) if record.count == 0 => true,
            Some(record) => record.count.saturating_add(elsewhere) < MAX_CRASHES,
            None => elsewhere < MAX_CRASHES,
        }
    }

    /// The crashes counted by this host, to be reported to other hosts.
    pub fn reported_crashes(&self) -> Vec<(Fingerprint, u8)> {
        let counted = self.crashes.iter().filter(|(_, record)| 0 < record.count);
        counted.map(|(fingerprint, record)| (*fingerprint, record.count)).collect()
    }

    /// Removes expired entries.
    pub fn tick(&mut self, now: Moment) {
        self.crashes.retain(|_, record| now.saturating_sub(record.at) < CRASH_RETENTION);
    }
}
