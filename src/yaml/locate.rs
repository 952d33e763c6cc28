//! Finds the line of a path in a YAML text.
//!
//! The decoder tells places only in its errors. So the text is read once more by a visitor that
//! follows the path and fails on purpose at its end; the error then carries the place.

use std::fmt;

use serde::{
    Deserializer,
    de::{DeserializeSeed, Error, IgnoredAny, MapAccess, SeqAccess, Visitor},
};

use super::PathSegment;

/// Line and column, both from 1; 0 when not known.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Place {
    pub(super) column: usize,
    pub(super) line: usize,
}

/// The place of `path` in `text`; of its nearest parent where the last step is missing.
pub(super) fn locate(text: &str, path: &[PathSegment]) -> Option<Place> {
    let decoder = serde_norway::Deserializer::from_str(text);
    let err = Follow(path).deserialize(decoder).err()?;
    let place = err.location()?;
    Some(Place { column: place.column(), line: place.line() })
}

struct Follow<'a>(&'a [PathSegment]);

impl Follow<'_> {
    fn stop<E: Error>(&self) -> Result<(), E> {
        Err(E::custom("the place searched for"))
    }
}

impl<'de> DeserializeSeed<'de> for Follow<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, decoder: D) -> Result<(), D::Error> {
        decoder.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Follow<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the place searched for")
    }

    fn visit_bool<E: Error>(self, _: bool) -> Result<(), E> {
        self.stop()
    }

    fn visit_f64<E: Error>(self, _: f64) -> Result<(), E> {
        self.stop()
    }

    fn visit_i64<E: Error>(self, _: i64) -> Result<(), E> {
        self.stop()
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let Some((PathSegment::Key(wanted), rest)) = self.0.split_first() else {
            return self.stop();
        };
        while let Some(key) = map.next_key::<String>()? {
            if key == *wanted {
                return map.next_value_seed(Follow(rest));
            }
            map.next_value::<IgnoredAny>()?;
        }
        self.stop()
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        let Some((PathSegment::Index(wanted), rest)) = self.0.split_first() else {
            return self.stop();
        };
        for _ in 0..*wanted {
            if seq.next_element::<IgnoredAny>()?.is_none() {
                return self.stop();
            }
        }
        match seq.next_element_seed(Follow(rest))? {
            Some(()) => Ok(()),
            None => self.stop(),
        }
    }

    fn visit_str<E: Error>(self, _: &str) -> Result<(), E> {
        self.stop()
    }

    fn visit_u64<E: Error>(self, _: u64) -> Result<(), E> {
        self.stop()
    }

    fn visit_unit<E: Error>(self) -> Result<(), E> {
        self.stop()
    }
}
