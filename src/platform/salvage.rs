//! Reads what can be read of a JSON text that a few bytes make invalid.
//!
//! One object with a broken value must not hide the others of its response. Strings and brackets
//! delimit the values; what is inside is checked when a value is decoded.

use serde_json::value::RawValue;

/// Decodes a response that is an object whose field `list` is an array. The elements that are no JSON
/// are dropped if the text as a whole is none.
pub fn decode<T: serde::de::DeserializeOwned>(text: &str, list: &str) -> serde_json::Result<T> {
    let error = match serde_json::from_str(text) {
        Ok(decoded) => return Ok(decoded),
        Err(error) => error,
    };
    let Some(repaired) = without_broken_elements(text, list) else { return Err(error) };
    let decoded = serde_json::from_str(&repaired).map_err(|_| error)?;
    log::warn!("skipping objects in a response that are no JSON");
    Ok(decoded)
}

fn without_broken_elements(text: &str, list: &str) -> Option<String> {
    let mut fields = Vec::new();
    for field in split(text, '{', '}')? {
        let (name, value) = field.trim_start().strip_prefix('"')?.split_once('"')?;
        let value = value.trim_start().strip_prefix(':')?;
        let value = match name == list {
            true => format!("[{}]", valid_elements(value)?.join(",")),
            false => value.to_owned(),
        };
        fields.push(format!("\"{name}\":{value}"));
    }
    Some(format!("{{{}}}", fields.join(",")))
}

fn valid_elements(array: &str) -> Option<Vec<&str>> {
    let elements = split(array, '[', ']')?;
    let is_valid = |element: &&str| serde_json::from_str::<&RawValue>(element).is_ok();
    Some(elements.into_iter().filter(is_valid).collect())
}

/// Splits an object or array at its own commas; `None` if it does not end.
fn split(text: &str, open: char, close: char) -> Option<Vec<&str>> {
    let text = text.trim().strip_prefix(open)?.strip_suffix(close)?;
    let (mut parts, mut start) = (Vec::new(), 0);
    let (mut depth, mut in_string, mut is_escaped) = (0_usize, false, false);
    for (at, c) in text.char_indices() {
        match c {
            _ if is_escaped => is_escaped = false,
            '\\' if in_string => is_escaped = true,
            '"' => in_string = !in_string,
            _ if in_string => {}
            '{' | '[' => depth += 1,
            '}' | ']' => depth = depth.checked_sub(1)?,
            ',' if depth == 0 => {
                parts.push(&text[start..at]);
                start = at + 1;
            }
            _ => {}
        }
    }
    if in_string || depth != 0 {
        return None;
    }
    parts.push(&text[start..]);
    Some(parts)
}
