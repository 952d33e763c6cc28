//! The binding of a request to the host whose ledger records it.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use super::{Generation, HostId, Incarnation};

/// Identifies the only ledger generation that may run a request. Callers get it from a look-up and
/// send it back as text: `HOST/INCARNATION/GENERATION`, with the incarnation as 16 hex digits.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct Binding {
    pub generation: Generation,
    pub host: HostId,
    pub incarnation: Incarnation,
}

/// The text is not a valid binding.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("invalid binding: expected HOST/INCARNATION/GENERATION as returned by a look-up")]
pub struct BindingError;

impl fmt::Display for Binding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:016x}/{}", self.host, self.incarnation, self.generation)
    }
}

impl FromStr for Binding {
    type Err = BindingError;

    fn from_str(text: &str) -> Result<Self, BindingError> {
        let mut parts = text.split('/');
        let host = parts.next().filter(|host| !host.is_empty()).ok_or(BindingError)?;
        let incarnation = parts.next().filter(|hex| hex.len() == 16).ok_or(BindingError)?;
        let generation = parts.next().ok_or(BindingError)?;
        if parts.next().is_some() {
            return Err(BindingError);
        }
        let binding = Self {
            generation: generation.parse().map_err(|_| BindingError)?,
            host: host.into(),
            incarnation: Incarnation::from_str_radix(incarnation, 16).map_err(|_| BindingError)?,
        };
        // Only the canonical form is accepted: the number parsers also take signs, leading zeros
        // and upper-case digits, which no look-up returns.
        if binding.to_string() == text { Ok(binding) } else { Err(BindingError) }
    }
}

impl From<Binding> for String {
    fn from(binding: Binding) -> Self {
        binding.to_string()
    }
}

impl TryFrom<String> for Binding {
    type Error = BindingError;

    fn try_from(text: String) -> Result<Self, BindingError> {
        text.parse()
    }
}
