//! JSON of the object API, as `docs/PLATFORM.md` gives it. Shared by the client and the stand-in.

use base64::{Engine, engine::general_purpose::STANDARD};

use super::{Change, Changes, Entry, Listing, Version, Versioned};
use crate::prelude::*;

/// Header with the operation id of a write.
pub const OPERATION: &str = "object-operation";

/// Header with the version of the object in an answer to a read.
pub const VERSION: &str = "object-version";

/// Answer to a write.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Written {
    pub version: Version,
}

/// Answer to a write whose expectation was not met.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Current {
    pub version: Option<Version>,
}

/// Answer to a watch from a forgotten version.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Forgotten {
    pub oldest: Version,
}

/// Answer to a listing or a watch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Objects {
    pub objects: Vec<Object>,
    /// The store's version.
    pub version: Version,
}

/// One object; without `value` it was deleted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Object {
    pub key: Arc<str>,
    pub operation: Option<Arc<str>>,
    /// Base64.
    pub value: Option<String>,
    pub version: Version,
}

impl From<Listing> for Objects {
    fn from(listing: Listing) -> Self {
        let change = |entry: Entry| {
            let version = entry.object.version;
            Change { key: entry.key, object: Some(entry.object), version }
        };
        let changes = listing.entries.into_iter().map(change).collect();
        Changes { changes, version: listing.version }.into()
    }
}

impl From<Changes> for Objects {
    fn from(changes: Changes) -> Self {
        let object = |change: Change| Object {
            key: change.key,
            operation: change.object.as_ref().map(|object| object.operation.clone()),
            value: change.object.map(|object| STANDARD.encode(object.value)),
            version: change.version,
        };
        Self {
            objects: changes.changes.into_iter().map(object).collect(),
            version: changes.version,
        }
    }
}

impl Objects {
    /// As changes; `None` if a value can't be decoded.
    pub fn into_changes(self) -> Option<Changes> {
        let changes = self.objects.into_iter().map(Object::into_change).collect::<Option<_>>()?;
        Some(Changes { changes, version: self.version })
    }

    /// As a listing; `None` if a value can't be decoded.
    pub fn into_listing(self) -> Option<Listing> {
        let changes = self.into_changes()?;
        let entry = |change: Change| {
            let object = change.object?;
            Some(Entry { key: change.key, object })
        };
        let entries = changes.changes.into_iter().filter_map(entry).collect();
        Some(Listing { entries, version: changes.version })
    }
}

impl Object {
    fn into_change(self) -> Option<Change> {
        let version = self.version;
        let object = match self.value {
            None => None,
            Some(value) => Some(Versioned {
                operation: self.operation?,
                value: STANDARD.decode(value).ok()?.into(),
                version,
            }),
        };
        Some(Change { key: self.key, object, version })
    }
}
