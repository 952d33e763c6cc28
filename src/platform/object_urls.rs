//! Names of the store's objects, as keys and in URLs.
//!
//! A name is any text, as another writer chose it. In URLs it is escaped, so that the store reads it as
//! the name that it is.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// Characters that are escaped: all but those that are never syntax (RFC 3986, section 2.3).
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Longest name in a URL, in bytes. Servers read request lines of 8,000 bytes (RFC 9112, section 3).
const MAX_ESCAPED_NAME_BYTES: usize = 7_000;

/// The kind and the name in a key. Kinds contain no slash, names may.
pub fn split_key(key: &str) -> (&str, &str) {
    key.split_once('/').unwrap_or((key, ""))
}

/// The path of an object; `None` if no URL can name the object.
pub fn object_path(key: &str) -> Option<String> {
    let (kind, name) = split_key(key);
    // Servers resolve the names of folders, escaped or not, and take no name for the whole kind.
    if matches!(name, "" | "." | "..") {
        return None;
    }
    Some(format!("{kind}/{}", escape(name)?))
}

/// A name as part of a URL; `None` if the URL would be too long.
pub fn escape(name: &str) -> Option<String> {
    if MAX_ESCAPED_NAME_BYTES < name.len() {
        return None;
    }
    let escaped = utf8_percent_encode(name, ESCAPED).to_string();
    (escaped.len() <= MAX_ESCAPED_NAME_BYTES).then_some(escaped)
}
