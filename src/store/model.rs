//! Objects and their versions.

use std::sync::Arc;

use bytes::Bytes;

/// Largest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Longest key, in bytes.
pub const MAX_KEY_BYTES: usize = 512;

/// Version of the whole store: rises with every write, not always by one. The version of an object
/// is the store's version at its last write, so that no two states of a key share one.
pub type Version = u64;

/// Names one intended write; drawn anew for each.
pub type OperationId = Arc<str>;

/// Whether `key` can be one: it then needs no escaping in a path.
pub fn is_valid_key(key: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');
    (1..=MAX_KEY_BYTES).contains(&key.len()) && key.chars().all(plain)
}

/// A new operation id.
pub fn new_operation_id() -> OperationId {
    uuid::Uuid::new_v4().to_string().into()
}

/// A value and the write that put it there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionedObject {
    pub operation: OperationId,
    pub value: Bytes,
    pub version: Version,
}

/// What a conditional update is conditional on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expect {
    /// There is no such object.
    Absent,
    /// The object has this version.
    Version(Version),
}

impl Expect {
    /// That the object still is as it was read.
    pub fn unchanged(read: Option<&VersionedObject>) -> Self {
        read.map_or(Expect::Absent, |object| Expect::Version(object.version))
    }

    /// Whether an object of that version meets the expectation.
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

/// An object without its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyVersion {
    pub key: Arc<str>,
    pub version: Version,
}

/// Objects at one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// Sorted by key.
    pub entries: Vec<Entry>,
    /// The store's version: a watch goes on from here.
    pub version: Version,
}

/// One write seen by a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    pub key: Arc<str>,
    /// `None` after a delete.
    pub object: Option<VersionedObject>,
    pub version: Version,
}

/// Writes seen by a watch, in their order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    pub changes: Vec<Change>,
    /// The store's version: the next watch goes on from here.
    pub version: Version,
}
