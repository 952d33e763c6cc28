//! Reads responses whose list holds objects that are no JSON.
//!
//! Where such an object ends can't be told from its bytes: they may hold any quotes and brackets, and
//! text that looks like objects of the list. Only what stands in front of the first one is certain.
//! What looks like an object behind it is one of the list if the store says so when asked for it by
//! name.

use std::collections::BTreeSet;

use serde::de::{DeserializeOwned, Error};
use serde_json::value::RawValue;

use crate::prelude::*;

/// Bytes that may be parsed in search of objects, as a multiple of the response's size. Text can be
/// written so that each of its characters seems to begin another long object.
const MAX_PASSES: usize = 8;

/// Ends of the list that are tried. The fields behind it may be lists too.
const MAX_LIST_ENDS: usize = 4;

/// A decoded response.
#[derive(Debug)]
pub struct Decoded<'a, T> {
    /// What stands behind the first unreadable object; `None` if all are readable.
    pub damage: Option<Damage<'a>>,
    /// The response with the objects in front of the first unreadable one.
    pub response: T,
}

/// The part of a list that begins with an unreadable object.
#[derive(Debug)]
pub struct Damage<'a> {
    /// Whether the text ends before its last object does, as that of a response that was cut.
    pub may_be_cut: bool,
    pub text: &'a str,
}

/// Decodes a response that is an object whose field `list` is an array.
pub fn decode<'a, T: DeserializeOwned>(
    text: &'a str,
    list: &str,
) -> serde_json::Result<Decoded<'a, T>> {
    let error = match serde_json::from_str(text) {
        Ok(response) => return Ok(Decoded { damage: None, response }),
        Err(error) => error,
    };
    let Some(readable_ends) = Reader::new(text).readable_ends(list) else { return Err(error) };
    let ends = text.rmatch_indices(']').take(MAX_LIST_ENDS);
    let mut whole = ends.filter_map(|(end, _)| {
        // An unreadable object may take the end of the list for its own.
        let readable = *readable_ends.iter().rfind(|readable| **readable <= end)?;
        let response = format!("{}{}", &text[..readable], &text[end..]);
        Some((readable, end, serde_json::from_str(&response).ok()?))
    });
    let Some((readable, end, response)) = whole.next() else { return Err(error) };
    log::warn!("the list {list} of a response has objects that are no JSON");
    let damage = Damage { may_be_cut: error.is_eof(), text: &text[readable..=end] };
    Ok(Decoded { damage: Some(damage), response })
}

impl<'a> Damage<'a> {
    /// Objects that may be elements of the list, or parts of an unreadable one. All readable elements
    /// are among them, unless the text is made to take long to search.
    pub fn unconfirmed(&self) -> Vec<&'a RawValue> {
        let (mut objects, mut reader) = (Vec::new(), Reader::new(self.text));
        let mut bytes_left = self.text.len().saturating_mul(MAX_PASSES);
        while reader.skip_to_next_object() {
            let start = reader.at;
            let object = reader.value::<&RawValue>();
            let parsed = match &object {
                Ok(_) => reader.at - start,
                Err(error) => error_offset(reader.rest(), error),
            };
            match object {
                Ok(object) if reader.is_at_end_of_element() => objects.push(object),
                _ => reader.at = start + 1,
            }
            let Some(left) = bytes_left.checked_sub(parsed) else { break };
            bytes_left = left;
        }
        objects
    }

    /// Texts that stand where a name is expected, and may be those of unreadable objects. Others that
    /// are no JSON are returned as they stand.
    pub fn names(&self) -> Vec<Arc<str>> {
        const FIELD: &str = "\"name\"";
        let (mut names, mut known) = (Vec::new(), BTreeSet::new());
        for (at, _) in self.text.match_indices(FIELD) {
            let mut reader = Reader::new(&self.text[at + FIELD.len()..]);
            if !reader.take(b':') {
                continue;
            }
            let name: Arc<str> = match reader.value::<Arc<str>>() {
                Ok(name) => name,
                Err(_) => {
                    reader.rest().trim_start_matches('"').split('"').next().unwrap_or("").into()
                }
            };
            if known.insert(name.clone()) {
                names.push(name);
            }
        }
        names
    }
}

/// Reads JSON values one by one.
struct Reader<'a> {
    at: usize,
    text: &'a str,
}

impl<'a> Reader<'a> {
    fn new(text: &'a str) -> Self {
        Self { at: 0, text }
    }

    fn rest(&self) -> &'a str {
        &self.text[self.at..]
    }

    /// The next character that is not blank; moves to it.
    fn peek(&mut self) -> Option<u8> {
        let rest = self.rest();
        self.at += rest.len() - rest.trim_ascii_start().len();
        self.text.as_bytes().get(self.at).copied()
    }

    /// Skips blanks and, if it follows, the character.
    fn take(&mut self, expected: u8) -> bool {
        let is_next = self.peek() == Some(expected);
        self.at += usize::from(is_next);
        is_next
    }

    /// Reads a value; does not move if it is none.
    fn value<T: Deserialize<'a>>(&mut self) -> serde_json::Result<T> {
        let mut values = serde_json::Deserializer::from_str(self.rest()).into_iter();
        let value = values.next().unwrap_or_else(|| Err(Error::custom("no value")))?;
        self.at += values.byte_offset();
        Ok(value)
    }

    /// Reads up to the field `list` and the readable elements at its beginning. Returns where the list
    /// begins, and where each of them ends.
    fn readable_ends(&mut self, list: &str) -> Option<Vec<usize>> {
        if !self.take(b'{') {
            return None;
        }
        loop {
            let name: String = self.value().ok()?;
            if !self.take(b':') {
                return None;
            }
            if name == list {
                break;
            }
            self.value::<&RawValue>().ok()?;
            if !self.take(b',') {
                return None;
            }
        }
        if !self.take(b'[') {
            return None;
        }
        let mut ends = vec![self.at];
        while self.value::<&RawValue>().is_ok() {
            let value_end = self.at;
            if !self.is_at_end_of_element() {
                break;
            }
            ends.push(value_end);
            if !self.take(b',') {
                break;
            }
        }
        Some(ends)
    }

    fn is_at_end_of_element(&mut self) -> bool {
        matches!(self.peek(), Some(b',' | b']'))
    }

    /// Moves to the next object that stands behind a comma; false if there is none.
    fn skip_to_next_object(&mut self) -> bool {
        while let Some(comma) = self.rest().find(',') {
            self.at += comma + 1;
            if self.peek() == Some(b'{') {
                return true;
            }
        }
        false
    }
}

/// Where parsing failed, in bytes.
fn error_offset(text: &str, error: &serde_json::Error) -> usize {
    let lines_before = text.split_inclusive('\n').take(error.line().saturating_sub(1));
    lines_before.map(str::len).sum::<usize>() + error.column()
}
