//! Reads a trace and refuses what is damaged, cut off or of another format.

use std::io::{self, BufRead, Read};

use serde::de::DeserializeOwned;

use super::{End, FORMAT, Header, Record, Trace, VERSION};

/// Longest line that is read, in bytes; a foreign file without line ends fills no memory.
pub const MAX_LINE: usize = 8 << 20;

/// The file is no trace that can be replayed.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    #[error("line {line}: damaged: {source}; record the trace again")]
    Damaged { line: usize, source: serde_json::Error },
    #[error("the file is empty; give a trace written by `demo --record`")]
    Empty,
    #[error("line 1: not a trace ({detail}); give a file written by `demo --record`")]
    Foreign { detail: String },
    #[error("cannot be read: {0}")]
    Io(#[from] io::Error),
    #[error("line {line}: {detail}; the trace was changed by hand or put together wrongly")]
    Order { detail: String, line: usize },
    #[error("cut off after {steps} steps: the `end` line is missing; copy or record it again")]
    Truncated { steps: usize },
    #[error("line {line}: longer than {MAX_LINE} bytes; give a file written by `demo --record`")]
    TooLong { line: usize },
    #[error("written in version {found}, this program reads {VERSION}; use the matching release")]
    Version { found: u32 },
}

/// Reads a whole trace.
pub fn read<S, E, A, O>(mut input: impl BufRead) -> Result<Trace<S, E, A, O>, TraceError>
where
    S: DeserializeOwned,
    E: DeserializeOwned,
    A: DeserializeOwned,
    O: DeserializeOwned,
{
    let first = next_line(&mut input, 1)?.ok_or(TraceError::Empty)?;
    let header = header(&first)?;
    let (outcomes, starts, steps) = Default::default();
    let mut trace = Trace { header, outcomes, starts, steps };
    let mut end = None;
    let mut number = 1;
    while let Some(text) = next_line(&mut input, number + 1)? {
        number += 1;
        if end.is_some() {
            return Err(order(number, "a line after the end"));
        }
        let record = serde_json::from_slice(&text)
            .map_err(|source| TraceError::Damaged { line: number, source })?;
        end = take(&mut trace, record, number)?;
    }
    let steps = trace.steps.len();
    match end {
        None => Err(TraceError::Truncated { steps }),
        Some(End { steps: stated }) if stated != steps => {
            Err(order(number, &format!("states {stated} steps, but {steps} were read")))
        }
        Some(_) => Ok(trace),
    }
}

fn take<S, E, A, O>(
    trace: &mut Trace<S, E, A, O>,
    record: Record<S, E, A, O>,
    line: usize,
) -> Result<Option<End>, TraceError> {
    match record {
        Record::End(end) => return Ok(Some(end)),
        Record::Outcome(outcome) => trace.outcomes.push(outcome),
        Record::Start(start) if start.machine != trace.starts.len() => {
            return Err(order(line, "machines must be numbered from 0 on"));
        }
        Record::Start(start) => trace.starts.push(start),
        Record::Step(step) if trace.starts.len() <= step.machine => {
            return Err(order(line, "a step of a machine that has not started"));
        }
        Record::Step(step) => trace.steps.push(step),
    }
    Ok(None)
}

fn header(text: &[u8]) -> Result<Header, TraceError> {
    let foreign = |detail: String| TraceError::Foreign { detail };
    let value: serde_json::Value =
        serde_json::from_slice(text).map_err(|error| foreign(error.to_string()))?;
    if value["format"] != FORMAT {
        return Err(foreign(format!("`format` is not `{FORMAT}`")));
    }
    // The version goes first: the other fields may be different in another version.
    if let Some(found) = value["version"].as_u64().filter(|found| *found != u64::from(VERSION)) {
        return Err(TraceError::Version { found: u32::try_from(found).unwrap_or(u32::MAX) });
    }
    serde_json::from_value(value).map_err(|error| foreign(error.to_string()))
}

fn next_line(input: &mut impl BufRead, line: usize) -> Result<Option<Vec<u8>>, TraceError> {
    let mut text = Vec::new();
    let len = input.by_ref().take(MAX_LINE as u64 + 1).read_until(b'\n', &mut text)?;
    if MAX_LINE < len {
        return Err(TraceError::TooLong { line });
    }
    Ok((len != 0).then_some(text))
}

fn order(line: usize, detail: &str) -> TraceError {
    TraceError::Order { detail: detail.to_owned(), line }
}
