//! JSON bodies and headers of the object API, shared by the client and the stand-in of the platform
//! (`standin::platform`). `docs/PLATFORM.md` describes the protocol.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::Deserializer;
use serde_json::value::RawValue;

use super::{Change, Changes, Entry, Listing, Version, VersionedObject};
use crate::prelude::*;

/// Header with the operation id of a write.
pub const OPERATION_HEADER: &str = "object-operation";

/// Header with the version of the object in the response to a read.
pub const VERSION_HEADER: &str = "object-version";

/// Response to a write.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriteResponse {
    pub version: Version,
}

/// Response to a write whose precondition was not met.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConflictResponse {
    pub version: Option<Version>,
}

/// Response to a watch from a version whose later changes the store no longer has.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TooOldResponse {
    pub oldest: Version,
}

/// Response to a listing or a watch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObjectsResponse {
    #[serde(deserialize_with = "readable_objects")]
    pub objects: Vec<ObjectRecord>,
    /// The store's version.
    pub version: Version,
}

/// One object; it was deleted if it has no `value`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObjectRecord {
    pub key: Arc<str>,
    pub operation: Option<Arc<str>>,
    /// Base64.
    pub value: Option<String>,
    pub version: Version,
}

impl From<Listing> for ObjectsResponse {
    fn from(listing: Listing) -> Self {
        let change = |entry: Entry| {
            let version = entry.object.version;
            Change { key: entry.key, object: Some(entry.object), version }
        };
        let changes = listing.entries.into_iter().map(change).collect();
        Changes { changes, version: listing.version }.into()
    }
}

impl From<Changes> for ObjectsResponse {
    fn from(changes: Changes) -> Self {
        let object = |change: Change| ObjectRecord {
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

/// The objects of a response. Those that can't be read are skipped, so that they do not hide the
/// others.
fn readable_objects<'de, D: Deserializer<'de>>(response: D) -> Result<Vec<ObjectRecord>, D::Error> {
    let objects: Vec<Box<RawValue>> = Vec::deserialize(response)?;
    let decode = |object: &RawValue| {
        serde_json::from_str(object.get())
            .inspect_err(|error| log::warn!("skipping an invalid object of the store: {error}"))
    };
    Ok(objects.iter().filter_map(|object| decode(object).ok()).collect())
}

impl ObjectsResponse {
    /// Converts into changes.
    pub fn into_changes(self) -> Changes {
        let changes = self.objects.into_iter().map(ObjectRecord::into_change).collect();
        Changes { changes, version: self.version }
    }

    /// Converts into a listing.
    pub fn into_listing(self) -> Listing {
        let changes = self.into_changes();
        let entry = |change: Change| {
            let object = change.object?;
            Some(Entry { key: change.key, object })
        };
        let entries = changes.changes.into_iter().filter_map(entry).collect();
        Listing { entries, gap: None, version: changes.version }
    }
}

impl ObjectRecord {
    /// Converts into a change. An object that another client wrote may have no operation, and a value
    /// that is not base64 counts as empty, which no reader of values accepts.
    fn into_change(self) -> Change {
        let Self { key, operation, value, version } = self;
        let object = value.map(|value| VersionedObject {
            operation: operation.unwrap_or_default(),
            value: STANDARD.decode(value).unwrap_or_default().into(),
            version,
        });
        Change { key, object, version }
    }
}
