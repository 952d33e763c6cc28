//! The head as a host last read it from the platform.

use super::SignedManifest;
use crate::store::Version;

/// The last head read from the platform. A host without a watch polls for changes every few
/// seconds; reading the whole text each time would use half of a host's network budget.
#[derive(Clone, Debug)]
pub struct CachedHead {
    pub signed: SignedManifest,
    /// Version of the platform object.
    pub version: Version,
}

impl CachedHead {
    /// Whether the head need not be read again: the platform object is still the one that was read,
    /// and its manifest is in force here. A manifest whose parts are missing must be offered again.
    pub fn is_current(&self, object: Option<Version>, in_force: Option<&SignedManifest>) -> bool {
        object == Some(self.version) && in_force == Some(&self.signed)
    }
}
