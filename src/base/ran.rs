//! What is known about whether a request was run by a target.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a target ran the request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// Proven: no target ran it.
    No,
    /// A target may have run it.
    Unknown,
    /// A target ran it and its answer is the one given.
    Yes,
}

impl Ran {
    /// The value of the `lavender-ran` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Unknown => "unknown",
            Ran::Yes => "yes",
        }
    }
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
