//! Objects, versions and changes of the store.

use std::sync::Arc;

use bytes::Bytes;

/// Largest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 512;

/// Version of the whole store. It increases with every write, not always by one. The version of an
/// object is the store's version at its last write, so no two states of a key share a version.
pub type Version = u64;

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
    /// The store's version; a watch continues from here.
    pub version: Version,
}

/// One write or delete reported by a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    pub key: Arc<str>,
    /// `None` after a delete.
    pub object: Option<VersionedObject>,
    pub version: Version,
}

/// Writes and deletes reported by a watch, in order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    pub changes: Vec<Change>,
    /// The store's version; the next watch continues from here.
    pub version: Version,
}
