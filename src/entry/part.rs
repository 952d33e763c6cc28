//! The parts of the store that hosts follow.

use crate::prelude::*;

/// Which objects of the store something is about.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Part {
    Declared,
    Evacuations,
    Targets,
}

impl Part {
    /// Every part.
    pub const ALL: [Part; 3] = [Part::Declared, Part::Evacuations, Part::Targets];
}
