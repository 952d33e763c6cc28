//! A host's copy of the store's objects, and how store updates and outages of the store change it.

use std::collections::BTreeSet;

use super::{
    Declaration, DeclarationVersion, KnownTarget, StorePart, TargetEntry,
    left_targets::LeftTargets, target,
};
use xxhash_rust::xxh3::{Xxh3Default, xxh3_64_with_seed};

use crate::prelude::*;

/// Time after an outage of the store for which targets with lapsed entries are still used. Live
/// targets rewrite their entries within about two seconds; without the grace period a service could
/// lose all its targets right after an outage.
pub const LAPSED_TARGET_GRACE: Duration = Duration::from_millis(2_200);

/// Shortest outage of the store in which an entry may lapse: targets write every 1.5 s, and an
/// entry lapses after three missed writes.
const MIN_OUTAGE: Duration = Duration::from_millis(1_500);

/// Time after a restore of the store for which an evacuation that the copy lacks is kept. Operators
/// write what was lost again; if they do not, the store is believed.
const RESTORED_EVACUATION_GRACE: Duration = Duration::from_secs(5);

/// Time for which a target is treated as cold if the declaration names none.
const DEFAULT_COLD_START: Duration = Duration::from_secs(3);

/// Summary of a host's state, which hosts compare to find out who has newer data.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stamp {
    pub declared: DeclarationVersion,
    /// Hash of the evacuated zones.
    pub evacuations: u64,
    /// Sum of the hashes of all targets and their states.
    pub targets: u64,
    /// The store's revisions up to which each part is known.
    pub revisions: Revisions,
}

/// The store's revisions up to which each part of its objects is known.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Revisions {
    pub declared: u64,
    pub evacuations: u64,
    pub targets: u64,
}

impl Revisions {
    /// Returns the revision of one part.
    pub fn of(&self, part: StorePart) -> u64 {
        match part {
            StorePart::Declared => self.declared,
            StorePart::Evacuations => self.evacuations,
            StorePart::Targets => self.targets,
        }
    }
}

impl Stamp {
    /// Whether the host of this stamp has newer data of a part than the host of `other`.
    ///
    /// A higher revision alone does not show it: a listing returns the revision of the whole store,
    /// which rises with each write to other parts.
    pub fn is_ahead_of(&self, other: &Stamp, part: StorePart) -> bool {
        let differs = match part {
            StorePart::Declared => return other.declared < self.declared,
            StorePart::Evacuations => self.evacuations != other.evacuations,
            StorePart::Targets => self.targets != other.targets,
        };
        differs && other.revisions.of(part) < self.revisions.of(part)
    }

    /// The parts of which the host of this stamp has newer data than the host of `other`.
    pub fn parts_ahead_of(&self, other: &Stamp) -> Vec<StorePart> {
        StorePart::ALL.into_iter().filter(|part| self.is_ahead_of(other, *part)).collect()
    }
}

/// Result of removing a target's entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Removal {
    Gone,
    /// The entry may only have lapsed during an outage; the target is used for a grace period.
    Kept,
    /// The target was not known.
    Unknown,
}

/// Changes made by a listing of targets.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TargetChanges {
    /// Targets that were dropped because their entries are missing.
    pub gone: Vec<TargetId>,
    /// Targets whose entries may have lapsed during an outage; they are used for a grace period.
    pub kept: Vec<TargetId>,
    /// Targets whose entries are new, or changed in more than the remaining cold time.
    pub known: Vec<TargetId>,
}

/// Changes made by a listing of evacuations.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ZoneChanges {
    pub evacuated: Vec<ZoneId>,
    /// Zones whose evacuation has ended.
    pub taken_back: Vec<ZoneId>,
}

/// Usable targets by service, sorted by id. The lists are shared with the traffic side and rebuilt
/// only for services whose targets changed.
pub type UsableTargets = BTreeMap<ServiceId, Arc<[Arc<KnownTarget>]>>;

/// A host's copy of the store's objects.
#[derive(Debug, Default)]
pub struct KnownState {
    /// Services whose lists in `usable` are out of date.
    changed_services: BTreeSet<ServiceId>,
    declaration: Option<Arc<Declaration>>,
    evacuated_zones: BTreeSet<ZoneId>,
    /// Evacuated zones that a restored store lacks, and until when they stay evacuated.
    kept_evacuations: BTreeMap<ZoneId, Moment>,
    left_targets: LeftTargets,
    /// Targets whose entries are missing after an outage, and until when they are still used.
    lapsed_targets: BTreeMap<TargetId, Moment>,
    /// When the current outage of the store began.
    store_lost_since: Option<Moment>,
    /// End of the last outage in which entries may have lapsed.
    store_returned_at: Option<Moment>,
    /// When the last evacuation of each zone ended.
    zones_taken_back: BTreeMap<ZoneId, Moment>,
    targets: BTreeMap<TargetId, Arc<KnownTarget>>,
    /// Sum of the hashes of `targets`, updated with each change: with hundreds of targets, hashing
    /// all of them for every heartbeat would take most of a small host's CPU time.
    targets_digest: u64,
    usable: UsableTargets,
}

impl KnownState {
    /// The declaration in force.
    pub fn declaration(&self) -> Option<&Arc<Declaration>> {
        self.declaration.as_ref()
    }

    /// Targets that may be sent new requests: ready, and not in an evacuated zone.
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
        let is_usable = |known: &&Arc<KnownTarget>| {
            let entry = &known.entry;
            entry.service == *service && entry.ready && !self.evacuated_zones.contains(&entry.zone)
        };
        let with_cold_time = |known: &Arc<KnownTarget>| {
            let cold_until = self.cold_until_after_evacuation(&known.entry);
            if cold_until <= known.cold_until {
                return known.clone();
            }
            Arc::new(KnownTarget { cold_until, ..KnownTarget::clone(known) })
        };
        self.targets.values().filter(is_usable).map(with_cold_time).collect()
    }

    /// Marks all services as changed, after a change of the evacuated zones or of the cold times.
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

    /// Until when a target is treated as cold because of an evacuation of its zone.
    ///
    /// An idle target may become cold, and the store may have its report of that late or not at
    /// all. If all hosts sent to it at their full rate at once, it would crash.
    fn cold_until_after_evacuation(&self, entry: &TargetEntry) -> Moment {
        let Some(since) = self.zones_taken_back.get(&entry.zone) else { return Moment::ZERO };
        let rules = self.declaration.as_ref().and_then(|it| it.services.get(&entry.service));
        *since + rules.and_then(|rules| rules.cold_start).unwrap_or(DEFAULT_COLD_START)
    }

    /// Whether any target is known, usable or not.
    pub fn has_targets(&self) -> bool {
        !self.targets.is_empty()
    }

    /// The known target with this id.
    pub fn target(&self, id: &TargetId) -> Option<&KnownTarget> {
        self.targets.get(id).map(Arc::as_ref)
    }

    /// Whether a zone is evacuated, so that its targets get no requests.
    pub fn is_evacuated(&self, zone: &ZoneId) -> bool {
        self.evacuated_zones.contains(zone)
    }

    /// Summary for other hosts of this state, which contains the parts up to these revisions.
    pub fn stamp(&self, revisions: Revisions) -> Stamp {
        let mut evacuations = Xxh3Default::new();
        self.evacuated_zones.iter().for_each(|zone| evacuations.update(zone.as_bytes()));
        Stamp {
            declared: self.declaration.as_ref().map_or(0, |declaration| declaration.version),
            evacuations: evacuations.digest(),
            targets: self.targets_digest,
            revisions,
        }
    }

    /// Puts a declaration in force unless its version is older than or equal to the current one.
    /// Returns whether it was put in force.
    ///
    /// A store that answers with seconds-old data, or another host that is behind, would otherwise
    /// restore routes that operators have already replaced.
    pub fn apply_declaration(&mut self, declaration: Declaration) -> bool {
        let is_newer =
            self.declaration.as_ref().is_none_or(|known| known.version < declaration.version);
        if is_newer {
            self.declaration = Some(Arc::new(declaration));
            self.mark_all_changed();
        }
        is_newer
    }

    /// Starts or ends the evacuation of one zone. Returns whether that changed anything.
    pub fn set_evacuated(&mut self, zone: ZoneId, wanted: bool, now: Moment) -> bool {
        self.mark_all_changed();
        self.kept_evacuations.remove(&zone);
        if wanted {
            return self.evacuated_zones.insert(zone);
        }
        let changed = self.evacuated_zones.remove(&zone);
        if changed {
            self.zones_taken_back.insert(zone, now);
        }
        changed
    }

    /// Keeps the evacuation of a zone for a while although a restored store lacks it.
    pub fn keep_evacuation(&mut self, zone: ZoneId, now: Moment) {
        if self.evacuated_zones.contains(&zone) {
            self.kept_evacuations.entry(zone).or_insert(now + RESTORED_EVACUATION_GRACE);
        }
    }

    /// Ends the kept evacuations that were not written again in time, and returns their zones.
    pub fn expire_kept_evacuations(&mut self, now: Moment) -> Vec<ZoneId> {
        let expired = self.kept_evacuations.iter().filter(|(_, until)| **until <= now);
        let expired: Vec<ZoneId> = expired.map(|(zone, _)| zone.clone()).collect();
        expired.into_iter().filter(|zone| self.set_evacuated(zone.clone(), false, now)).collect()
    }

    /// Replaces the evacuated zones by a complete listing. If the store was restored since the last
    /// one, zones that the listing lacks stay evacuated for a while.
    pub fn apply_evacuation_listing(
        &mut self,
        mut zones: BTreeSet<ZoneId>,
        is_restored: bool,
        now: Moment,
    ) -> ZoneChanges {
        if is_restored {
            for zone in self.evacuated_zones.difference(&zones).cloned().collect::<Vec<_>>() {
                self.keep_evacuation(zone, now);
            }
        }
        self.kept_evacuations.retain(|zone, _| !zones.contains(zone));
        zones.extend(self.kept_evacuations.keys().cloned());
        let changes = ZoneChanges {
            evacuated: zones.difference(&self.evacuated_zones).cloned().collect(),
            taken_back: self.evacuated_zones.difference(&zones).cloned().collect(),
        };
        let taken_back = changes.taken_back.iter().map(|zone| (zone.clone(), now));
        self.zones_taken_back.extend(taken_back);
        self.evacuated_zones = zones;
        self.mark_all_changed();
        changes
    }

    /// Adds or replaces one target. Returns whether more than the remaining cold time changed.
    pub fn apply_target(&mut self, entry: TargetEntry, region: RegionId, now: Moment) -> bool {
        let entry = self.left_targets.check(entry, &region);
        self.lapsed_targets.remove(&entry.id);
        let known = KnownTarget {
            cold_until: now + entry.cold_for,
            region,
            tag: target::tag(&entry),
            entry,
        };
        let before = self.targets.get(&known.entry.id);
        // Each listing returns the same entry again; the cold time runs from the first reading.
        if before.is_some_and(|before| before.entry == known.entry) {
            return false;
        }
        let is_changed =
            before.is_none_or(|before| differs_beyond_cold_time(&before.entry, &known.entry));
        self.insert_target(known);
        is_changed
    }

    /// Handles the entry of a target that was removed or can no longer be decoded.
    ///
    /// Right after an outage the entry may have lapsed because the target could not write. The
    /// removal arrives before the target's next write, and without a grace period all targets of a
    /// service could be dropped at once.
    pub fn remove_target(&mut self, id: &TargetId, now: Moment) -> Removal {
        if !self.targets.contains_key(id) {
            return Removal::Unknown;
        }
        if let Some(until) = self.lapsed_use_until(now) {
            self.lapsed_targets.entry(id.clone()).or_insert(until);
            return Removal::Kept;
        }
        self.lapsed_targets.remove(id);
        if let Some(known) = self.targets.get(id) {
            self.left_targets.record_removal(&known.entry, now);
        }
        self.take_target(id);
        Removal::Gone
    }

    /// Records that the targets come from a store that was restored from a copy. Entries that the copy
    /// lacks may be written again, as after an outage; leaves that it lacks are not undone.
    pub fn store_restored(&mut self, now: Moment) {
        self.store_returned_at = Some(now);
        let entries = self.targets.values().map(|known| &known.entry);
        self.left_targets.store_restored(entries.filter(|entry| !entry.ready), now);
    }

    /// Uses the targets again whose leaves are no longer held against them. Returns those that
    /// changed.
    pub fn expire_leaves(&mut self, now: Moment) -> Vec<TargetId> {
        let believed = self.left_targets.expire(|id| self.targets.contains_key(id), now);
        let mut changed = Vec::new();
        for (entry, region) in believed {
            let id = entry.id.clone();
            if self.targets.contains_key(&id) && self.apply_target(entry, region, now) {
                changed.push(id);
            }
        }
        changed
    }

    /// Records that the store answers. Returns whether an outage ended that was long enough for
    /// entries to lapse.
    pub fn store_answered(&mut self, now: Moment) -> bool {
        let is_outage_over = self
            .store_lost_since
            .take()
            .is_some_and(|since| MIN_OUTAGE <= now.saturating_sub(since));
        if is_outage_over {
            self.store_returned_at = Some(now);
        }
        is_outage_over
    }

    /// Records that calls to the store succeed, and when they first did so after the last outage. Entries
    /// are written again within a time of that moment, not of that at which their absence is seen.
    pub fn store_reached(&mut self, outage_ended: Option<Moment>) {
        self.store_lost_since = None;
        self.store_returned_at = self.store_returned_at.max(outage_ended);
    }

    /// Until when targets with missing entries are still used; `None` without a recent outage.
    fn lapsed_use_until(&self, now: Moment) -> Option<Moment> {
        self.store_returned_at.map(|at| at + LAPSED_TARGET_GRACE).filter(|until| now < *until)
    }

    /// Replaces all targets by a complete listing. After an outage in which entries may have
    /// lapsed, targets that are missing from it are kept for a grace period.
    pub fn apply_target_listing(
        &mut self,
        entries: Vec<(TargetEntry, RegionId)>,
        now: Moment,
    ) -> TargetChanges {
        self.store_answered(now);
        let keep_until = self.lapsed_use_until(now);
        let listed: BTreeSet<TargetId> =
            entries.iter().map(|(entry, _)| entry.id.clone()).collect();
        let missing: Vec<TargetId> =
            self.targets.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        let mut changes = TargetChanges::default();
        for id in missing {
            if self.lapsed_targets.contains_key(&id) {
                continue;
            }
            match keep_until {
                Some(until) => {
                    self.lapsed_targets.insert(id.clone(), until);
                    changes.kept.push(id);
                }
                None => {
                    self.remove_target(&id, now);
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

    /// Records that the store did not answer.
    pub fn store_failed(&mut self, now: Moment) {
        self.store_lost_since.get_or_insert(now);
    }

    /// Drops targets whose lapsed entries were not rewritten in time, and returns their ids.
    pub fn expire_lapsed(&mut self, now: Moment) -> Vec<TargetId> {
        let expired = self.lapsed_targets.iter().filter(|(_, until)| **until <= now);
        let mut expired: Vec<TargetId> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.lapsed_targets.remove(id);
        }
        expired.retain(|id| self.take_target(id));
        expired
    }
}

/// Hash of one target's id, start and readiness.
fn target_digest(entry: &TargetEntry) -> u64 {
    let seed = entry.started ^ u64::from(entry.ready);
    xxh3_64_with_seed(entry.id.as_bytes(), seed.rotate_left(32))
}

/// Whether two entries of one target differ in more than the remaining cold time.
fn differs_beyond_cold_time(old: &TargetEntry, new: &TargetEntry) -> bool {
    *old != TargetEntry { cold_for: old.cold_for, ..new.clone() }
}
