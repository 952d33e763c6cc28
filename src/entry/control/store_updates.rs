//! What the store and other hosts tell, taken into what this host believes.

use std::collections::BTreeSet;

use bytes::Bytes;

use super::EntryControl;
use crate::{
    entry::{
        Declaration, DecodeError, KnownTarget, StorePart,
        known_state::{LAPSED_TARGET_GRACE, Removal},
    },
    event_log::{Event, Source},
    prelude::*,
    store::{Change, Entry, Followed, Listing, PlatformError},
};

impl EntryControl {
    /// Decodes and keeps one object; true when something that matters changed.
    fn written(&mut self, part: StorePart, key: &Arc<str>, version: u64, object: Bytes) -> bool {
        let object = match self.without_keys(part, key, object) {
            Some(object) => object,
            None => return false,
        };
        self.raw.insert((part, key.clone()), (version, object.clone()));
        match part {
            StorePart::Declared => self.declared(key, &object, Source::Watch),
            StorePart::Evacuations => {
                let evacuated = self.known_state.set_evacuated(key.clone(), true, self.now());
                if evacuated {
                    self.zone_evacuated(key.clone(), Source::Watch);
                }
                evacuated
            }
            StorePart::Targets => self.target_written(key, &object),
        }
    }

    /// Replaces callers' keys by digests, since hosts neither keep nor exchange keys.
    fn without_keys(&self, part: StorePart, key: &Arc<str>, object: Bytes) -> Option<Bytes> {
        if part != StorePart::Declared {
            return Some(object);
        }
        match self.parts.protocol.replace_keys_by_digests(object) {
            Ok(object) => Some(object),
            Err(error) => {
                self.unreadable(part, key, &error.0, Source::Watch);
                None
            }
        }
    }

    fn declared(&mut self, key: &Arc<str>, object: &[u8], source: Source) -> bool {
        let checked = self.parts.protocol.decode_declaration(object).and_then(|declared| {
            let is_region = |region: &RegionId| self.parts.settings.has_region(region);
            let regions = declared.teams.check_regions(is_region);
            regions.map(|()| declared).map_err(|error| DecodeError(error.to_string().into()))
        });
        let declared = match checked {
            Ok(declared) => declared,
            Err(error) => {
                self.unreadable(StorePart::Declared, key, &error.0, source);
                return false;
            }
        };
        let before = self.known_state.declaration().map_or(0, |declared| declared.version);
        let version = declared.version;
        let routes = routes(&declared);
        if self.known_state.apply_declaration(declared) {
            let store_version = self.known_state.revisions().declared;
            let event =
                Event::DeclarationInForce { before, routes, source, store_version, version };
            self.record(event);
            return true;
        }
        if version < before {
            self.record(Event::DeclarationStale { known: before, source, version });
        }
        false
    }

    fn target_written(&mut self, key: &Arc<str>, object: &[u8]) -> bool {
        let now = self.now();
        match self.parts.protocol.decode_target(key, object) {
            Ok(entry) => {
                let region = self.parts.settings.region_of(&entry.zone);
                let changed = self.known_state.apply_target(entry, region, now);
                if changed {
                    self.target_known(key, Source::Watch);
                }
                changed
            }
            Err(error) => {
                self.unreadable(StorePart::Targets, key, &error.0, Source::Watch);
                self.target_removed(key)
            }
        }
    }

    fn target_removed(&mut self, key: &Arc<str>) -> bool {
        match self.known_state.remove_target(key, self.now()) {
            Removal::Gone => self.target_gone(key.clone(), Source::Watch),
            Removal::Kept => self.target_kept(key.clone()),
            Removal::Unknown => return false,
        }
        true
    }

    fn removed(&mut self, part: StorePart, key: &Arc<str>) -> bool {
        self.raw.remove(&(part, key.clone()));
        match part {
            StorePart::Declared => {
                log::warn!("the declaration was removed; the one in force stands");
                false
            }
            StorePart::Evacuations => {
                let back = self.known_state.set_evacuated(key.clone(), false, self.now());
                if back {
                    self.zone_taken_back(key.clone(), Source::Watch);
                }
                back
            }
            StorePart::Targets => self.target_removed(key),
        }
    }

    /// Takes all objects of a part in place of those known before.
    pub(super) fn listed(
        &mut self,
        part: StorePart,
        objects: Vec<(Arc<str>, u64, Bytes)>,
        source: Source,
    ) -> bool {
        self.raw.retain(|(kept, _), _| *kept != part);
        for (key, version, object) in &objects {
            self.raw.insert((part, key.clone()), (*version, object.clone()));
        }
        match part {
            StorePart::Declared => objects
                .iter()
                .fold(false, |sum, (key, _, object)| self.declared(key, object, source) || sum),
            StorePart::Evacuations => self.evacuations_listed(&objects, source),
            StorePart::Targets => self.targets_listed(&objects, source),
        }
    }

    fn evacuations_listed(&mut self, objects: &[(Arc<str>, u64, Bytes)], source: Source) -> bool {
        let names: Vec<Arc<str>> = objects.iter().map(|(key, _, _)| key.clone()).collect();
        let zones: BTreeSet<ZoneId> = self.parts.protocol.evacuated_zones(&names);
        let changes = self.known_state.apply_evacuation_listing(zones, self.now());
        let changed = !changes.evacuated.is_empty() || !changes.taken_back.is_empty();
        for zone in changes.evacuated {
            self.zone_evacuated(zone, source);
        }
        for zone in changes.taken_back {
            self.zone_taken_back(zone, source);
        }
        changed
    }

    fn targets_listed(&mut self, objects: &[(Arc<str>, u64, Bytes)], source: Source) -> bool {
        let mut entries = Vec::new();
        for (key, _, object) in objects {
            match self.parts.protocol.decode_target(key, object) {
                Ok(entry) => {
                    let region = self.parts.settings.region_of(&entry.zone);
                    entries.push((entry, region));
                }
                Err(error) => self.unreadable(StorePart::Targets, key, &error.0, source),
            }
        }
        let changes = self.known_state.apply_target_listing(entries, self.now());
        let changed = !changes.gone.is_empty() || !changes.known.is_empty();
        for target in &changes.known {
            self.target_known(target, source);
        }
        for target in changes.gone {
            self.target_gone(target, source);
        }
        for target in changes.kept {
            self.target_kept(target);
        }
        changed
    }

    fn changed(&mut self, part: StorePart, changes: Vec<Change>) -> bool {
        let mut changed = false;
        // Another host may have told this and more already; taken in again, it would go back to
        // what was.
        let known = self.known_state.revisions().of(part);
        for change in changes.into_iter().filter(|change| known < change.version) {
            self.known_state.record_revision(part, change.version);
            let key = name(&change.key);
            changed |= match change.object {
                Some(object) => self.written(part, &key, object.version, object.value),
                None => self.removed(part, &key),
            };
        }
        changed
    }

    pub(super) fn told(&mut self, part: StorePart, told: Followed) -> bool {
        match told {
            Followed::Changed(changes) => {
                self.reached(part);
                self.record_declared_check(part);
                self.changed(part, changes)
            }
            Followed::Listed(Listing { version, .. })
                if version < self.known_state.revisions().of(part) =>
            {
                self.reached(part);
                false
            }
            Followed::Listed(Listing { entries, version }) => {
                self.reached(part);
                // The first listing may be out of date.
                let may_lag = self.known_state.revisions().of(part) == 0;
                self.known_state.record_revision(part, version);
                let object = |entry: Entry| {
                    let name = name(&entry.key);
                    let object = self.without_keys(part, &name, entry.object.value)?;
                    Some((name, entry.object.version, object))
                };
                let objects = entries.into_iter().filter_map(object).collect();
                let changed = self.listed(part, objects, Source::Listing);
                if !may_lag {
                    self.record_declared_check(part);
                }
                changed
            }
            Followed::Lost(error) => {
                self.lost(part, &error);
                false
            }
        }
    }

    /// Records that the store has just returned its latest declaration or confirmed that there is no
    /// later one.
    fn record_declared_check(&mut self, part: StorePart) {
        if part == StorePart::Declared {
            self.declared_checked_at = Some(self.now());
        }
    }

    fn reached(&mut self, part: StorePart) {
        self.election.store_answered();
        let now = self.now();
        self.told_at = now;
        if part == StorePart::Targets {
            self.known_state.store_answered(now);
        }
        if let Some(since) = self.lost_parts.remove(&part) {
            let away_ms = now.saturating_sub(since).as_millis() as u64;
            self.record(Event::StoreRegained { away_ms, part });
        }
    }

    fn lost(&mut self, part: StorePart, error: &PlatformError) {
        if matches!(error, PlatformError::TooOld { .. }) {
            log::info!("the store forgot what {part:?} was watched from; it is listed anew");
            return;
        }
        let now = self.now();
        if let std::collections::btree_map::Entry::Vacant(slot) = self.lost_parts.entry(part) {
            slot.insert(now);
            self.record(Event::StoreLost { part, reason: error.to_string().into() });
        }
        self.election.store_failed(now);
        if part == StorePart::Targets {
            self.known_state.store_failed(now);
        }
    }

    fn unreadable(&self, part: StorePart, name: &Arc<str>, reason: &Arc<str>, source: Source) {
        let (name, reason) = (name.clone(), reason.clone());
        self.record(Event::EntryUnreadable { name, part, reason, source });
    }

    fn target_known(&self, target: &TargetId, source: Source) {
        let Some(KnownTarget { entry, .. }) = self.known_state.target(target) else { return };
        self.record(Event::TargetKnown {
            cold_ms: entry.cold_for.as_millis() as u64,
            ready: entry.ready,
            service: entry.service.clone(),
            slots: entry.slots,
            source,
            store_version: self.known_state.revisions().targets,
            target: target.clone(),
            zone: entry.zone.clone(),
        });
    }

    /// Tells that a target's entry is gone.
    pub(super) fn target_gone(&self, target: TargetId, source: Source) {
        let store_version = self.known_state.revisions().targets;
        self.record(Event::TargetGone { source, store_version, target });
    }

    fn target_kept(&self, target: TargetId) {
        self.record(Event::TargetKept { for_ms: LAPSED_TARGET_GRACE.as_millis() as u64, target });
    }

    fn zone_evacuated(&self, zone: ZoneId, source: Source) {
        let store_version = self.known_state.revisions().evacuations;
        self.record(Event::ZoneEvacuated { source, store_version, zone });
    }

    fn zone_taken_back(&self, zone: ZoneId, source: Source) {
        let store_version = self.known_state.revisions().evacuations;
        self.record(Event::ZoneTakenBack { source, store_version, zone });
    }
}

fn routes(declared: &Declaration) -> usize {
    declared.routes.values().map(Vec::len).sum()
}

/// The name of an object, without its prefix.
fn name(key: &Arc<str>) -> Arc<str> {
    key.rsplit_once('/').map_or_else(|| key.clone(), |(_, name)| name.into())
}
