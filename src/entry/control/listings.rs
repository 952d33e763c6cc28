//! Applies listings of the store to this host's copy of its objects.

use std::collections::BTreeSet;

use super::EntryControl;
use crate::{
    entry::{StorePart, store_objects::RawObject},
    event_log::{Event, Source},
    prelude::*,
    store::{Entry, Listing, StorePoint, Version},
};

/// Time after a listing that ended early until a watch has shown all objects that are still written.
/// Targets write theirs every few seconds.
const UNLISTED_PERIOD: Duration = Duration::from_secs(15);

impl EntryControl {
    /// Decodes all objects of a part after a listing of the store; returns whether the usable state
    /// changed.
    fn apply_listed(&mut self, part: StorePart, is_restored: bool) -> bool {
        let objects: Vec<RawObject> = self.objects.part(part).all().collect();
        match part {
            StorePart::Declared => {
                let mut changed = false;
                for object in &objects {
                    changed |= self.apply_declaration(&object.name, &object.bytes, Source::Listing);
                }
                changed
            }
            StorePart::Evacuations => self.apply_evacuation_listing(&objects, is_restored),
            StorePart::Targets => self.apply_target_listing(&objects),
        }
    }

    fn apply_evacuation_listing(&mut self, objects: &[RawObject], is_restored: bool) -> bool {
        let source = Source::Listing;
        let names: Vec<Arc<str>> = objects.iter().map(|object| object.name.clone()).collect();
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

    fn apply_target_listing(&mut self, objects: &[RawObject]) -> bool {
        let source = Source::Listing;
        let mut entries = Vec::new();
        for RawObject { name, revision, bytes } in objects {
            match self.parts.protocol.decode_target(name, bytes) {
                Ok(entry) => {
                    let region = self.parts.settings.region_of(&entry.zone);
                    entries.push((entry, region));
                }
                Err(error) => {
                    let part = StorePart::Targets;
                    self.record_unreadable_entry(part, name, *revision, &error.0, source);
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

    /// Applies a listing of the store; returns whether the usable state changed.
    pub(super) fn apply_listing(&mut self, part: StorePart, listing: Listing) -> bool {
        let Listing { entries, gap, version } = listing;
        let known = self.objects.part(part).revision();
        let object = |entry: Entry| {
            let (name, revision) = (self.object_name(part, &entry.key)?, entry.object.version);
            let bytes = self.replace_keys_by_digests(part, &name, entry.object, Source::Listing)?;
            Some(RawObject { name, revision, bytes })
        };
        let objects: Vec<RawObject> = entries.into_iter().filter_map(object).collect();
        let count = objects.len();
        if let Some(gap) = gap {
            let reason = gap.to_string().into();
            self.record_event(Event::ListingIncomplete { objects: count, part, reason });
            return self.apply_partial_listing(part, objects, version);
        }
        self.unlisted_expiry.remove(&part);
        let is_applied = self.objects.part_mut(part).merge_listing(objects, version);
        let store_version = StorePoint::of(version).revision;
        self.record_event(Event::StoreListed { is_applied, objects: count, part, store_version });
        if !is_applied {
            return false;
        }
        let is_restored = self.note_restore(part, known, version);
        let changed = self.apply_listed(part, is_restored);
        if is_restored {
            self.check_restored_declaration(part);
        }
        // The first listing may be some seconds old.
        if known != 0 {
            self.record_declaration_check(part);
        }
        changed
    }

    /// Applies a listing that ended early; returns whether the usable state changed.
    fn apply_partial_listing(
        &mut self,
        part: StorePart,
        objects: Vec<RawObject>,
        version: Version,
    ) -> bool {
        self.unlisted_expiry.insert(part, self.now() + UNLISTED_PERIOD);
        let mut changed = false;
        for change in self.objects.part_mut(part).merge_partial_listing(objects, version) {
            changed |= self.apply_change(part, change, Source::Listing);
        }
        changed
    }

    /// Takes a part for complete once the watch must have shown what a listing could not read.
    pub(super) fn expire_unlisted(&mut self, part: StorePart) {
        let now = self.now();
        if self.unlisted_expiry.get(&part).is_some_and(|until| *until <= now) {
            self.unlisted_expiry.remove(&part);
            self.objects.part_mut(part).forget_unlisted();
        }
    }
}
