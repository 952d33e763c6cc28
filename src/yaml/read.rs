//! Reads and decodes a file, or returns the problem in it.

use std::{fs::File, io::Read, path::Path, sync::Arc};

use serde::de::DeserializeOwned;

use super::{Problem, Result};

/// Maximum size of a YAML file, in bytes. Longer lists have their own file format, see
/// `sign --blocks`.
pub const MAX_FILE_BYTES: u64 = 4 * 1024 * 1024;

/// Reads a text file of at most `limit` bytes.
pub fn read_file(path: &Path, limit: u64) -> Result<String> {
    let name = path.display().to_string();
    let unreadable = |err: std::io::Error| {
        Problem::for_file(
            &name,
            format!("cannot be read: {err}"),
            "give the path of a readable file",
        )
    };
    let file = File::open(path).map_err(unreadable)?;
    let mut buf = Vec::new();
    // Reads one byte past the limit to distinguish a file that is too large from one that just
    // fits.
    file.take(limit + 1).read_to_end(&mut buf).map_err(unreadable)?;
    if limit < buf.len() as u64 {
        let fix = format!("keep it to {limit} bytes");
        return Err(Problem::for_file(&name, format!("is larger than {limit} bytes"), fix));
    }
    String::from_utf8(buf).map_err(|err| {
        let valid = err.utf8_error().valid_up_to();
        let line = 1 + err.as_bytes()[..valid].iter().filter(|byte| **byte == b'\n').count();
        Problem { line, ..Problem::for_file(&name, "is not UTF-8 text", "save it as UTF-8") }
    })
}

/// Decodes one YAML document.
pub fn decode<T: DeserializeOwned>(text: &str, file: &str) -> Result<T> {
    if MAX_FILE_BYTES < text.len() as u64 {
        let fix = format!("keep it to {MAX_FILE_BYTES} bytes");
        return Err(Problem::for_file(file, format!("is larger than {MAX_FILE_BYTES} bytes"), fix));
    }
    let is_comment = |line: &str| line.trim().is_empty() || line.trim_start().starts_with('#');
    if text.lines().all(is_comment) {
        return Err(Problem::for_file(file, "is empty", "give the fields in docs/REFERENCE.md"));
    }
    match serde_norway::from_str(text) {
        Ok(data) => Ok(data),
        Err(err) => Err(decode_problem::<T>(&err, text, file)),
    }
}

/// Converts a decoder error to a problem. Decodes the text again with path tracking to find the
/// field.
fn decode_problem<T: DeserializeOwned>(
    err: &serde_norway::Error,
    text: &str,
    file: &str,
) -> Problem {
    let decoder = serde_norway::Deserializer::from_str(text);
    let path =
        serde_path_to_error::deserialize::<_, T>(decoder).err().map(|err| err.path().to_string());
    let field = path.filter(|path| path != ".").unwrap_or_default();
    let (line, column) =
        err.location().map_or((0, 0), |location| (location.line(), location.column()));
    let message = err.to_string();
    let message =
        message.strip_suffix(&format!(" at line {line} column {column}")).unwrap_or(&message);
    // The decoder prefixes the message with the field, or with the parent of an unknown field.
    let parent = field.rsplit_once('.').map_or("", |(parent, _)| parent);
    let message = [field.as_str(), parent]
        .iter()
        .find_map(|name| message.strip_prefix(&format!("{name}: ")))
        .unwrap_or(message);
    let (wrong, fix) = split_message(message);
    Problem { column, field: field.into(), file: file.into(), fix, line, wrong }
}

/// Splits the decoder's message into what is wrong and how to fix it.
fn split_message(message: &str) -> (Arc<str>, Arc<str>) {
    if let Some((wrong, expected)) = message.split_once(", expected ") {
        return (wrong.into(), format!("expected {expected}").into());
    }
    if let Some(name) = message.strip_prefix("missing field ") {
        return (message.into(), format!("add {name}").into());
    }
    if message.starts_with("duplicate ") {
        return (message.into(), "give it once".into());
    }
    (message.into(), "see docs/REFERENCE.md".into())
}
