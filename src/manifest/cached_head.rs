//! The head as a host last heard of it from the platform.

use super::SignedManifest;
use crate::store::Version;

/// A head that was read. A host that watches nothing looks every few seconds for a change; the whole
/// text each time would be half of what a host may send and receive.
#[derive(Clone, Debug)]
pub struct CachedHead {
    pub signed: SignedManifest,
    /// Version of the platform's object.
    pub version: Version,
}

impl CachedHead {
    /// Whether nothing is gained by reading the head again: the object is the one that was read, and
    /// what it names is in force here. One whose parts did not come has to be offered again.
    pub fn is_current(&self, object: Option<Version>, in_force: Option<&SignedManifest>) -> bool {
        object == Some(self.version) && in_force == Some(&self.signed)
    }
}
