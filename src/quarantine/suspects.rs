//! The quarantine of one host.

use super::{Fingerprint, QuarantineMark, QuarantineVerdict};
use crate::{base::invariant, prelude::*};

/// Longest refusal, as a multiple of the first.
const MAX_DOUBLING: u32 = 8;

/// Bounds of a quarantine.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuarantineLimits {
    /// Most fingerprints that are remembered.
    pub records: usize,
    /// First time that a guilty request is refused for; doubles each time, up to eightfold.
    pub refused: Duration,
    /// Time that an unproven suspicion stands.
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
    /// Only with nothing else on its target.
    Exclusive,
    /// Like any other.
    Normal,
    /// Not at all until then.
    Refused { until: Moment },
}

/// Fingerprints under suspicion and what runs where.
#[derive(Debug)]
pub struct Quarantine {
    limits: QuarantineLimits,
    records: BTreeMap<Fingerprint, Record>,
    running: BTreeMap<TargetId, Vec<Run>>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Gave a whole answer: a peer's older suspicion is not believed.
    Cleared,
    Suspect,
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    /// Times that it was refused.
    refusals: u32,
    state: State,
    until: Moment,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    fingerprint: Fingerprint,
    /// Another request ran on the target at the same time, so a crash proves nothing.
    shared: bool,
}

impl Quarantine {
    /// An empty quarantine.
    pub fn new(limits: QuarantineLimits) -> Self {
        Self { limits, records: BTreeMap::new(), running: BTreeMap::new() }
    }

    /// A request was sent to `target`.
    pub fn record_start(&mut self, fingerprint: Fingerprint, target: &TargetId, now: Moment) {
        let run_mode = self.run_mode(fingerprint, now);
        let runs = self.running.entry(target.clone()).or_default();
        let shared = !runs.is_empty();
        runs.iter_mut().for_each(|run| run.shared = true);
        runs.push(Run { fingerprint, shared });
        let refused = matches!(run_mode, RunMode::Refused { .. });
        invariant::hold(!refused, "quarantine-not-run", || format!("{fingerprint:032x}"));
        let alone = run_mode != RunMode::Exclusive || !shared;
        invariant::hold(alone, "suspect-runs-alone", || format!("{fingerprint:032x}"));
    }

    /// A request that was sent to `target` ended; `crashed` when the target went down under it.
    /// Returns what peers should learn at once.
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
            .running
            .get(target)
            .map(|runs| runs.iter().map(|run| run.fingerprint).collect())
            .unwrap_or_default();
        for other in others {
            self.suspect(other, now);
        }
        let proven = !run.shared && self.is_suspect(fingerprint, now);
        if proven {
            self.refuse(fingerprint, now)
        } else {
            self.suspect(fingerprint, now)
        }
        self.mark(fingerprint, now)
    }

    /// A request ended in a way that proves nothing: shed, timed out, cancelled.
    pub fn record_inconclusive_end(&mut self, fingerprint: Fingerprint, target: &TargetId) {
        self.take_run(fingerprint, target);
    }

    /// How a request of this fingerprint may run now.
    pub fn run_mode(&self, fingerprint: Fingerprint, now: Moment) -> RunMode {
        let Some(record) = self.records.get(&fingerprint) else { return RunMode::Normal };
        match record.state {
            State::Refused if now < record.until => RunMode::Refused { until: record.until },
            // Past its time a guilty request is tried again, but alone.
            State::Refused => RunMode::Exclusive,
            State::Suspect if now < record.until => RunMode::Exclusive,
            State::Cleared | State::Suspect => RunMode::Normal,
        }
    }

    /// Everything that peers should know.
    pub fn marks(&self, now: Moment) -> Vec<QuarantineMark> {
        self.records.keys().filter_map(|&fingerprint| self.mark(fingerprint, now)).collect()
    }

    /// Takes in what a peer knows. A mark that ends about when the own record of it does (or did)
    /// is an echo and ignored: two hosts that repeat each other, each echo a little late, would
    /// keep a suspicion alive for ever. A fresh verdict ends well after the old one.
    pub fn merge_mark(&mut self, mark: &QuarantineMark, now: Moment) {
        let (state, longest) = match mark.verdict {
            QuarantineVerdict::Refused => (State::Refused, self.limits.refused * MAX_DOUBLING),
            QuarantineVerdict::Suspect => (State::Suspect, self.limits.suspect),
        };
        let left = mark.left.min(longest);
        if let Some(known) = self.records.get(&mark.fingerprint) {
            let refuted = state == State::Suspect && known.state != State::Suspect;
            let echoes = state == known.state && now + left < known.until + longest / 4;
            if echoes || (refuted && now < known.until) {
                return;
            }
        }
        let refusals = self.records.get(&mark.fingerprint).map_or(0, |known| known.refusals);
        let refusals = if state == State::Refused { refusals.max(1) } else { refusals };
        self.put(mark.fingerprint, Record { refusals, state, until: now + left }, now);
    }

    /// Fingerprints that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn take_run(&mut self, fingerprint: Fingerprint, target: &TargetId) -> Option<Run> {
        let runs = self.running.get_mut(target)?;
        let index = runs.iter().position(|run| run.fingerprint == fingerprint)?;
        let run = runs.swap_remove(index);
        if runs.is_empty() {
            self.running.remove(target);
        }
        Some(run)
    }

    fn is_suspect(&self, fingerprint: Fingerprint, now: Moment) -> bool {
        self.run_mode(fingerprint, now) != RunMode::Normal
    }

    fn clear(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.state = State::Cleared;
        }
    }

    fn suspect(&mut self, fingerprint: Fingerprint, now: Moment) {
        let known = self.records.get(&fingerprint).copied();
        if known.is_some_and(|record| record.state == State::Refused) {
            return;
        }
        let until = now + self.limits.suspect;
        let refusals = known.map_or(0, |record| record.refusals);
        self.put(fingerprint, Record { refusals, state: State::Suspect, until }, now);
    }

    fn refuse(&mut self, fingerprint: Fingerprint, now: Moment) {
        let refusals = self.records.get(&fingerprint).map_or(0, |record| record.refusals);
        let doubling = 1_u32.checked_shl(refusals).unwrap_or(MAX_DOUBLING).min(MAX_DOUBLING);
        let until = now + self.limits.refused * doubling;
        let record = Record { refusals: refusals + 1, state: State::Refused, until };
        self.put(fingerprint, record, now);
    }

    /// What peers should know of one fingerprint.
    pub fn mark(&self, fingerprint: Fingerprint, now: Moment) -> Option<QuarantineMark> {
        let record = self.records.get(&fingerprint)?;
        let left = record.until.checked_sub(now).filter(|left| !left.is_zero())?;
        let verdict = match record.state {
            State::Cleared => return None,
            State::Refused => QuarantineVerdict::Refused,
            State::Suspect => QuarantineVerdict::Suspect,
        };
        Some(QuarantineMark { fingerprint, left, verdict })
    }

    /// Keeps a record within the bound: past ones go first, then suspicions, then what ends first.
    fn put(&mut self, fingerprint: Fingerprint, record: Record, now: Moment) {
        if self.limits.records <= self.records.len() && !self.records.contains_key(&fingerprint) {
            let rank = |record: &Record| {
                (now < record.until, record.state == State::Refused, record.until)
            };
            let first = self.records.iter().min_by_key(|(_, record)| rank(record));
            if let Some(first) = first.map(|(&first, _)| first) {
                self.records.remove(&first);
            }
        }
        self.insert(fingerprint, record);
    }

    /// Adds a suspicion without making room for it, to see the invariant fire.
    #[cfg(test)]
    pub(super) fn put_unasked(&mut self, fingerprint: Fingerprint, until: Moment) {
        self.insert(fingerprint, Record { refusals: 0, state: State::Suspect, until });
    }

    fn insert(&mut self, fingerprint: Fingerprint, record: Record) {
        self.records.insert(fingerprint, record);
        let len = self.records.len();
        let bounded = len <= self.limits.records.max(1);
        invariant::hold(bounded, "quarantine-bounded", || format!("{len} records"));
    }
}
