//! The objects and the log of their changes.

use std::{collections::VecDeque, ops::Bound};

use bytes::Bytes;

use crate::{
    prelude::*,
    store::{
        Change, Changes, Entry, Expect, Listing, MAX_VALUE_BYTES, OperationId, PlatformError,
        Result, Version, VersionedObject, is_valid_key,
    },
};

/// Changes kept for watches.
const MAX_LOG: usize = 10_000;

/// A versioned store in memory.
#[derive(Debug, Default)]
pub struct ObjectStore {
    /// Version up to which the log is forgotten.
    forgotten: Version,
    log: VecDeque<Change>,
    objects: BTreeMap<Arc<str>, VersionedObject>,
    version: Version,
}

impl ObjectStore {
    /// Changes after `from`.
    pub fn changes(&self, prefix: &str, from: Version) -> Result<Changes> {
        if from < self.forgotten || self.version < from {
            return Err(PlatformError::TooOld { oldest: self.forgotten });
        }
        let start = self.log.partition_point(|change| change.version <= from);
        let changes = self.log.iter().skip(start);
        let changes = changes.filter(|change| change.key.starts_with(prefix)).cloned().collect();
        Ok(Changes { changes, version: self.version })
    }

    /// Forgets the log: every older watch has to list again.
    pub fn compact(&mut self) {
        self.log.clear();
        self.forgotten = self.version;
    }

    /// Removes an object.
    pub fn delete(&mut self, key: &str, expect: Expect) -> Result<Version> {
        self.meet(key, expect)?;
        self.objects.remove(key);
        Ok(self.record(key.into(), None))
    }

    /// The object of that key.
    pub fn get(&self, key: &str) -> Option<VersionedObject> {
        self.objects.get(key).cloned()
    }

    /// Lets the version jump.
    pub fn jump(&mut self, by: u64) {
        self.version += by;
    }

    /// All objects under `prefix`.
    pub fn list(&self, prefix: &str) -> Listing {
        let entries = self
            .objects
            .range::<str, _>((Bound::Included(prefix), Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, object)| Entry { key: key.clone(), object: object.clone() })
            .collect();
        Listing { entries, gap: None, version: self.version }
    }

    /// Writes an object.
    pub fn put(
        &mut self,
        key: &str,
        expect: Expect,
        value: Bytes,
        operation: OperationId,
    ) -> Result<Version> {
        if !is_valid_key(key) {
            return Err(PlatformError::Refused { detail: "malformed key".into() });
        }
        if MAX_VALUE_BYTES < value.len() {
            return Err(PlatformError::TooLarge);
        }
        self.meet(key, expect)?;
        let object = VersionedObject { operation, value, version: self.version + 1 };
        self.objects.insert(key.into(), object.clone());
        Ok(self.record(key.into(), Some(object)))
    }

    fn meet(&self, key: &str, expect: Expect) -> Result<()> {
        let current = self.objects.get(key).map(|object| object.version);
        if expect.is_met_by(current) {
            return Ok(());
        }
        Err(PlatformError::Conflict { current })
    }

    fn record(&mut self, key: Arc<str>, object: Option<VersionedObject>) -> Version {
        self.version += 1;
        self.log.push_back(Change { key, object, version: self.version });
        if MAX_LOG < self.log.len()
            && let Some(change) = self.log.pop_front()
        {
            self.forgotten = change.version;
        }
        self.version
    }
}
