//! What a host believes of the store's objects, and what it makes of news, losses and returns.

use std::collections::BTreeSet;

use super::{Declaration, DeclarationVersion, KnownTarget, StorePart, TargetEntry, target};
use xxhash_rust::xxh3::{Xxh3Default, xxh3_64_with_seed};

use crate::prelude::*;

/// Time after the store's return in which a target that lapsed meanwhile is still used. Targets
/// that live write their entries again within about two seconds; without the wait a whole service
/// would be gone right after an outage.
pub const LAPSED_TARGET_GRACE: Duration = Duration::from_millis(2_200);

/// A shorter silence of the store can't have let an entry lapse: targets write every 1.5 s and
/// entries go after three missed writes.
const MIN_OUTAGE: Duration = Duration::from_millis(1_500);

/// Time for which a target stays cold where the declaration does not tell.
const DEFAULT_COLD_START: Duration = Duration::from_secs(3);

/// A short summary of what a host believes, to be compared with other hosts'.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stamp {
    pub declared: DeclarationVersion,
    /// Hash of the evacuated zones.
    pub evacuations: u64,
    /// Sum of the hashes of all targets and their states.
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
    pub fn of(&self, part: StorePart) -> u64 {
        match part {
            StorePart::Declared => self.declared,
            StorePart::Evacuations => self.evacuations,
            StorePart::Targets => self.targets,
        }
    }

    fn of_mut(&mut self, part: StorePart) -> &mut u64 {
        match part {
            StorePart::Declared => &mut self.declared,
            StorePart::Evacuations => &mut self.evacuations,
            StorePart::Targets => &mut self.targets,
        }
    }
}

impl Stamp {
    /// Whether its host knows something of a part that the other's does not.
    ///
    /// A higher version alone is none: a listing tells the version of the whole store, which rises
    /// with every object of other kinds.
    pub fn is_ahead_of(&self, other: &Stamp, part: StorePart) -> bool {
        let differs = match part {
            StorePart::Declared => return other.declared < self.declared,
            StorePart::Evacuations => self.evacuations != other.evacuations,
            StorePart::Targets => self.targets != other.targets,
        };
        differs && other.revisions.of(part) < self.revisions.of(part)
    }

    /// The parts in which its host knows something that the other's does not.
    pub fn parts_ahead_of(&self, other: &Stamp) -> Vec<StorePart> {
        StorePart::ALL.into_iter().filter(|part| self.is_ahead_of(other, *part)).collect()
    }
}

/// What became of a target whose entry was removed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Removal {
    Gone,
    /// It may only have lapsed, and is used a little longer.
    Kept,
    /// It was not known.
    Unknown,
}

/// What a listing of targets changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetChanges {
    /// Their entries are gone.
    pub gone: Vec<TargetId>,
    /// Their entries lapsed while the store was away; they are used a little longer.
    pub kept: Vec<TargetId>,
    /// Their entries are new, or changed in more than the time that they stay cold.
    pub known: Vec<TargetId>,
}

/// What a listing of evacuations changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ZoneChanges {
    pub evacuated: Vec<ZoneId>,
    pub taken_back: Vec<ZoneId>,
}

/// Usable targets by service, in the order of their ids. Shared with the traffic side: a service
/// none of whose targets changed keeps its list.
pub type UsableTargets = BTreeMap<ServiceId, Arc<[Arc<KnownTarget>]>>;

/// The objects a host knows.
#[derive(Debug, Default)]
pub struct KnownState {
    /// Services whose list of usable targets is out of date.
    changed_services: BTreeSet<ServiceId>,
    declared: Option<Arc<Declaration>>,
    evacuated_zones: BTreeSet<ZoneId>,
    /// Targets that a listing after an outage no longer had, and until when they are used.
    lapsed_targets: BTreeMap<TargetId, Moment>,
    /// When the store fell silent, as far as it is known.
    store_lost_since: Option<Moment>,
    /// When the store last returned from a silence in which entries may have lapsed.
    store_returned_at: Option<Moment>,
    revisions: Revisions,
    /// When each zone was last taken back into use.
    zones_taken_back: BTreeMap<ZoneId, Moment>,
    targets: BTreeMap<TargetId, Arc<KnownTarget>>,
    /// Sum of the hashes of `targets`. Kept with each change: with hundreds of targets, hashing all
    /// for every heartbeat would take most of a small host's processor.
    targets_digest: u64,
    usable: UsableTargets,
}

impl KnownState {
    /// The declaration in force.
    pub fn declared(&self) -> Option<&Arc<Declaration>> {
        self.declared.as_ref()
    }

    /// Targets that take new work: ready and in no evacuated zone.
    pub fn usable_targets(&mut self) -> &UsableTargets {
        for service in std::mem::take(&mut self.changed_services) {
            let targets = self.usable_targets_of(&service);
            match targets.is_empty() {
                true => self.usable.remove(&service),
                false => self.usable.insert(service, targets),
            };
        }
        &self.usable
    }

    fn usable_targets_of(&self, service: &ServiceId) -> Arc<[Arc<KnownTarget>]> {
        let kept = |known: &&Arc<KnownTarget>| {
            let entry = &known.entry;
            entry.service == *service && entry.ready && !self.evacuated_zones.contains(&entry.zone)
        };
        let shared = |known: &Arc<KnownTarget>| {
            let cold_until = self.cold_until_after_evacuation(&known.entry);
            if cold_until <= known.cold_until {
                return known.clone();
            }
            Arc::new(KnownTarget { cold_until, ..KnownTarget::clone(known) })
        };
        self.targets.values().filter(kept).map(shared).collect()
    }

    /// What bears on every service has changed: zones in use, or for how long targets are cold.
    fn mark_all_changed(&mut self) {
        self.changed_services
            .extend(self.targets.values().map(|known| known.entry.service.clone()));
    }

    fn insert_target(&mut self, known: KnownTarget) {
        self.take_target(&known.entry.id.clone());
        self.targets_digest = self.targets_digest.wrapping_add(target_digest(&known.entry));
        self.changed_services.insert(known.entry.service.clone());
        self.targets.insert(known.entry.id.clone(), Arc::new(known));
    }

    fn take_target(&mut self, id: &TargetId) -> bool {
        let Some(known) = self.targets.remove(id) else { return false };
        self.targets_digest = self.targets_digest.wrapping_sub(target_digest(&known.entry));
        self.changed_services.insert(known.entry.service.clone());
        true
    }

    /// Until when a target is taken for cold since its zone was evacuated.
    ///
    /// Targets may have got cold while they had nothing to do, and their own word of it may be late
    /// or lost in the store. All hosts would send at their full rate at once, and crash them.
    fn cold_until_after_evacuation(&self, entry: &TargetEntry) -> Moment {
        let Some(since) = self.zones_taken_back.get(&entry.zone) else { return Moment::ZERO };
        let rules = self.declared.as_ref().and_then(|it| it.services.get(&entry.service));
        *since + rules.and_then(|rules| rules.cold_start).unwrap_or(DEFAULT_COLD_START)
    }

    /// What is known of one target.
    pub fn target(&self, id: &TargetId) -> Option<&KnownTarget> {
        self.targets.get(id).map(Arc::as_ref)
    }

    /// Whether a zone's targets are to get nothing.
    pub fn is_evacuated(&self, zone: &ZoneId) -> bool {
        self.evacuated_zones.contains(zone)
    }

    /// The store's versions up to which each part is known.
    pub fn revisions(&self) -> Revisions {
        self.revisions
    }

    /// Summary for other hosts.
    pub fn stamp(&self) -> Stamp {
        let mut evacuations = Xxh3Default::new();
        self.evacuated_zones.iter().for_each(|zone| evacuations.update(zone.as_bytes()));
        Stamp {
            declared: self.declared.as_ref().map_or(0, |declared| declared.version),
            evacuations: evacuations.digest(),
            targets: self.targets_digest,
            revisions: self.revisions,
        }
    }

    /// Takes a declaration; an older one than that in force changes nothing.
    ///
    /// A store that answers with seconds-old data, or another host that is behind, would otherwise
    /// bring back routes that operators had already replaced.
    pub fn apply_declaration(&mut self, declared: Declaration) -> bool {
        let newer = self.declared.as_ref().is_none_or(|known| known.version < declared.version);
        if newer {
            self.declared = Some(Arc::new(declared));
            self.mark_all_changed();
        }
        newer
    }

    /// A zone is to get nothing, or may be used again.
    pub fn set_evacuated(&mut self, zone: ZoneId, wanted: bool, now: Moment) -> bool {
        self.mark_all_changed();
        if wanted {
            return self.evacuated_zones.insert(zone);
        }
        let changed = self.evacuated_zones.remove(&zone);
        if changed {
            self.zones_taken_back.insert(zone, now);
        }
        changed
    }

    /// All evacuations there are.
    pub fn apply_evacuation_listing(
        &mut self,
        zones: BTreeSet<ZoneId>,
        now: Moment,
    ) -> ZoneChanges {
        let changes = ZoneChanges {
            evacuated: zones.difference(&self.evacuated_zones).cloned().collect(),
            taken_back: self.evacuated_zones.difference(&zones).cloned().collect(),
        };
        let back = changes.taken_back.iter().map(|zone| (zone.clone(), now));
        self.zones_taken_back.extend(back);
        self.evacuated_zones = zones;
        self.mark_all_changed();
        changes
    }

    /// One target's entry was written.
    pub fn apply_target(&mut self, entry: TargetEntry, region: RegionId, now: Moment) -> bool {
        self.lapsed_targets.remove(&entry.id);
        let known = KnownTarget {
            cold_until: now + entry.cold_for,
            region,
            tag: target::tag(&entry),
            entry,
        };
        let before = self.targets.get(&known.entry.id);
        // Read again, as with each listing: what is cold stays so from the first reading on.
        if before.is_some_and(|before| before.entry == known.entry) {
            return false;
        }
        let matters =
            before.is_none_or(|before| differs_beyond_cold_time(&before.entry, &known.entry));
        self.insert_target(known);
        matters
    }

    /// One target's entry was removed, or can no longer be read.
    ///
    /// Right after an outage it may have lapsed since the target could not write: its removal is
    /// told before the target's next word, and all targets of a service could be gone at once.
    pub fn remove_target(&mut self, id: &TargetId, now: Moment) -> Removal {
        if !self.targets.contains_key(id) {
            return Removal::Unknown;
        }
        if let Some(until) = self.lapsed_use_until(now) {
            self.lapsed_targets.entry(id.clone()).or_insert(until);
            return Removal::Kept;
        }
        self.lapsed_targets.remove(id);
        self.take_target(id);
        Removal::Gone
    }

    /// The store answers; `true` if it was away for long enough to let entries lapse.
    pub fn store_answered(&mut self, now: Moment) -> bool {
        let outage = self
            .store_lost_since
            .take()
            .is_some_and(|since| MIN_OUTAGE <= now.saturating_sub(since));
        if outage {
            self.store_returned_at = Some(now);
        }
        outage
    }

    /// Until when targets are used whose entries are missing, if the store has just returned.
    fn lapsed_use_until(&self, now: Moment) -> Option<Moment> {
        self.store_returned_at.map(|at| at + LAPSED_TARGET_GRACE).filter(|until| now < *until)
    }

    /// Every entry there is. After an outage that may have let entries lapse, those that are
    /// missing are used a little longer.
    pub fn apply_target_listing(
        &mut self,
        entries: Vec<(TargetEntry, RegionId)>,
        now: Moment,
    ) -> TargetChanges {
        self.store_answered(now);
        let wait = self.lapsed_use_until(now);
        let listed: BTreeSet<TargetId> =
            entries.iter().map(|(entry, _)| entry.id.clone()).collect();
        let missing: Vec<TargetId> =
            self.targets.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        let mut changes = TargetChanges::default();
        for id in missing {
            if self.lapsed_targets.contains_key(&id) {
                continue;
            }
            match wait {
                Some(until) => {
                    self.lapsed_targets.insert(id.clone(), until);
                    changes.kept.push(id);
                }
                None => {
                    self.take_target(&id);
                    changes.gone.push(id);
                }
            }
        }
        for (entry, region) in entries {
            let id = entry.id.clone();
            if self.apply_target(entry, region, now) {
                changes.known.push(id);
            }
        }
        changes
    }

    /// The store did not answer.
    pub fn store_failed(&mut self, now: Moment) {
        self.store_lost_since.get_or_insert(now);
    }

    /// Drops targets whose entries did not come back in time, and tells which.
    pub fn expire_lapsed(&mut self, now: Moment) -> Vec<TargetId> {
        let due = self.lapsed_targets.iter().filter(|(_, until)| **until <= now);
        let mut due: Vec<TargetId> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.lapsed_targets.remove(id);
        }
        due.retain(|id| self.take_target(id));
        due
    }

    /// A part is known up to that version of the store.
    pub fn record_revision(&mut self, part: StorePart, revision: u64) {
        let known = self.revisions.of_mut(part);
        *known = revision.max(*known);
    }
}

/// Hash of one target and its state.
fn target_digest(entry: &TargetEntry) -> u64 {
    let seed = entry.started ^ u64::from(entry.ready);
    xxh3_64_with_seed(entry.id.as_bytes(), seed.rotate_left(32))
}

/// Whether two entries of one target differ in more than the time that it stays cold.
fn differs_beyond_cold_time(old: &TargetEntry, new: &TargetEntry) -> bool {
    *old != TargetEntry { cold_for: old.cold_for, ..new.clone() }
}
