//! Finds the line and column of a path in a YAML text.
//!
//! The decoder reports locations only in its errors. So the text is decoded once more by a visitor
//! that follows the path and fails deliberately at its end; the error then has the location.

use std::fmt;

use serde::{
    Deserializer,
    de::{DeserializeSeed, Error, IgnoredAny, MapAccess, SeqAccess, Visitor},
};

use super::PathSegment;

/// Line and column, both 1-based; 0 if not known.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Location {
    pub(super) column: usize,
    pub(super) line: usize,
}

/// Returns the location of `path` in `text`, or of its nearest parent if the last segment is
/// missing.
pub(super) fn locate(text: &str, path: &[PathSegment]) -> Option<Location> {
    let decoder = serde_norway::Deserializer::from_str(text);
    let err = PathVisitor(path).deserialize(decoder).err()?;
    let location = err.location()?;
    Some(Location { column: location.column(), line: location.line() })
}

struct PathVisitor<'a>(&'a [PathSegment]);

impl PathVisitor<'_> {
    fn stop_here<E: Error>(&self) -> Result<(), E> {
        Err(E::custom("the requested location"))
    }
}

impl<'de> DeserializeSeed<'de> for PathVisitor<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, decoder: D) -> Result<(), D::Error> {
        decoder.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for PathVisitor<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the requested location")
    }

    fn visit_bool<E: Error>(self, _: bool) -> Result<(), E> {
        self.stop_here()
    }

    fn visit_f64<E: Error>(self, _: f64) -> Result<(), E> {
        self.stop_here()
    }

    fn visit_i64<E: Error>(self, _: i64) -> Result<(), E> {
        self.stop_here()
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let Some((PathSegment::Key(wanted), rest)) = self.0.split_first() else {
            return self.stop_here();
        };
        while let Some(key) = map.next_key::<String>()? {
            if key == *wanted {
                return map.next_value_seed(PathVisitor(rest));
            }
            map.next_value::<IgnoredAny>()?;
        }
        self.stop_here()
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        let Some((PathSegment::Index(wanted), rest)) = self.0.split_first() else {
            return self.stop_here();
        };
        for _ in 0..*wanted {
            if seq.next_element::<IgnoredAny>()?.is_none() {
                return self.stop_here();
            }
        }
        match seq.next_element_seed(PathVisitor(rest))? {
            Some(()) => Ok(()),
            None => self.stop_here(),
        }
    }

    fn visit_str<E: Error>(self, _: &str) -> Result<(), E> {
        self.stop_here()
    }

    fn visit_u64<E: Error>(self, _: u64) -> Result<(), E> {
        self.stop_here()
    }

    fn visit_unit<E: Error>(self) -> Result<(), E> {
        self.stop_here()
    }
}
