//! What the store and other hosts tell, taken into what this host believes.

use std::collections::BTreeSet;

use super::EntryControl;
use crate::{
    entry::Part,
    prelude::*,
    store::{Change, Entry, Followed, Listing, PlatformError},
};

impl EntryControl {
    /// Decodes and keeps one object; true when something that matters changed.
    fn written(&mut self, part: Part, key: &Arc<str>, version: u64, object: bytes::Bytes) -> bool {
        let now = self.now();
        let protocol = self.parts.protocol.clone();
        self.raw.insert((part, key.clone()), (version, object.clone()));
        match part {
            Part::Declared => match protocol.declared(&object) {
                Ok(declared) => {
                    let version = declared.version;
                    let newer = self.known_state.declare(declared);
                    if newer {
                        log::info!("declaration {version:08x} in force");
                    }
                    newer
                }
                Err(error) => {
                    log::warn!("declaration is left out: {error}");
                    false
                }
            },
            Part::Evacuations => {
                log::info!("zone {key} is evacuated");
                self.known_state.evacuate(key.clone(), true, now)
            }
            Part::Targets => match protocol.target(key, &object) {
                Ok(entry) => {
                    let region = self.parts.settings.region_of(&entry.zone);
                    log::info!("target {key}: {entry:?}");
                    self.known_state.write(entry, region, now)
                }
                Err(error) => {
                    log::warn!("target {key} is left out: {error}");
                    self.known_state.remove(key)
                }
            },
        }
    }

    fn removed(&mut self, part: Part, key: &Arc<str>) -> bool {
        self.raw.remove(&(part, key.clone()));
        log::info!("{part:?} {key} removed");
        match part {
            Part::Declared => false,
            Part::Evacuations => self.known_state.evacuate(key.clone(), false, self.now()),
            Part::Targets => self.known_state.remove(key),
        }
    }

    pub(super) fn listed(
        &mut self,
        part: Part,
        objects: Vec<(Arc<str>, u64, bytes::Bytes)>,
    ) -> bool {
        let now = self.now();
        self.raw.retain(|(kept, _), _| *kept != part);
        match part {
            Part::Declared => objects.into_iter().fold(false, |sum, (key, version, object)| {
                self.written(part, &key, version, object) || sum
            }),
            Part::Evacuations => {
                let names: Vec<Arc<str>> = objects.iter().map(|(key, _, _)| key.clone()).collect();
                for (key, version, object) in objects {
                    self.raw.insert((part, key), (version, object));
                }
                let zones: BTreeSet<ZoneId> = self.parts.protocol.zones(&names);
                self.known_state.evacuations(zones, now)
            }
            Part::Targets => {
                let mut entries = Vec::new();
                for (key, version, object) in objects {
                    match self.parts.protocol.target(&key, &object) {
                        Ok(entry) => {
                            let region = self.parts.settings.region_of(&entry.zone);
                            entries.push((entry, region));
                        }
                        Err(error) => log::warn!("target {key} is left out: {error}"),
                    }
                    self.raw.insert((part, key), (version, object));
                }
                log::info!("{} targets listed", entries.len());
                self.known_state.list(entries, now)
            }
        }
    }

    fn changed(&mut self, part: Part, changes: Vec<Change>) -> bool {
        let mut changed = false;
        for change in changes {
            self.known_state.saw(part, change.version);
            let key = name(&change.key);
            changed |= match change.object {
                Some(object) => self.written(part, &key, object.version, object.value),
                None => self.removed(part, &key),
            };
        }
        changed
    }

    pub(super) fn told(&mut self, part: Part, told: Followed) -> bool {
        match told {
            Followed::Changed(changes) => {
                self.election.reached();
                self.changed(part, changes)
            }
            Followed::Listed(Listing { entries, version }) => {
                self.election.reached();
                self.known_state.saw(part, version);
                let object =
                    |entry: Entry| (name(&entry.key), entry.object.version, entry.object.value);
                self.listed(part, entries.into_iter().map(object).collect())
            }
            Followed::Lost(error) => {
                log::info!("store, {part:?}: {error}");
                if matches!(error, PlatformError::TooOld { .. }) {
                    return false;
                }
                let now = self.now();
                self.election.lost(now);
                if part == Part::Targets {
                    self.known_state.lost(now);
                }
                false
            }
        }
    }
}

/// The name of an object, without its prefix.
fn name(key: &Arc<str>) -> Arc<str> {
    key.rsplit_once('/').map_or_else(|| key.clone(), |(_, name)| name.into())
}
