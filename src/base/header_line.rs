//! HTTP header lines, independent of any HTTP library.

use std::sync::Arc;

use http::{HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

/// The lower-case name and the value of a header. Each non-ASCII byte of the value is stored as one
/// of the characters U+0080 to U+00FF, so that the value is passed on byte for byte.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct HeaderLine {
    pub name: Arc<str>,
    pub value: Arc<str>,
}

impl HeaderLine {
    /// Creates a header line; `name` must be in lower case.
    pub fn new(name: impl Into<Arc<str>>, value: impl Into<Arc<str>>) -> Self {
        Self { name: name.into(), value: value.into() }
    }

    /// Converts a header of the `http` crate.
    pub fn from_http(name: &HeaderName, value: &HeaderValue) -> Self {
        let text: String = value.as_bytes().iter().copied().map(char::from).collect();
        Self::new(name.as_str(), text)
    }

    /// Converts to a header of the `http` crate; `None` if the line is not a valid header.
    pub fn to_http(&self) -> Option<(HeaderName, HeaderValue)> {
        let name = HeaderName::from_bytes(self.name.as_bytes()).ok()?;
        let bytes: Option<Vec<u8>> = self.value.chars().map(|c| u8::try_from(c).ok()).collect();
        Some((name, HeaderValue::from_bytes(&bytes?).ok()?))
    }
}

/// Returns the value of the first line whose lower-case name is `name`.
pub fn header<'a>(lines: &'a [HeaderLine], name: &str) -> Option<&'a str> {
    lines.iter().find(|line| &*line.name == name).map(|line| &*line.value)
}
