//! The lines of one request in their order, and what they come to.

use super::{Cause, LogMatches, cause};
use crate::{event_log::Line, prelude::*};

/// One line of the story.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HistoryLine {
    /// Time since the request's first line, in milliseconds; negative before it.
    pub after_ms: i64,
    /// It is about the request itself; otherwise it tells what the host believed.
    pub is_request: bool,
    pub line: Line,
}

/// Everything that the logs tell of one request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RequestHistory {
    pub cause: Cause,
    /// Kinds and numbers of lines that were dropped meanwhile.
    pub dropped: BTreeMap<Arc<str>, u64>,
    pub id: Arc<str>,
    pub lines: Vec<HistoryLine>,
}

impl RequestHistory {
    /// Puts what was found in order.
    pub fn new(id: &str, found: &LogMatches) -> Self {
        let first = found.request.iter().map(|line| line.at_ms).min().unwrap_or_default();
        let told = |is_request| {
            move |line: &Line| HistoryLine {
                after_ms: line.at_ms as i64 - first as i64,
                is_request,
                line: line.clone(),
            }
        };
        let mut lines: Vec<HistoryLine> = found.context.iter().map(told(false)).collect();
        lines.extend(found.request.iter().map(told(true)));
        // Lines of one millisecond stay in the order in which each host wrote them.
        lines.sort_by_key(|told| told.after_ms);
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
        self.lines.iter().filter(|told| told.is_request).map(|told| &told.line)
    }
}
