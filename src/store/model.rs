//! Objects, versions and changes of the store.

use std::sync::Arc;

use bytes::Bytes;

use super::PlatformError;

/// Largest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 512;

/// Version of the whole store. It increases with every write, not always by one. The version of an
/// object is the store's version at its last write, so no two states of a key share a version. It
/// also increases when the store is restored from a copy, see `StorePoint`.
pub type Version = u64;

/// Number of lower bits of a version that hold the revision.
const REVISION_BITS: u32 = 40;

/// Highest number of restores that a version can hold.
pub const MAX_RESTORES: u64 = Version::MAX >> REVISION_BITS;

/// A point in the history of a store that may be restored from a copy. After a restore the store
/// gives out revisions again, so points are ordered by the number of restores first. As a `Version`
/// they have the same order.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StorePoint {
    /// Number of times that the store was restored, up to `MAX_RESTORES`.
    pub restores: u64,
    /// The store's own counter, up to 2^40.
    pub revision: u64,
}

impl StorePoint {
    /// The point that a version stands for.
    pub fn of(version: Version) -> Self {
        let revision = version & ((1 << REVISION_BITS) - 1);
        Self { restores: version >> REVISION_BITS, revision }
    }

    /// The version that stands for this point.
    pub fn version(self) -> Version {
        let revision = self.revision.min((1 << REVISION_BITS) - 1);
        (self.restores.min(MAX_RESTORES) << REVISION_BITS) | revision
    }
}

/// Identifies one intended write, across its retries; each write gets a new random id.
pub type OperationId = Arc<str>;

/// Whether `key` is a valid key. Valid keys need no escaping in a URL path.
pub fn is_valid_key(key: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');
    (1..=MAX_KEY_BYTES).contains(&key.len()) && key.chars().all(is_allowed)
}

pub fn new_operation_id() -> OperationId {
    uuid::Uuid::new_v4().to_string().into()
}

/// A value with its version and the id of the write that stored it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionedObject {
    pub operation: OperationId,
    pub value: Bytes,
    pub version: Version,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expect {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(Version),
}

impl Expect {
    /// Returns the precondition that the object is unchanged since it was read.
    pub fn unchanged(read: Option<&VersionedObject>) -> Self {
        read.map_or(Expect::Absent, |object| Expect::Version(object.version))
    }

    /// Whether an object with this version, or none, meets the precondition.
    pub fn is_met_by(self, version: Option<Version>) -> bool {
        match self {
            Expect::Absent => version.is_none(),
            Expect::Version(expected) => version == Some(expected),
        }
    }
}

/// One object of a listing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    pub key: Arc<str>,
    pub object: VersionedObject,
}

/// Key and version of an object, without its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyVersion {
    pub key: Arc<str>,
    pub version: Version,
}

/// Objects at one point in time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// Sorted by key.
    pub entries: Vec<Entry>,
    /// Why objects may be missing; `None` if the listing is complete.
    pub gap: Option<PlatformError>,
    /// The store's version; a watch continues from here.
    pub version: Version,
}

/// One write or delete reported by a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    pub key: Arc<str>,
    /// `None` after a delete.
    pub object: Option<VersionedObject>,
    /// Version of the write. States of the object up to it have ended after a delete, whose own
    /// version may be higher.
    pub version: Version,
}

/// Writes and deletes reported by a watch, in order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    pub changes: Vec<Change>,
    /// The store's version; the next watch continues from here.
    pub version: Version,
}
