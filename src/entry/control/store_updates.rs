//! Applies updates from the store and from other hosts to this host's copy of the store's objects.

use std::collections::BTreeSet;

use bytes::Bytes;

use super::EntryControl;
use crate::{
    entry::{
        Declaration, DecodeError, KnownTarget, StorePart,
        known_state::{LAPSED_TARGET_GRACE, Removal},
        store_objects::RawObject,
        sync::PartDiff,
    },
    event_log::{Event, Source},
    prelude::*,
    store::{Change, Entry, FollowEvent, Listing, PlatformError, StorePoint, Version},
};

/// Period after a restore of the store over which hosts spread the writes of their records.
const RECORD_REWRITE_PERIOD: Duration = Duration::from_secs(2);

impl EntryControl {
    /// Stores and decodes one object; returns whether the usable state changed.
    fn apply_object(
        &mut self,
        part: StorePart,
        key: &Arc<str>,
        version: u64,
        object: Bytes,
        source: Source,
    ) -> bool {
        self.objects.part_mut(part).insert(key.clone(), version, object.clone());
        match part {
            StorePart::Declared => self.apply_declaration(key, &object, source),
            StorePart::Evacuations => {
                let is_new = self.known_state.set_evacuated(key.clone(), true, self.now());
                if is_new {
                    self.record_zone_evacuated(key.clone(), source);
                }
                is_new
            }
            StorePart::Targets => self.apply_target(key, &object, source),
        }
    }

    /// Applies what another host sent of one part; returns whether the usable state changed.
    pub(super) fn apply_difference(&mut self, diff: &PartDiff) -> bool {
        let (part, revision) = (diff.part, diff.revision);
        if part == StorePart::Targets {
            self.known_state.store_answered(self.now());
        }
        let is_restored = self.note_restore(part, revision);
        self.known_state.record_revision(part, revision);
        let mut changed = false;
        for key in self.objects.part(part).removed_by(&diff.difference) {
            if is_restored && part == StorePart::Evacuations {
                self.objects.part_mut(part).remove(&key, revision);
                self.known_state.keep_evacuation(key, self.now());
                continue;
            }
            changed |= self.apply_removal(part, &key, revision, Source::Host);
        }
        for object in &diff.difference.changed {
            let RawObject { name, revision, bytes } = object;
            if self.objects.part(part).revision_of(name) != Some(*revision) {
                changed |= self.apply_object(part, name, *revision, bytes.clone(), Source::Host);
            }
        }
        if is_restored {
            self.check_restored_declaration(part);
        }
        changed
    }

    /// Notes that a part comes from a store that was restored since this host received it last.
    /// Returns whether that is so.
    fn note_restore(&mut self, part: StorePart, version: Version) -> bool {
        let known = self.known_state.revisions().of(part);
        let restores = StorePoint::of(version).restores;
        if known == 0 || restores <= StorePoint::of(known).restores {
            return false;
        }
        self.record_event(Event::StoreRestored { part, restores });
        let now = self.now();
        if part == StorePart::Targets {
            self.known_state.store_restored(now);
        }
        if self.record_restores < restores {
            // The record of this host may be lost too. Hosts write at different times.
            self.record_restores = restores;
            self.write_record_at = Some(now + RECORD_REWRITE_PERIOD.mul_f64(rand::random()));
        }
        true
    }

    /// After a restore, notes whether the store lacks the declaration that is in force.
    fn check_restored_declaration(&mut self, part: StorePart) {
        let in_force = self.known_state.declaration().map_or(0, |it| it.version);
        if part == StorePart::Declared && self.read_declaration < in_force {
            self.store_is_behind = true;
        }
    }

    /// Replaces the callers' keys in a declaration by digests, since hosts neither keep nor
    /// exchange keys. Returns other objects unchanged, and `None` for an invalid declaration.
    fn replace_keys_by_digests(
        &self,
        part: StorePart,
        key: &Arc<str>,
        object: Bytes,
    ) -> Option<Bytes> {
        if part != StorePart::Declared {
            return Some(object);
        }
        match self.parts.protocol.replace_keys_by_digests(object) {
            Ok(object) => Some(object),
            Err(error) => {
                self.record_unreadable_entry(part, key, &error.0, Source::Watch);
                None
            }
        }
    }

    fn apply_declaration(&mut self, key: &Arc<str>, object: &[u8], source: Source) -> bool {
        let checked = self.parts.protocol.decode_declaration(object).and_then(|declaration| {
            let is_region = |region: &RegionId| self.parts.settings.has_region(region);
            let regions = declaration.teams.check_regions(is_region);
            regions.map(|()| declaration).map_err(|error| DecodeError(error.to_string().into()))
        });
        let declaration = match checked {
            Ok(declaration) => declaration,
            Err(error) => {
                self.record_unreadable_entry(StorePart::Declared, key, &error.0, source);
                return false;
            }
        };
        let before = self.known_state.declaration().map_or(0, |declaration| declaration.version);
        let version = declaration.version;
        let routes = route_count(&declaration);
        self.store_is_behind &= version < before;
        self.read_declaration = version;
        if self.known_state.apply_declaration(declaration) {
            let store_version = self.logged_revision(StorePart::Declared);
            let event =
                Event::DeclarationInForce { before, routes, source, store_version, version };
            self.record_event(event);
            return true;
        }
        if version < before {
            self.record_event(Event::DeclarationStale { known: before, source, version });
        }
        false
    }

    fn apply_target(&mut self, key: &Arc<str>, object: &[u8], source: Source) -> bool {
        let now = self.now();
        match self.parts.protocol.decode_target(key, object) {
            Ok(entry) => {
                let region = self.parts.settings.region_of(&entry.zone);
                let changed = self.known_state.apply_target(entry, region, now);
                if changed {
                    self.record_target_known(key, source);
                }
                changed
            }
            Err(error) => {
                self.record_unreadable_entry(StorePart::Targets, key, &error.0, source);
                self.remove_target(key, source)
            }
        }
    }

    fn remove_target(&mut self, key: &Arc<str>, source: Source) -> bool {
        match self.known_state.remove_target(key, self.now()) {
            Removal::Gone => self.record_target_gone(key.clone(), source),
            Removal::Kept => self.record_target_kept(key.clone()),
            Removal::Unknown => return false,
        }
        true
    }

    fn apply_removal(
        &mut self,
        part: StorePart,
        key: &Arc<str>,
        version: u64,
        source: Source,
    ) -> bool {
        self.objects.part_mut(part).remove(key, version);
        match part {
            StorePart::Declared => {
                log::warn!(
                    "the declaration was removed from the store; the last known one stays in force"
                );
                false
            }
            StorePart::Evacuations => {
                let is_ended = self.known_state.set_evacuated(key.clone(), false, self.now());
                if is_ended {
                    self.record_zone_taken_back(key.clone(), source);
                }
                is_ended
            }
            StorePart::Targets => self.remove_target(key, source),
        }
    }

    /// Replaces all objects of a part by a listing of the store at `revision`; returns whether the
    /// usable state changed.
    fn apply_listing(
        &mut self,
        part: StorePart,
        objects: Vec<(Arc<str>, u64, Bytes)>,
        revision: u64,
        is_restored: bool,
    ) -> bool {
        let stored = self.objects.part_mut(part);
        for key in stored.missing_from(&objects) {
            stored.remove(&key, revision);
        }
        for (key, version, object) in &objects {
            if stored.revision_of(key) != Some(*version) {
                stored.insert(key.clone(), *version, object.clone());
            }
        }
        stored.restart_history(revision);
        match part {
            StorePart::Declared => objects.iter().fold(false, |sum, (key, _, object)| {
                self.apply_declaration(key, object, Source::Listing) || sum
            }),
            StorePart::Evacuations => self.apply_evacuation_listing(&objects, is_restored),
            StorePart::Targets => self.apply_target_listing(&objects),
        }
    }

    fn apply_evacuation_listing(
        &mut self,
        objects: &[(Arc<str>, u64, Bytes)],
        is_restored: bool,
    ) -> bool {
        let source = Source::Listing;
        let names: Vec<Arc<str>> = objects.iter().map(|(key, _, _)| key.clone()).collect();
        let zones: BTreeSet<ZoneId> = self.parts.protocol.evacuated_zones(&names);
        let changes = self.known_state.apply_evacuation_listing(zones, is_restored, self.now());
        let changed = !changes.evacuated.is_empty() || !changes.taken_back.is_empty();
        for zone in changes.evacuated {
            self.record_zone_evacuated(zone, source);
        }
        for zone in changes.taken_back {
            self.record_zone_taken_back(zone, source);
        }
        changed
    }

    fn apply_target_listing(&mut self, objects: &[(Arc<str>, u64, Bytes)]) -> bool {
        let source = Source::Listing;
        let mut entries = Vec::new();
        for (key, _, object) in objects {
            match self.parts.protocol.decode_target(key, object) {
                Ok(entry) => {
                    let region = self.parts.settings.region_of(&entry.zone);
                    entries.push((entry, region));
                }
                Err(error) => {
                    self.record_unreadable_entry(StorePart::Targets, key, &error.0, source)
                }
            }
        }
        let changes = self.known_state.apply_target_listing(entries, self.now());
        let changed = !changes.gone.is_empty() || !changes.known.is_empty();
        for target in &changes.known {
            self.record_target_known(target, source);
        }
        for target in changes.gone {
            self.record_target_gone(target, source);
        }
        for target in changes.kept {
            self.record_target_kept(target);
        }
        changed
    }

    fn apply_changes(&mut self, part: StorePart, changes: Vec<Change>) -> bool {
        let mut changed = false;
        // Another host may already have sent this change and later ones; applying it again would
        // restore the old state.
        let known_revision = self.known_state.revisions().of(part);
        for change in changes.into_iter().filter(|change| known_revision < change.version) {
            self.known_state.record_revision(part, change.version);
            let key = object_name(&change.key);
            changed |= match change.object {
                Some(object) => match self.replace_keys_by_digests(part, &key, object.value) {
                    Some(value) => {
                        self.apply_object(part, &key, object.version, value, Source::Watch)
                    }
                    None => false,
                },
                None => self.apply_removal(part, &key, change.version, Source::Watch),
            };
        }
        changed
    }

    /// Applies an update from the store; returns whether the usable state changed.
    pub(super) fn apply_update(&mut self, part: StorePart, update: FollowEvent) -> bool {
        match update {
            FollowEvent::Changed(changes) => {
                self.store_answered(part);
                let changed = self.apply_changes(part, changes);
                self.record_declaration_check(part);
                changed
            }
            FollowEvent::Listed(Listing { version, .. })
                if version < self.known_state.revisions().of(part) =>
            {
                self.store_answered(part);
                false
            }
            FollowEvent::Listed(Listing { entries, version }) => {
                self.store_answered(part);
                // The first listing may be some seconds old.
                let may_lag = self.known_state.revisions().of(part) == 0;
                let is_restored = self.note_restore(part, version);
                self.known_state.record_revision(part, version);
                let object = |entry: Entry| {
                    let name = object_name(&entry.key);
                    let object = self.replace_keys_by_digests(part, &name, entry.object.value)?;
                    Some((name, entry.object.version, object))
                };
                let objects = entries.into_iter().filter_map(object).collect();
                let changed = self.apply_listing(part, objects, version, is_restored);
                if is_restored {
                    self.check_restored_declaration(part);
                }
                if !may_lag {
                    self.record_declaration_check(part);
                }
                changed
            }
            FollowEvent::Failed(error) => {
                self.store_failed(part, &error);
                false
            }
        }
    }

    /// Records that the store has just returned its latest declaration or confirmed that there is
    /// no later one. Ignores other parts, and a restored store that holds an older declaration.
    fn record_declaration_check(&mut self, part: StorePart) {
        if part == StorePart::Declared && !self.store_is_behind {
            self.declaration_checked_at = Some(self.now());
        }
    }

    fn store_answered(&mut self, part: StorePart) {
        self.election.store_answered();
        let now = self.now();
        self.state_received_at = now;
        if part == StorePart::Targets {
            self.known_state.store_answered(now);
        }
        if let Some(since) = self.lost_parts.remove(&part) {
            let away_ms = now.saturating_sub(since).as_millis() as u64;
            self.record_event(Event::StoreRegained { away_ms, part });
        }
    }

    fn store_failed(&mut self, part: StorePart, error: &PlatformError) {
        if matches!(error, PlatformError::TooOld { .. }) {
            log::info!("the store no longer has the watched version of {part:?}; listing it again");
            return;
        }
        let now = self.now();
        if let std::collections::btree_map::Entry::Vacant(slot) = self.lost_parts.entry(part) {
            slot.insert(now);
            self.record_event(Event::StoreLost { part, reason: error.to_string().into() });
        }
        self.election.store_failed(now);
        if part == StorePart::Targets {
            self.known_state.store_failed(now);
        }
    }

    fn record_unreadable_entry(
        &self,
        part: StorePart,
        name: &Arc<str>,
        reason: &Arc<str>,
        source: Source,
    ) {
        let (name, reason) = (name.clone(), reason.clone());
        self.record_event(Event::EntryUnreadable { name, part, reason, source });
    }

    pub(super) fn record_target_known(&self, target: &TargetId, source: Source) {
        let Some(KnownTarget { entry, .. }) = self.known_state.target(target) else { return };
        self.record_event(Event::TargetKnown {
            cold_ms: entry.cold_for.as_millis() as u64,
            ready: entry.ready,
            service: entry.service.clone(),
            slots: entry.slots,
            source,
            store_version: self.logged_revision(StorePart::Targets),
            target: target.clone(),
            zone: entry.zone.clone(),
        });
    }

    /// Records that a target was dropped.
    pub(super) fn record_target_gone(&self, target: TargetId, source: Source) {
        let store_version = self.logged_revision(StorePart::Targets);
        self.record_event(Event::TargetGone { source, store_version, target });
    }

    /// The store's revision up to which a part is known, for the log.
    fn logged_revision(&self, part: StorePart) -> u64 {
        StorePoint::of(self.known_state.revisions().of(part)).revision
    }

    fn record_target_kept(&self, target: TargetId) {
        self.record_event(Event::TargetKept {
            for_ms: LAPSED_TARGET_GRACE.as_millis() as u64,
            target,
        });
    }

    fn record_zone_evacuated(&self, zone: ZoneId, source: Source) {
        let store_version = self.logged_revision(StorePart::Evacuations);
        self.record_event(Event::ZoneEvacuated { source, store_version, zone });
    }

    pub(super) fn record_zone_taken_back(&self, zone: ZoneId, source: Source) {
        let store_version = self.logged_revision(StorePart::Evacuations);
        self.record_event(Event::ZoneTakenBack { source, store_version, zone });
    }
}

/// Number of routes in a declaration.
fn route_count(declaration: &Declaration) -> usize {
    declaration.routes.values().map(Vec::len).sum()
}

/// Name of an object: its key without the prefix.
fn object_name(key: &Arc<str>) -> Arc<str> {
    key.rsplit_once('/').map_or_else(|| key.clone(), |(_, name)| name.into())
}
