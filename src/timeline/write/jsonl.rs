//! One event as one JSON object a line.

use std::io::{self, BufRead};

use crate::timeline::Event;

/// Longest line that is read, in bytes.
const MAX_LINE: usize = 64 << 10;

/// The lines are no events.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    #[error("line {line}: not an event ({source}); give a file written with `--format jsonl`")]
    Event { line: usize, source: serde_json::Error },
    #[error("cannot be read: {0}")]
    Io(#[from] io::Error),
    #[error("line {line}: longer than {MAX_LINE} bytes; give a file written with `--format jsonl`")]
    TooLong { line: usize },
}

pub(super) fn write(events: &[Event], out: &mut dyn io::Write) -> io::Result<()> {
    for event in events {
        serde_json::to_writer(&mut *out, event)?;
        out.write_all(b"\n")?;
    }
    Ok(())
}

/// Reads events that were written as JSON lines; empty lines are passed over.
pub fn read_lines(input: impl BufRead) -> Result<Vec<Event>, ReadError> {
    let mut events = Vec::new();
    for (index, text) in input.lines().enumerate() {
        let (line, text) = (index + 1, text?);
        if MAX_LINE < text.len() {
            return Err(ReadError::TooLong { line });
        }
        if text.trim().is_empty() {
            continue;
        }
        let event =
            serde_json::from_str(&text).map_err(|source| ReadError::Event { line, source })?;
        events.push(event);
    }
    Ok(events)
}
