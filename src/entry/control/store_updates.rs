//! Applies updates from the store and from other hosts to this host's copy of the store's objects.

use bytes::Bytes;

use super::EntryControl;
use crate::{
    entry::{
        Declaration, DecodeError, KnownTarget, StorePart,
        known_state::{LAPSED_TARGET_GRACE, Removal},
        merge::{ObjectChange, Statement},
        store_objects::{RawObject, RemovedObject},
        sync::{PartDiff, Query},
    },
    event_log::{Event, Source},
    prelude::*,
    store::{Change, Changes, FollowEvent, PlatformError, StorePoint, Version, VersionedObject},
};

/// Period after a restore of the store over which hosts spread the writes of their records.
const RECORD_REWRITE_PERIOD: Duration = Duration::from_secs(2);

impl EntryControl {
    /// Decodes one changed object; returns whether the usable state changed.
    pub(super) fn apply_change(
        &mut self,
        part: StorePart,
        change: ObjectChange,
        source: Source,
    ) -> bool {
        match change {
            ObjectChange::Removed(name) => self.apply_removal(part, &name, source),
            ObjectChange::Written { name, bytes } => self.apply_object(part, &name, &bytes, source),
        }
    }

    fn apply_object(
        &mut self,
        part: StorePart,
        name: &Arc<str>,
        object: &[u8],
        source: Source,
    ) -> bool {
        match part {
            StorePart::Declared => self.apply_declaration(name, object, source),
            StorePart::Evacuations => {
                let is_new = self.known_state.set_evacuated(name.clone(), true, self.now());
                if is_new {
                    self.record_zone_evacuated(name.clone(), source);
                }
                is_new
            }
            StorePart::Targets => self.apply_target(name, object, source),
        }
    }

    /// Applies what another host sent of one part in response to a query, if it knows more than this
    /// host. Returns whether it was applied.
    pub(super) fn apply_difference(&mut self, diff: &PartDiff, query: &Query) -> bool {
        let part = diff.part;
        let known = self.objects.part(part).revision();
        let compared = query.digests_of(part);
        let Some(changes) = self.objects.part_mut(part).merge_difference(diff, compared) else {
            return false;
        };
        if part == StorePart::Targets {
            match self.contact.is_lost() {
                true => _ = self.known_state.store_answered(self.now()),
                false => self.record_store_reached(),
            }
        }
        let is_restored = self.note_restore(part, known, diff.revision);
        for change in changes {
            match change {
                ObjectChange::Removed(zone) if is_restored && part == StorePart::Evacuations => {
                    self.known_state.keep_evacuation(zone, self.now());
                }
                change => _ = self.apply_change(part, change, Source::Host),
            }
        }
        if is_restored {
            self.check_restored_declaration(part);
        }
        true
    }

    /// Notes that a part comes from a store that was restored since this host received it last, when
    /// it was known up to the version `known`. Returns whether that is so.
    pub(super) fn note_restore(
        &mut self,
        part: StorePart,
        known: Version,
        version: Version,
    ) -> bool {
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
    pub(super) fn check_restored_declaration(&mut self, part: StorePart) {
        let in_force = self.known_state.declaration().map_or(0, |it| it.version);
        if part == StorePart::Declared && self.read_declaration < in_force {
            self.store_is_behind = true;
        }
    }

    /// Replaces the callers' keys in a declaration by digests, since hosts neither keep nor
    /// exchange keys. Returns other objects unchanged, and `None` for an invalid declaration.
    pub(super) fn replace_keys_by_digests(
        &mut self,
        part: StorePart,
        key: &Arc<str>,
        object: VersionedObject,
        source: Source,
    ) -> Option<Bytes> {
        if part != StorePart::Declared {
            return Some(object.value);
        }
        let VersionedObject { value, version, .. } = object;
        match self.parts.protocol.replace_keys_by_digests(value) {
            Ok(object) => Some(object),
            Err(error) => {
                self.record_unreadable_entry(part, key, version, &error.0, source);
                None
            }
        }
    }

    pub(super) fn apply_declaration(
        &mut self,
        key: &Arc<str>,
        object: &[u8],
        source: Source,
    ) -> bool {
        if !self.is_declaration(key) {
            return false;
        }
        let checked = self.parts.protocol.decode_declaration(object).and_then(|declaration| {
            let is_region = |region: &RegionId| self.parts.settings.has_region(region);
            let regions = declaration.teams.check_regions(is_region);
            regions.map(|()| declaration).map_err(|error| DecodeError(error.to_string().into()))
        });
        let declaration = match checked {
            Ok(declaration) => declaration,
            Err(error) => {
                let revision = self.held_revision(StorePart::Declared, key);
                self.record_unreadable_entry(StorePart::Declared, key, revision, &error.0, source);
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
                let revision = self.held_revision(StorePart::Targets, key);
                self.record_unreadable_entry(StorePart::Targets, key, revision, &error.0, source);
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

    fn apply_removal(&mut self, part: StorePart, key: &Arc<str>, source: Source) -> bool {
        self.unreadable_entries.remove(&(part, key.clone()));
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

    /// Applies what a watch reported; returns whether the usable state changed.
    fn apply_changes(&mut self, part: StorePart, Changes { changes, version }: Changes) -> bool {
        self.expire_unlisted(part);
        if changes.is_empty() {
            return false;
        }
        let statements =
            changes.into_iter().filter_map(|change| self.statement(part, change)).collect();
        let mut changed = false;
        for change in self.objects.part_mut(part).merge_changes(statements, version) {
            changed |= self.apply_change(part, change, Source::Watch);
        }
        changed
    }

    /// The name of an object: its key without the prefix. `None` for an object of which hosts use
    /// nothing.
    pub(super) fn object_name(&self, part: StorePart, key: &Arc<str>) -> Option<Arc<str>> {
        let prefixes = self.parts.protocol.store_prefixes();
        let name: Arc<str> = key.strip_prefix(prefixes.of(part))?.into();
        (part != StorePart::Declared || self.is_declaration(&name)).then_some(name)
    }

    /// Whether an object is the declaration. Other objects beside it have no effect.
    fn is_declaration(&self, name: &str) -> bool {
        let prefixes = self.parts.protocol.store_prefixes();
        prefixes.declaration.strip_prefix(prefixes.declared) == Some(name)
    }

    /// What a watch reported of one object; `None` for an invalid declaration and for an object of
    /// which hosts use nothing.
    fn statement(&mut self, part: StorePart, change: Change) -> Option<Statement> {
        let name = self.object_name(part, &change.key)?;
        match change.object {
            Some(object) => {
                let revision = object.version;
                let bytes = self.replace_keys_by_digests(part, &name, object, Source::Watch)?;
                Some(Statement::Written(RawObject { name, revision, bytes }))
            }
            None => Some(Statement::Removed(RemovedObject { name, ended: change.version })),
        }
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
            FollowEvent::Listed(listing) => {
                self.store_answered(part);
                self.apply_listing(part, listing)
            }
            FollowEvent::Failed(error) => {
                self.store_failed(part, &error);
                false
            }
        }
    }

    /// Records that the store has just returned its latest declaration or confirmed that there is
    /// no later one. Ignores other parts, and a restored store that holds an older declaration.
    pub(super) fn record_declaration_check(&mut self, part: StorePart) {
        if part == StorePart::Declared && !self.store_is_behind {
            self.declaration_checked_at = Some(self.now());
        }
    }

    fn store_answered(&mut self, part: StorePart) {
        self.election.store_answered();
        let now = self.now();
        self.state_received_at = now;
        if part == StorePart::Targets {
            self.record_store_reached();
        }
        if let Some(since) = self.lost_parts.remove(&part) {
            let away_ms = now.saturating_sub(since).as_millis() as u64;
            self.record_event(Event::StoreRegained { away_ms, part });
        }
    }

    /// Records that this host's calls to the store succeed, and when they did so after an outage. The
    /// first response about targets may come much later.
    fn record_store_reached(&mut self) {
        let ended = self.contact.last_outage().map(|outage| outage.ended);
        self.known_state.store_reached(ended);
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

    fn held_revision(&self, part: StorePart, name: &str) -> Version {
        self.objects.part(part).revision_of(name).unwrap_or_default()
    }

    /// Logs an entry that can't be read, once for each of its revisions.
    pub(super) fn record_unreadable_entry(
        &mut self,
        part: StorePart,
        name: &Arc<str>,
        revision: Version,
        reason: &Arc<str>,
        source: Source,
    ) {
        let logged = self.unreadable_entries.insert((part, name.clone()), revision);
        if logged == Some(revision) {
            return;
        }
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
        StorePoint::of(self.objects.part(part).revision()).revision
    }

    pub(super) fn record_target_kept(&self, target: TargetId) {
        self.record_event(Event::TargetKept {
            for_ms: LAPSED_TARGET_GRACE.as_millis() as u64,
            target,
        });
    }

    pub(super) fn record_zone_evacuated(&self, zone: ZoneId, source: Source) {
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
