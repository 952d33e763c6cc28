//! The parts of the store that hosts follow.

use crate::prelude::*;

/// Which objects of the store something is about.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StorePart {
    Declared,
    Evacuations,
    Targets,
}

impl StorePart {
    /// Every part.
    pub const ALL: [StorePart; 3] =
        [StorePart::Declared, StorePart::Evacuations, StorePart::Targets];
}
