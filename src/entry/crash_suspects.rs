//! Requests that crash every target that runs them.
//!
//! Such a request comes again, at any host. Each crash counts against all requests that ran there;
//! one that comes to a good end is cleared. At `MAX_CRASHES` it is refused. Hosts tell each other.

use std::collections::HashMap;

use crate::prelude::*;

/// Hash of a request's method, path and body.
pub type Fingerprint = u64;

/// Crashes after which a request is refused. Two could be chance: the other requests on a crashed
/// target are sent again, and may meet a second crash.
const MAX_CRASHES: u8 = 3;

/// Time for which a crash counts.
const CRASH_RETENTION: Duration = Duration::from_secs(60);

/// Most fingerprints that are remembered; the oldest go first.
const MAX_FINGERPRINTS: usize = 512;

/// Crashes by fingerprint.
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
    /// Whether there is nothing to look for.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// A target went down under a request; tells how often that was.
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

    /// A request came to a good end: what was counted against it, here or `elsewhere`, was chance.
    pub fn clear(&mut self, fingerprint: Fingerprint, elsewhere: u8, now: Moment) {
        if 0 < elsewhere {
            self.crashes.insert(fingerprint, CrashRecord { at: now, count: 0 });
        } else {
            self.crashes.remove(&fingerprint);
        }
    }

    /// Whether a crash counts against a request.
    pub fn has_crashes(&self, fingerprint: Fingerprint) -> bool {
        self.crashes.get(&fingerprint).is_some_and(|record| 0 < record.count)
    }

    /// Whether a request may run; `elsewhere` is what other hosts saw.
    pub fn may_run(&self, fingerprint: Fingerprint, elsewhere: u8) -> bool {
        match self.crashes.get(&fingerprint) {
            Some(record) if record.count == 0 => true,
            Some(record) => record.count.saturating_add(elsewhere) < MAX_CRASHES,
            None => elsewhere < MAX_CRASHES,
        }
    }

    /// What other hosts are told.
    pub fn reported_crashes(&self) -> Vec<(Fingerprint, u8)> {
        let counted = self.crashes.iter().filter(|(_, record)| 0 < record.count);
        counted.map(|(fingerprint, record)| (*fingerprint, record.count)).collect()
    }

    /// Forgets old crashes.
    pub fn tick(&mut self, now: Moment) {
        self.crashes.retain(|_, record| now.saturating_sub(record.at) < CRASH_RETENTION);
    }
}
