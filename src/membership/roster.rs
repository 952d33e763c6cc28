//! The other hosts of the own zone.

use super::{
    digest::HostEntry, event::MembershipEvent, limits::MembershipLimits, payload::hash_of,
    record::HostRecord,
};
use crate::{prelude::*, view::HostView};

/// Tombstones are kept for this multiple of the silence after which a host is forgotten.
const TOMBSTONE_FACTOR: u32 = 6;

/// Last state of a forgotten host. Without it, an entry from a peer that has not forgotten the host
/// yet would add it again.
#[derive(Clone, Debug)]
struct Tombstone {
    forgotten_at: Moment,
    last: HostEntry,
}

/// The other hosts of the own zone.
#[derive(Clone, Debug, Default)]
pub(super) struct Roster {
    /// Whether anything other than heartbeats has changed since the last `take_changed`.
    changed: bool,
    records: BTreeMap<HostId, HostRecord>,
    tombstones: BTreeMap<HostId, Tombstone>,
}

impl Roster {
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    pub fn get(&self, host: &str) -> Option<&HostRecord> {
        self.records.get(host)
    }

    /// Returns the hosts that are not suspected, including those that are leaving.
    pub fn live(&self) -> impl Iterator<Item = &HostView> {
        self.records.values().filter(|record| !record.suspected).map(|record| &record.view)
    }

    pub fn suspected(&self) -> impl Iterator<Item = &HostView> {
        self.records.values().filter(|record| record.suspected).map(|record| &record.view)
    }

    /// Returns the hosts that were forgotten recently. Contacting them detects the end of a network
    /// partition.
    pub fn forgotten(&self) -> impl Iterator<Item = &HostView> {
        self.tombstones.values().map(|tombstone| &tombstone.last.view)
    }

    pub fn entries(&self, now: Moment) -> impl Iterator<Item = HostEntry> + '_ {
        self.records.values().map(move |record| record.entry(now))
    }

    /// Hashes the id, epoch and revision of every host, including `own`. Two hosts with the same
    /// hash know the same state of the same hosts; heartbeats and suspicions are not covered.
    pub fn hash(&self, own: &HostEntry) -> u64 {
        let mut rows: Vec<_> = self
            .records
            .values()
            .map(|record| (&record.view.id, record.epoch, record.revision))
            .collect();
        rows.push((&own.view.id, own.epoch, own.revision));
        rows.sort();
        hash_of(&rows)
    }

    /// Returns the heartbeat counters including the own one, sorted by host name.
    pub fn beats(&self, own: &HostEntry) -> Vec<u64> {
        let mut beats: Vec<_> = self.records.iter().map(|(id, record)| (id, record.beat)).collect();
        beats.push((&own.view.id, own.beat));
        beats.sort();
        beats.into_iter().map(|(_, beat)| beat).collect()
    }

    /// Applies the heartbeat counters that `beats` returned at a peer with the same roster.
    pub fn apply_beats(
        &mut self,
        own: &HostId,
        beats: &[u64],
        now: Moment,
        events: &mut Vec<MembershipEvent>,
    ) {
        if beats.len() != self.records.len() + 1 {
            return;
        }
        let before_own = self.records.range::<HostId, _>(..own).count();
        let beats = beats.iter().enumerate().filter(|(at, _)| *at != before_own);
        for (record, (_, &beat)) in self.records.values_mut().zip(beats) {
            if record.advance_beat(beat, now) && std::mem::take(&mut record.suspected) {
                self.changed = true;
                events.push(MembershipEvent::Returned(record.view.id.clone()));
            }
        }
    }

    /// Merges the entry of one host. Of two incarnations the one with the higher epoch stays,
    /// however often the other is heard: a process that was paused before its replacement started,
    /// and then resumes on the same address, cannot displace the new one. At equal epochs the known
    /// incarnation stays, unless it is suspected and the other was heard just now (`age_ms` is 0).
    pub fn merge(
        &mut self,
        entry: HostEntry,
        now: Moment,
        limits: &MembershipLimits,
        events: &mut Vec<MembershipEvent>,
    ) {
        let id = entry.view.id.clone();
        let Some(known) = self.records.get_mut(&id) else {
            return self.insert_new(entry, now, limits, events);
        };
        let same = known.view.incarnation == entry.view.incarnation;
        if !same {
            let newer = known.epoch < entry.epoch
                || (known.epoch == entry.epoch && known.suspected && entry.age_ms == 0);
            if newer {
                self.changed = true;
                let old = std::mem::replace(known, HostRecord::new(entry, now));
                if !old.view.leaving {
                    events.push(MembershipEvent::Left(old.view));
                }
                events.push(MembershipEvent::Joined(known.view.clone()));
            }
            return;
        }
        self.changed |= known.epoch < entry.epoch || known.revision < entry.revision;
        known.epoch = known.epoch.max(entry.epoch);
        if known.revision < entry.revision {
            known.revision = entry.revision;
            let old = std::mem::replace(&mut known.view, entry.view);
            if known.view.leaving && !old.leaving {
                events.push(MembershipEvent::Left(old));
            }
        }
        let heard = now.saturating_sub(Duration::from_millis(entry.age_ms));
        if known.advance_beat(entry.beat, heard) && std::mem::take(&mut known.suspected) {
            self.changed = true;
            events.push(MembershipEvent::Returned(id));
        }
    }

    /// Suspects or forgets hosts that were silent for too long.
    pub fn tick(
        &mut self,
        now: Moment,
        limits: &MembershipLimits,
        events: &mut Vec<MembershipEvent>,
    ) {
        let slack = limits.slack(self.records.len() + 1);
        let (suspect_after, forget_after) =
            (limits.suspect_after + slack, limits.forget_after + slack);
        let mut forgotten = Vec::new();
        for (id, record) in &mut self.records {
            let silence = now.saturating_sub(record.last_heard);
            let remove_after = if record.view.leaving { suspect_after } else { forget_after };
            if remove_after <= silence {
                forgotten.push(id.clone());
            } else if suspect_after <= silence && !record.suspected {
                record.suspected = true;
                self.changed = true;
                events.push(MembershipEvent::Suspected(id.clone()));
            }
        }
        for id in forgotten {
            let Some(record) = self.records.remove(&id) else { continue };
            self.changed = true;
            self.tombstones.insert(id, Tombstone { forgotten_at: now, last: record.entry(now) });
            if !record.view.leaving {
                events.push(MembershipEvent::Left(record.view));
            }
        }
        self.tombstones
            .retain(|_, tombstone| now < tombstone.forgotten_at + forget_after * TOMBSTONE_FACTOR);
    }

    /// Excludes a pause of this host from the silence of the others.
    pub fn shift_last_heard(&mut self, pause: Duration) {
        self.records.values_mut().for_each(|record| record.last_heard += pause);
    }

    fn insert_new(
        &mut self,
        entry: HostEntry,
        now: Moment,
        limits: &MembershipLimits,
        events: &mut Vec<MembershipEvent>,
    ) {
        if let Some(Tombstone { last, .. }) = self.tombstones.get(&entry.view.id) {
            let same = last.view.incarnation == entry.view.incarnation;
            if entry.epoch < last.epoch || (same && entry.beat <= last.beat) {
                return;
            }
        }
        let forget_after = limits.forget_after + limits.slack(self.records.len() + 1);
        if forget_after <= Duration::from_millis(entry.age_ms) {
            return;
        }
        self.tombstones.remove(&entry.view.id);
        self.changed = true;
        let record = HostRecord::new(entry, now);
        events.push(MembershipEvent::Joined(record.view.clone()));
        self.records.insert(record.view.id.clone(), record);
    }
}
