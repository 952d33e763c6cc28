//! What a host believes of the store's objects, and what it makes of news, losses and returns.

use std::collections::{BTreeSet, btree_map};

use super::{Declared, DeclaredVersion, KnownTarget, Part, TargetEntry, target};
use xxhash_rust::xxh3::Xxh3Default;

use crate::prelude::*;

/// Time after the store's return in which a target that lapsed meanwhile is still used. Targets
/// that live write their entries again within about two seconds; without the wait a whole service
/// would be gone right after an outage.
const RETURN_WAIT: Duration = Duration::from_millis(2_200);

/// A shorter silence of the store can't have let an entry lapse: targets write every 1.5 s and
/// entries go after three missed writes.
const LAPSE_LEAST: Duration = Duration::from_millis(1_500);

/// Time for which a target stays cold where the declaration does not tell.
const COLD_ASSUMED: Duration = Duration::from_secs(3);

/// A short summary of what a host believes, to be compared with other hosts'.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stamp {
    pub declared: DeclaredVersion,
    /// Hash of the evacuated zones.
    pub evacuations: u64,
    /// Hash of all targets and their states.
    pub targets: u64,
    /// The store's versions up to which each part is known.
    pub revisions: Revisions,
}

/// The store's versions up to which each part of its objects is known.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Revisions {
    pub declared: u64,
    pub evacuations: u64,
    pub targets: u64,
}

impl Revisions {
    /// That of one part.
    pub fn of(&self, part: Part) -> u64 {
        match part {
            Part::Declared => self.declared,
            Part::Evacuations => self.evacuations,
            Part::Targets => self.targets,
        }
    }

    fn of_mut(&mut self, part: Part) -> &mut u64 {
        match part {
            Part::Declared => &mut self.declared,
            Part::Evacuations => &mut self.evacuations,
            Part::Targets => &mut self.targets,
        }
    }
}

impl Stamp {
    /// Whether its host knows something of a part that the other's does not.
    ///
    /// A higher version alone is none: a listing tells the version of the whole store, which rises
    /// with every object of other kinds.
    pub fn is_ahead_of(&self, other: &Stamp, part: Part) -> bool {
        let differs = match part {
            Part::Declared => return other.declared < self.declared,
            Part::Evacuations => self.evacuations != other.evacuations,
            Part::Targets => self.targets != other.targets,
        };
        differs && other.revisions.of(part) < self.revisions.of(part)
    }

    /// The parts in which its host knows something that the other's does not.
    pub fn parts_ahead_of(&self, other: &Stamp) -> Vec<Part> {
        Part::ALL.into_iter().filter(|part| self.is_ahead_of(other, *part)).collect()
    }
}

/// The objects a host knows.
#[derive(Debug, Default)]
pub struct KnownState {
    declared: Option<Arc<Declared>>,
    evacuated: BTreeSet<ZoneId>,
    /// Targets that a listing after an outage no longer had, and until when they are used.
    lapsed: BTreeMap<TargetId, Moment>,
    /// When the store fell silent, as far as it is known.
    lost_since: Option<Moment>,
    revisions: Revisions,
    /// When each zone was last taken back into use.
    taken_back: BTreeMap<ZoneId, Moment>,
    targets: BTreeMap<TargetId, KnownTarget>,
}

impl KnownState {
    /// The declaration in force.
    pub fn declared(&self) -> Option<&Arc<Declared>> {
        self.declared.as_ref()
    }

    /// Targets that take new work: ready and in no evacuated zone.
    pub fn usable(&self) -> impl Iterator<Item = KnownTarget> {
        let kept =
            |known: &&KnownTarget| known.entry.ready && !self.evacuated.contains(&known.entry.zone);
        self.targets.values().filter(kept).map(|known| {
            let cold_until = known.cold_until.max(self.cold_since_return(&known.entry));
            KnownTarget { cold_until, ..known.clone() }
        })
    }

    /// Until when a target is taken for cold since its zone was evacuated.
    ///
    /// Targets may have got cold while they had nothing to do, and their own word of it may be late
    /// or lost in the store. All hosts would send at their full rate at once, and crash them.
    fn cold_since_return(&self, entry: &TargetEntry) -> Moment {
        let Some(since) = self.taken_back.get(&entry.zone) else { return Moment::ZERO };
        let rules = self.declared.as_ref().and_then(|it| it.services.get(&entry.service));
        *since + rules.and_then(|rules| rules.cold_start).unwrap_or(COLD_ASSUMED)
    }

    /// Whether a zone's targets are to get nothing.
    pub fn is_evacuated(&self, zone: &ZoneId) -> bool {
        self.evacuated.contains(zone)
    }

    /// Summary for other hosts.
    pub fn stamp(&self) -> Stamp {
        let mut targets = Xxh3Default::new();
        for known in self.targets.values() {
            targets.update(known.entry.id.as_bytes());
            targets.update(&[u8::from(known.entry.ready)]);
            targets.update(&known.entry.started.to_le_bytes());
        }
        let mut evacuations = Xxh3Default::new();
        self.evacuated.iter().for_each(|zone| evacuations.update(zone.as_bytes()));
        Stamp {
            declared: self.declared.as_ref().map_or(0, |declared| declared.version),
            evacuations: evacuations.digest(),
            targets: targets.digest(),
            revisions: self.revisions,
        }
    }

    /// Takes a declaration; an older one than that in force changes nothing.
    ///
    /// A store that answers with seconds-old data, or another host that is behind, would otherwise
    /// bring back routes that operators had already replaced.
    pub fn declare(&mut self, declared: Declared) -> bool {
        let newer = self.declared.as_ref().is_none_or(|known| known.version < declared.version);
        if newer {
            self.declared = Some(Arc::new(declared));
        }
        newer
    }

    /// A zone is to get nothing, or may be used again.
    pub fn evacuate(&mut self, zone: ZoneId, wanted: bool, now: Moment) -> bool {
        if wanted {
            return self.evacuated.insert(zone);
        }
        let changed = self.evacuated.remove(&zone);
        if changed {
            self.taken_back.insert(zone, now);
        }
        changed
    }

    /// All evacuations there are.
    pub fn evacuations(&mut self, zones: BTreeSet<ZoneId>, now: Moment) -> bool {
        let changed = self.evacuated != zones;
        for zone in self.evacuated.difference(&zones) {
            self.taken_back.insert(zone.clone(), now);
        }
        self.evacuated = zones;
        changed
    }

    /// One target's entry was written.
    pub fn write(&mut self, entry: TargetEntry, region: RegionId, now: Moment) -> bool {
        self.lapsed.remove(&entry.id);
        let known =
            KnownTarget { cold_until: now + entry.cold, region, tag: target::tag(&entry), entry };
        match self.targets.entry(known.entry.id.clone()) {
            // Read again, as with each listing: what is cold stays so from the first reading on.
            btree_map::Entry::Occupied(slot) if slot.get().entry == known.entry => false,
            btree_map::Entry::Occupied(mut slot) => {
                let matters = differs(&slot.get().entry, &known.entry);
                slot.insert(known);
                matters
            }
            btree_map::Entry::Vacant(slot) => {
                slot.insert(known);
                true
            }
        }
    }

    /// One target's entry was removed, or can no longer be read.
    pub fn remove(&mut self, id: &TargetId) -> bool {
        self.lapsed.remove(id);
        self.targets.remove(id).is_some()
    }

    /// Every entry there is. After an outage that may have let entries lapse, those that are
    /// missing are used a little longer.
    pub fn list(&mut self, entries: Vec<(TargetEntry, RegionId)>, now: Moment) -> bool {
        let outage = self.lost_since.is_some_and(|since| LAPSE_LEAST <= now.saturating_sub(since));
        let listed: BTreeSet<TargetId> =
            entries.iter().map(|(entry, _)| entry.id.clone()).collect();
        let missing: Vec<TargetId> =
            self.targets.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        let mut changed = false;
        for id in missing {
            if outage {
                self.lapsed.entry(id).or_insert(now + RETURN_WAIT);
            } else if !self.lapsed.contains_key(&id) {
                changed |= self.targets.remove(&id).is_some();
            }
        }
        for (entry, region) in entries {
            changed |= self.write(entry, region, now);
        }
        self.lost_since = None;
        changed
    }

    /// The store did not answer.
    pub fn lost(&mut self, now: Moment) {
        self.lost_since.get_or_insert(now);
    }

    /// Drops targets whose entries did not come back in time.
    pub fn tick(&mut self, now: Moment) -> bool {
        let due: Vec<TargetId> = self
            .lapsed
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        let mut changed = false;
        for id in &due {
            self.lapsed.remove(id);
            changed |= self.targets.remove(id).is_some();
        }
        changed
    }

    /// A part is known up to that version of the store.
    pub fn saw(&mut self, part: Part, revision: u64) {
        let known = self.revisions.of_mut(part);
        *known = revision.max(*known);
    }
}

/// Whether two entries of one target differ in more than the time that it stays cold.
fn differs(old: &TargetEntry, new: &TargetEntry) -> bool {
    *old != TargetEntry { cold: old.cold, ..new.clone() }
}
