//! The sorted log lines of a request and the cause of its outcome.

use super::{Cause, LogMatches, cause};
use crate::{event_log::Line, prelude::*};

/// A log line in the history of a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// Time since the first line of the request, in milliseconds; negative before it.
    pub after_ms: i64,
    /// Whether the line is about the request itself; otherwise it reports a state change of the
    /// host.
    pub is_request: bool,
    pub line: Line,
}

/// The history of a request, as far as it was logged.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RequestHistory {
    pub cause: Cause,
    /// Number of lines dropped while the request may have run, by kind.
    pub dropped: BTreeMap<Arc<str>, u64>,
    pub id: Arc<str>,
    pub lines: Vec<HistoryEntry>,
}

impl RequestHistory {
    /// Sorts the matching lines and determines the cause of the outcome.
    pub fn new(id: &str, found: &LogMatches) -> Self {
        let first = found.request.iter().map(|line| line.at_ms).min().unwrap_or_default();
        let to_entry = |is_request| {
            move |line: &Line| HistoryEntry {
                after_ms: line.at_ms as i64 - first as i64,
                is_request,
                line: line.clone(),
            }
        };
        let mut lines: Vec<HistoryEntry> = found.context.iter().map(to_entry(false)).collect();
        lines.extend(found.request.iter().map(to_entry(true)));
        // The sort is stable: lines of the same millisecond stay in the order each host wrote them.
        lines.sort_by_key(|entry| entry.after_ms);
        let mut dropped = BTreeMap::new();
        for line in &found.dropped {
            let crate::event_log::Event::LinesDropped { counts } = &line.event else { continue };
            for (kind, count) in counts {
                *dropped.entry(kind.clone()).or_default() += count;
            }
        }
        let cause = cause::determine(&lines, &dropped);
        Self { cause, dropped, id: id.into(), lines }
    }

    /// The lines of the request itself.
    pub fn request(&self) -> impl Iterator<Item = &Line> {
        self.lines.iter().filter(|entry| entry.is_request).map(|entry| &entry.line)
    }
}
