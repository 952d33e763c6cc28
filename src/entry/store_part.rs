//! The parts of the platform's store that hosts watch.

use crate::prelude::*;

/// A part of the store: the objects under one key prefix.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StorePart {
    Declared,
    Evacuations,
    Targets,
}

impl StorePart {
    /// All parts.
    pub const ALL: [StorePart; 3] =
        [StorePart::Declared, StorePart::Evacuations, StorePart::Targets];
}
