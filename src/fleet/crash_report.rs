//! Crashes of targets that are held against requests, as hosts tell each other of them.

use std::{cmp::Reverse, collections::HashMap};

use crate::prelude::*;

/// Maximum number of crashes in a zone's sum. Keeps a zone report within a few packets.
const MAX_REPORTS: usize = 128;

/// A crash of a target while a request was running there.
///
/// Reports are sets: the same crash told by several hosts counts once, so that any host may pass on
/// what it heard.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Hash of the request's method, path and body.
    pub fingerprint: u64,
    /// Random id of this crash of this request.
    pub id: u32,
    /// Time since the crash, in milliseconds.
    pub age_ms: u16,
    /// Whether the request was answered since without a crash.
    pub is_cleared: bool,
}

impl CrashReport {
    /// What two reports of the same crash say together.
    pub fn merge(self, other: Self) -> Self {
        let age_ms = self.age_ms.max(other.age_ms);
        Self { age_ms, is_cleared: self.is_cleared || other.is_cleared, ..self }
    }
}

/// Merges reports, sorted by fingerprint and id. Of too many, those of the requests with most
/// crashes are kept.
pub fn merge_crash_reports(reports: impl Iterator<Item = CrashReport>) -> Vec<CrashReport> {
    let mut merged: BTreeMap<(u64, u32), CrashReport> = BTreeMap::new();
    for report in reports {
        let known = merged.entry((report.fingerprint, report.id)).or_insert(report);
        *known = known.merge(report);
    }
    let mut merged: Vec<CrashReport> = merged.into_values().collect();
    truncate(&mut merged, MAX_REPORTS);
    merged
}

/// Removes reports beyond `max`: of the requests with fewest crashes, and of those the oldest.
pub fn truncate(reports: &mut Vec<CrashReport>, max: usize) {
    if reports.len() <= max {
        return;
    }
    let mut counts: HashMap<u64, usize> = HashMap::new();
    for report in reports.iter() {
        *counts.entry(report.fingerprint).or_default() += 1;
    }
    reports.sort_by_key(|report| (Reverse(counts[&report.fingerprint]), report.age_ms));
    reports.truncate(max);
    reports.sort_unstable_by_key(|report| (report.fingerprint, report.id));
}
