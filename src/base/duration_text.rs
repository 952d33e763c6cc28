//! Durations as text: a number with its unit, such as `250ms` or `2.5s`.

use std::time::Duration;

/// Longest duration accepted: one day, in seconds. A longer one is taken for a mistake.
const MAX_SECS: f64 = 86_400.0;

/// Parses text such as `250ms` or `2.5s`; `None` if it is not a valid duration.
pub fn parse(text: &str) -> Option<Duration> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let secs = number.trim().parse::<f64>().ok()? * unit;
    (0.0..=MAX_SECS).contains(&secs).then(|| Duration::from_secs_f64(secs))
}

/// Formats a duration in whole milliseconds.
pub fn format(duration: Duration) -> String {
    format!("{}ms", duration.as_millis())
}

/// A duration as a text field, for `#[serde(with = "...")]`.
pub mod field {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    /// Deserializes a duration from text.
    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
        parse(&String::deserialize(from)?)
    }

    pub(super) fn parse<E: Error>(text: &str) -> Result<Duration, E> {
        let invalid = || E::custom(format!("invalid duration `{text}`; write 250ms or 2.5s"));
        super::parse(text).ok_or_else(invalid)
    }

    /// Serializes a duration as text, in whole milliseconds.
    pub fn serialize<S: Serializer>(duration: &Duration, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&super::format(*duration))
    }
}

/// Like [`field`], for a field that may be missing or null; also needs `#[serde(default)]`.
pub mod optional {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer};

    /// Deserializes a duration from text, or `None` from null.
    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Duration>, D::Error> {
        let text = Option::<String>::deserialize(from)?;
        text.map(|text| super::field::parse(&text)).transpose()
    }
}
