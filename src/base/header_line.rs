//! One line of an HTTP head, kept apart from any HTTP library.

use std::sync::Arc;

use http::{HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

/// A header's lower-case name and its value. Bytes of the value that are no ASCII stand as the
/// characters U+0080 to U+00FF, one a byte, so that a line comes out as it went in.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct HeaderLine {
    pub name: Arc<str>,
    pub value: Arc<str>,
}

impl HeaderLine {
    /// A line of the given name, in lower case, and value.
    pub fn new(name: impl Into<Arc<str>>, value: impl Into<Arc<str>>) -> Self {
        Self { name: name.into(), value: value.into() }
    }

    /// The line as the HTTP library has it.
    pub fn from_http(name: &HeaderName, value: &HeaderValue) -> Self {
        let text: String = value.as_bytes().iter().copied().map(char::from).collect();
        Self::new(name.as_str(), text)
    }

    /// The line for the HTTP library; `None` when it is no valid header.
    pub fn to_http(&self) -> Option<(HeaderName, HeaderValue)> {
        let name = HeaderName::from_bytes(self.name.as_bytes()).ok()?;
        let bytes: Option<Vec<u8>> = self.value.chars().map(|c| u8::try_from(c).ok()).collect();
        Some((name, HeaderValue::from_bytes(&bytes?).ok()?))
    }
}

/// The value of the first line of that lower-case name.
pub fn header<'a>(lines: &'a [HeaderLine], name: &str) -> Option<&'a str> {
    lines.iter().find(|line| &*line.name == name).map(|line| &*line.value)
}
