//! Requests that crash every target that runs them.
//!
//! Such a request comes again, at any host. Each crash counts against all requests that ran there;
//! one that comes to a good end is cleared. At `CRASHES` it is refused. Hosts tell each other.

use std::collections::HashMap;

use crate::prelude::*;

/// Hash of a request's method, path and body.
pub type Fingerprint = u64;

/// Crashes after which a request is refused. Two could be chance: the other requests on a crashed
/// target are sent again, and may meet a second crash.
const CRASHES: u8 = 3;

/// Time for which a crash counts.
const KEPT: Duration = Duration::from_secs(60);

/// Most fingerprints that are remembered; the oldest go first.
const MOST: usize = 512;

/// Crashes by fingerprint.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    crashes: HashMap<Fingerprint, Record>,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    at: Moment,
    count: u8,
}

impl CrashSuspects {
    /// Whether there is nothing to look for.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// A target went down under a request; tells how often that was.
    pub fn crashed(&mut self, fingerprint: Fingerprint, now: Moment) -> u8 {
        if MOST <= self.crashes.len() {
            let oldest = self.crashes.iter().min_by_key(|(print, record)| (record.at, **print));
            let oldest = oldest.map(|(print, _)| *print);
            oldest.map(|print| self.crashes.remove(&print));
        }
        let record = self.crashes.entry(fingerprint).or_insert(Record { at: now, count: 0 });
        record.at = now;
        record.count = record.count.saturating_add(1);
        record.count
    }

    /// A request came to a good end: what was counted against it, here or `elsewhere`, was chance.
    pub fn cleared(&mut self, fingerprint: Fingerprint, elsewhere: u8, now: Moment) {
        if 0 < elsewhere {
            self.crashes.insert(fingerprint, Record { at: now, count: 0 });
        } else {
            self.crashes.remove(&fingerprint);
        }
    }

    /// Whether a crash counts against a request.
    pub fn counts(&self, fingerprint: Fingerprint) -> bool {
        self.crashes.get(&fingerprint).is_some_and(|record| 0 < record.count)
    }

    /// Whether a request may run; `elsewhere` is what other hosts saw.
    pub fn may_run(&self, fingerprint: Fingerprint, elsewhere: u8) -> bool {
        match self.crashes.get(&fingerprint) {
            Some(record) if record.count == 0 => true,
            Some(record) => record.count.saturating_add(elsewhere) < CRASHES,
            None => elsewhere < CRASHES,
        }
    }

    /// What other hosts are told.
    pub fn marks(&self) -> Vec<(Fingerprint, u8)> {
        let counted = self.crashes.iter().filter(|(_, record)| 0 < record.count);
        counted.map(|(print, record)| (*print, record.count)).collect()
    }

    /// Forgets old crashes.
    pub fn tick(&mut self, now: Moment) {
        self.crashes.retain(|_, record| now.saturating_sub(record.at) < KEPT);
    }
}
