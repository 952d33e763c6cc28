//! Requests that crash every target that runs them.
//!
//! Such a request is retried and reaches further targets, through any host. Each crash of a target
//! counts against all requests that were running there. A request that is answered without a crash
//! is cleared; one with `MAX_CRASHES` crashes is refused.
//!
//! Load pattern: such a request comes again and again while hosts are restarted in turn. Each host
//! keeps all crashes that it hears of, so that what one counted outlasts it. The host that counted a
//! crash reports it; when nobody does any more, others that keep it go on. Hosts that start learn
//! them from these reports.

use std::collections::HashMap;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    fleet::{CrashReport, truncate_crash_reports},
    prelude::*,
};

/// Hash of a request's method, path and body.
pub type Fingerprint = u64;

/// Crashes after which a request is refused. Two could be coincidence: the other requests on a
/// crashed target are retried, and may be on a second target when that crashes.
const MAX_CRASHES: usize = 3;

/// How long the crashes of a request count after the last of them.
const CRASH_RETENTION: Duration = Duration::from_secs(60);

/// Age from which crashes of a request that is not suspected here are not taken over. What is about
/// to be forgotten would go round between hosts for good.
const MAX_LEARNED_AGE: Duration = Duration::from_secs(58);

/// Most fingerprints that are kept; the oldest are removed first.
const MAX_FINGERPRINTS: usize = 512;

/// Most crashes that are kept for one fingerprint.
const MAX_KEPT_CRASHES: usize = 8;

/// Most crashes reported in one heartbeat.
const MAX_REPORTED_CRASHES: usize = 64;

/// Time without a report of a crash after which hosts that keep it report it, and the period over
/// which they begin. Those that have not begun when they hear of it again need not.
const ADOPTION_DELAY: Duration = Duration::from_millis(300);
const ADOPTION_PERIOD: Duration = Duration::from_millis(700);

/// Counts crashes of targets by the fingerprints of the requests that were running there.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    crashes: HashMap<Fingerprint, Vec<Crash>>,
    /// Tells this host's delays from those of others.
    seed: u64,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    at: Moment,
    /// When another host last reported the same.
    heard_at: Moment,
    id: u32,
    is_cleared: bool,
    /// Whether this host counted it.
    is_own: bool,
    /// Whether this host reports it.
    is_reported: bool,
}

impl CrashSuspects {
    /// Creates the counts of one host.
    pub fn new(host: &HostId) -> Self {
        Self { crashes: HashMap::new(), seed: xxh3_64(host.as_bytes()) }
    }

    /// Whether no fingerprint is recorded.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Counts a crash with a random `id` against a request, and returns its number of crashes.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, id: u32, now: Moment) -> u8 {
        let (at, heard_at) = (now, now);
        let (is_cleared, is_own, is_reported) = (false, true, true);
        self.insert(fingerprint, Crash { at, heard_at, id, is_cleared, is_own, is_reported });
        self.count(fingerprint) as u8
    }

    fn insert(&mut self, fingerprint: Fingerprint, crash: Crash) {
        if MAX_FINGERPRINTS <= self.crashes.len() && !self.crashes.contains_key(&fingerprint) {
            let oldest = self.crashes.iter().min_by_key(|(key, kept)| (latest(kept), **key));
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            oldest.map(|fingerprint| self.crashes.remove(&fingerprint));
        }
        let kept = self.crashes.entry(fingerprint).or_default();
        kept.push(crash);
        if MAX_KEPT_CRASHES < kept.len() {
            kept.sort_by_key(|crash| crash.at);
            kept.remove(0);
        }
    }

    /// Takes over what other hosts report.
    pub fn learn(&mut self, reports: &[CrashReport], now: Moment) {
        for report in reports {
            let age = Duration::from_millis(report.age_ms.into());
            let kept = self.crashes.get_mut(&report.fingerprint);
            if kept.is_none() && MAX_LEARNED_AGE <= age {
                continue;
            }
            let known = kept.and_then(|kept| kept.iter_mut().find(|crash| crash.id == report.id));
            match known {
                Some(crash) => {
                    crash.is_cleared |= report.is_cleared;
                    if crash.is_cleared == report.is_cleared {
                        crash.heard_at = now;
                    }
                }
                None => {
                    let CrashReport { fingerprint, id, is_cleared, .. } = *report;
                    let (at, heard_at) = (now.saturating_sub(age), now);
                    let (is_own, is_reported) = (false, false);
                    let crash = Crash { at, heard_at, id, is_cleared, is_own, is_reported };
                    self.insert(fingerprint, crash);
                }
            }
        }
    }

    /// Clears a request that was answered without a crash: the crashes counted against it, by any
    /// host, were not its fault. Returns whether there were any.
    pub fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        let kept = self.crashes.get_mut(&fingerprint);
        let counted = kept.into_iter().flatten().filter(|crash| !crash.is_cleared);
        counted.map(Crash::clear).count() != 0
    }

    /// Forgets the crashes that this host counted since a time: it had lost its own links to the
    /// targets. Those that it only heard of stay.
    pub fn forget_since(&mut self, since: Moment) {
        let all = self.crashes.values_mut().flatten();
        all.filter(|crash| since <= crash.at && crash.is_own).for_each(Crash::clear);
    }

    fn count(&self, fingerprint: Fingerprint) -> usize {
        let kept = self.crashes.get(&fingerprint);
        kept.into_iter().flatten().filter(|crash| !crash.is_cleared).count()
    }

    /// Whether a request may run.
    pub fn may_run(&self, fingerprint: Fingerprint) -> bool {
        self.count(fingerprint) < MAX_CRASHES
    }

    /// The crashes that this host reports to other hosts.
    pub fn reports(&self, now: Moment) -> Vec<CrashReport> {
        let report = |fingerprint: Fingerprint, crash: &Crash| {
            let age_ms = now.saturating_sub(crash.at).as_millis().min(u16::MAX.into()) as u16;
            CrashReport { fingerprint, id: crash.id, age_ms, is_cleared: crash.is_cleared }
        };
        let reported = self.crashes.iter().flat_map(|(fingerprint, kept)| {
            let reported = kept.iter().filter(|crash| crash.is_reported);
            reported.map(|crash| report(*fingerprint, crash))
        });
        let mut reports: Vec<CrashReport> = reported.collect();
        reports.sort_unstable_by_key(|report| (report.fingerprint, report.id));
        truncate_crash_reports(&mut reports, MAX_REPORTED_CRASHES);
        reports
    }

    /// Removes expired entries, and begins to report what nobody reports any more.
    pub fn tick(&mut self, now: Moment) {
        self.crashes.retain(|_, kept| now.saturating_sub(latest(kept)) < CRASH_RETENTION);
        for (fingerprint, kept) in &mut self.crashes {
            let spread = xxh3_64_with_seed(&fingerprint.to_le_bytes(), self.seed);
            let spread = ADOPTION_PERIOD.mul_f64(spread as f64 / u64::MAX as f64);
            for crash in kept {
                crash.is_reported |= crash.heard_at + ADOPTION_DELAY + spread <= now;
            }
        }
    }
}

impl Crash {
    /// Clears this crash, and has this host tell the others.
    fn clear(&mut self) {
        self.is_cleared = true;
        self.is_reported = true;
    }
}

/// When the last of some crashes was.
fn latest(crashes: &[Crash]) -> Moment {
    crashes.iter().map(|crash| crash.at).max().unwrap_or_default()
}
