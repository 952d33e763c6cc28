//! One drain as hosts tell it to each other.

use crate::{manifest::DrainScope, prelude::*, timeline::HybridTime};

/// Name of one drain, unique within its member; the host that takes the order draws it.
pub type DrainId = Arc<str>;

/// One drain that an operator ordered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainRecord {
    /// When it was ordered.
    pub at: HybridTime,
    /// Who ordered it, as the operator's token names them.
    pub by: Arc<str>,
    pub id: DrainId,
    pub scope: DrainScope,
    /// Sequence of the manifest in force when it was ordered.
    pub under: Sequence,
    /// Set once an operator took it back. It stays as a tombstone, so that a host that was cut off
    /// and still holds the drain cannot bring it back.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub undone: Option<Undrain>,
}

/// Who took a drain back, and when.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Undrain {
    pub at: HybridTime,
    pub by: Arc<str>,
}
