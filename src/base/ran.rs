//! Whether a target ran a request, as far as is known.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a target ran the request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It is proven that no target ran it.
    No,
    /// A target may have run it.
    Unknown,
    /// A target ran it, and the response given is its own.
    Yes,
}

impl Ran {
    /// Returns the value of the `lavender-ran` header.
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
