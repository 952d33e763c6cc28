//! Tracks crash suspects and what runs where, for one host.

use super::{Fingerprint, QuarantineMark, QuarantineVerdict};
use crate::{base::invariant, prelude::*};

/// Maximum duration of a refusal, as a multiple of the first.
const MAX_REFUSAL_MULTIPLIER: u32 = 8;

/// Size and duration limits of a quarantine.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuarantineLimits {
    /// Maximum number of fingerprints with a record.
    pub records: usize,
    /// How long a request proven to crash targets is refused at first. Doubles with each proven
    /// crash, up to eightfold.
    pub refused: Duration,
    /// How long a suspicion lasts without proof.
    pub suspect: Duration,
}

impl Default for QuarantineLimits {
    fn default() -> Self {
        Self { records: 4096, refused: Duration::from_secs(60), suspect: Duration::from_secs(60) }
    }
}

/// How a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunMode {
    /// Only while nothing else runs on its target.
    Exclusive,
    /// Without restriction.
    Normal,
    /// Not at all before `until`.
    Refused { until: Moment },
}

/// Records of crash suspects, and the requests in flight on each target.
#[derive(Debug)]
pub struct Quarantine {
    limits: QuarantineLimits,
    records: BTreeMap<Fingerprint, Record>,
    active_runs: BTreeMap<TargetId, Vec<ActiveRun>>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RecordState {
    /// The request got a complete answer; suspicions that peers still report are ignored until the
    /// record ends.
    Cleared,
    Suspect,
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    /// Number of refusals imposed so far; sets the duration of the next one.
    refusals: u32,
    state: RecordState,
    /// End of the current state. Cleared: peers' suspicions are ignored until then. Suspect: the
    /// request runs alone until then. Refused: it does not run before then, and only alone after.
    until: Moment,
}

#[derive(Clone, Copy, Debug)]
struct ActiveRun {
    fingerprint: Fingerprint,
    /// Another request ran on the target at the same time, so a crash does not prove which one
    /// caused it.
    shared: bool,
}

impl Quarantine {
    pub fn new(limits: QuarantineLimits) -> Self {
        Self { limits, records: BTreeMap::new(), active_runs: BTreeMap::new() }
    }

    /// Records that a request was sent to `target`.
    pub fn record_start(&mut self, fingerprint: Fingerprint, target: &TargetId, now: Moment) {
        let run_mode = self.run_mode(fingerprint, now);
        let runs = self.active_runs.entry(target.clone()).or_default();
        let shared = !runs.is_empty();
        runs.iter_mut().for_each(|run| run.shared = true);
        runs.push(ActiveRun { fingerprint, shared });
        let refused = matches!(run_mode, RunMode::Refused { .. });
        invariant::check(!refused, "quarantine-not-run", || format!("{fingerprint:032x}"));
        let alone = run_mode != RunMode::Exclusive || !shared;
        invariant::check(alone, "suspect-runs-alone", || format!("{fingerprint:032x}"));
    }

    /// Records the conclusive end of a request that was sent to `target`: `crashed` if the target
    /// went down while running it, otherwise a complete answer, which clears the fingerprint
    /// whether it is suspect or refused. Returns the mark that peers should receive at once.
    pub fn record_end(
        &mut self,
        fingerprint: Fingerprint,
        target: &TargetId,
        crashed: bool,
        now: Moment,
    ) -> Option<QuarantineMark> {
        let run = self.take_run(fingerprint, target)?;
        if !crashed {
            self.clear(fingerprint);
            return None;
        }
        let others: Vec<Fingerprint> = self
            .active_runs
            .get(target)
            .map(|runs| runs.iter().map(|run| run.fingerprint).collect())
            .unwrap_or_default();
        for other in others {
            self.add_suspicion(other, now);
        }
        let proven = !run.shared && self.is_restricted(fingerprint, now);
        if proven {
            self.refuse(fingerprint, now)
        } else {
            self.add_suspicion(fingerprint, now)
        }
        self.mark(fingerprint, now)
    }

    /// Records the end of a request that neither proves nor disproves a crash: shed, timed out or
    /// cancelled.
    pub fn record_inconclusive_end(&mut self, fingerprint: Fingerprint, target: &TargetId) {
        self.take_run(fingerprint, target);
    }

    /// How a request of this fingerprint may run now.
    pub fn run_mode(&self, fingerprint: Fingerprint, now: Moment) -> RunMode {
        let Some(record) = self.records.get(&fingerprint) else { return RunMode::Normal };
        match record.state {
            RecordState::Refused if now < record.until => RunMode::Refused { until: record.until },
            // Once the refusal has ended, the request is tried again, but only alone.
            RecordState::Refused => RunMode::Exclusive,
            RecordState::Suspect if now < record.until => RunMode::Exclusive,
            RecordState::Cleared | RecordState::Suspect => RunMode::Normal,
        }
    }

    /// Marks of all current suspicions and refusals, for peers.
    pub fn marks(&self, now: Moment) -> Vec<QuarantineMark> {
        self.records.keys().filter_map(|&fingerprint| self.mark(fingerprint, now)).collect()
    }

    /// Merges a peer's mark. A mark with the same verdict that ends earlier than the own record, or
    /// at about the same time, is an echo of that record and is ignored: otherwise two hosts that
    /// repeat each other's marks, each with a short delay, would extend a suspicion forever. A new
    /// verdict ends well after the old one.
    ///
    /// The tolerance is a quarter of the longest duration of the verdict: by default 15 s for a
    /// suspicion and 120 s for a refusal, whose longest duration is `MAX_REFUSAL_MULTIPLIER` times
    /// the first. So a peer's refusal extends the own one only if it ends at least that much later.
    pub fn merge_mark(&mut self, mark: &QuarantineMark, now: Moment) {
        let (state, longest) = match mark.verdict {
            QuarantineVerdict::Refused => {
                (RecordState::Refused, self.limits.refused * MAX_REFUSAL_MULTIPLIER)
            }
            QuarantineVerdict::Suspect => (RecordState::Suspect, self.limits.suspect),
        };
        let left = mark.left.min(longest);
        if let Some(known) = self.records.get(&mark.fingerprint) {
            let contradicted = state == RecordState::Suspect && known.state != RecordState::Suspect;
            let is_echo = state == known.state && now + left < known.until + longest / 4;
            if is_echo || (contradicted && now < known.until) {
                return;
            }
        }
        let refusals = self.records.get(&mark.fingerprint).map_or(0, |known| known.refusals);
        let refusals = if state == RecordState::Refused { refusals.max(1) } else { refusals };
        self.insert_bounded(mark.fingerprint, Record { refusals, state, until: now + left }, now);
    }

    /// Number of fingerprints with a record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn take_run(&mut self, fingerprint: Fingerprint, target: &TargetId) -> Option<ActiveRun> {
        let runs = self.active_runs.get_mut(target)?;
        let index = runs.iter().position(|run| run.fingerprint == fingerprint)?;
        let run = runs.swap_remove(index);
        if runs.is_empty() {
            self.active_runs.remove(target);
        }
        Some(run)
    }

    fn is_restricted(&self, fingerprint: Fingerprint, now: Moment) -> bool {
        self.run_mode(fingerprint, now) != RunMode::Normal
    }

    fn clear(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.state = RecordState::Cleared;
        }
    }

    fn add_suspicion(&mut self, fingerprint: Fingerprint, now: Moment) {
        let known = self.records.get(&fingerprint).copied();
        if known.is_some_and(|record| record.state == RecordState::Refused) {
            return;
        }
        let until = now + self.limits.suspect;
        let refusals = known.map_or(0, |record| record.refusals);
        self.insert_bounded(
            fingerprint,
            Record { refusals, state: RecordState::Suspect, until },
            now,
        );
    }

    fn refuse(&mut self, fingerprint: Fingerprint, now: Moment) {
        let refusals = self.records.get(&fingerprint).map_or(0, |record| record.refusals);
        let multiplier = 1_u32
            .checked_shl(refusals)
            .unwrap_or(MAX_REFUSAL_MULTIPLIER)
            .min(MAX_REFUSAL_MULTIPLIER);
        let until = now + self.limits.refused * multiplier;
        let record = Record { refusals: refusals + 1, state: RecordState::Refused, until };
        self.insert_bounded(fingerprint, record, now);
    }

    /// The mark of one fingerprint for peers, if it is suspect or refused.
    pub fn mark(&self, fingerprint: Fingerprint, now: Moment) -> Option<QuarantineMark> {
        let record = self.records.get(&fingerprint)?;
        let left = record.until.checked_sub(now).filter(|left| !left.is_zero())?;
        let verdict = match record.state {
            RecordState::Cleared => return None,
            RecordState::Refused => QuarantineVerdict::Refused,
            RecordState::Suspect => QuarantineVerdict::Suspect,
        };
        Some(QuarantineMark { fingerprint, left, verdict })
    }

    /// Inserts a record and evicts another if the limit is reached: expired records first, refusals
    /// last, and otherwise the one that ends first.
    fn insert_bounded(&mut self, fingerprint: Fingerprint, record: Record, now: Moment) {
        if self.limits.records <= self.records.len() && !self.records.contains_key(&fingerprint) {
            let eviction_order = |record: &Record| {
                (now < record.until, record.state == RecordState::Refused, record.until)
            };
            let evicted = self.records.iter().min_by_key(|(_, record)| eviction_order(record));
            if let Some(evicted) = evicted.map(|(&evicted, _)| evicted) {
                self.records.remove(&evicted);
            }
        }
        self.insert(fingerprint, record);
    }

    /// Inserts a suspicion without evicting a record, to test that the invariant is checked.
    #[cfg(test)]
    pub(super) fn insert_unbounded(&mut self, fingerprint: Fingerprint, until: Moment) {
        self.insert(fingerprint, Record { refusals: 0, state: RecordState::Suspect, until });
    }

    fn insert(&mut self, fingerprint: Fingerprint, record: Record) {
        self.records.insert(fingerprint, record);
        let len = self.records.len();
        let bounded = len <= self.limits.records.max(1);
        invariant::check(bounded, "quarantine-bounded", || format!("{len} records"));
    }
}
