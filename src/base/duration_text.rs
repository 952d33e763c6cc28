//! Spans of time as text: a number and its unit, `250ms` or `2.5s`.

use std::time::Duration;

/// Longest span that is read: a day, in seconds. A longer one is a mistake of whoever wrote it.
const MAX_SECS: f64 = 86_400.0;

/// Reads `250ms` or `2.5s`; `None` for everything else.
pub fn parse(text: &str) -> Option<Duration> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let secs = number.trim().parse::<f64>().ok()? * unit;
    (0.0..=MAX_SECS).contains(&secs).then(|| Duration::from_secs_f64(secs))
}

/// Writes whole milliseconds.
pub fn format(span: Duration) -> String {
    format!("{}ms", span.as_millis())
}

/// A span as a text field, for `#[serde(with = "...")]`.
pub mod field {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    /// Reads the text of a span.
    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
        parse(&String::deserialize(from)?)
    }

    pub(super) fn parse<E: Error>(text: &str) -> Result<Duration, E> {
        let bad = || E::custom(format!("`{text}` is no time; write 250ms or 2.5s"));
        super::parse(text).ok_or_else(bad)
    }

    /// Writes whole milliseconds.
    pub fn serialize<S: Serializer>(span: &Duration, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&super::format(*span))
    }
}

/// Like [`field`], for a field that may be missing or null; also needs `#[serde(default)]`.
pub mod optional {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer};

    /// Reads the text of a span that is there.
    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Duration>, D::Error> {
        let text = Option::<String>::deserialize(from)?;
        text.map(|text| super::field::parse(&text)).transpose()
    }
}
