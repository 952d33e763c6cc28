//! Problems found in decoded data, before their location in the text is known.

use std::sync::Arc;

use super::{Problem, locate::locate};

/// Maximum number of findings of one file that are located in its text. Each one takes a pass over
/// the text, so a file with a hundred thousand mistakes would take minutes.
const MAX_LOCATED: usize = 100;

/// One segment of a path into the data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathSegment {
    Index(usize),
    Key(&'static str),
}

/// A problem at a path into the data.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    pub fix: Arc<str>,
    pub path: Vec<PathSegment>,
    pub wrong: Arc<str>,
}

impl Finding {
    /// Converts to a problem without a location in a text.
    pub fn to_problem(&self, file: &str) -> Problem {
        Problem {
            field: path_text(&self.path).into(),
            ..Problem::for_file(file, self.wrong.clone(), self.fix.clone())
        }
    }
}

/// Converts findings to problems with line and column in `text`. Those beyond a limit are only
/// counted.
pub fn locate_findings(findings: &[Finding], text: &str, file: &str) -> Vec<Problem> {
    let mut problems: Vec<Problem> = findings
        .iter()
        .take(MAX_LOCATED)
        .map(|finding| {
            let location = locate(text, &finding.path).unwrap_or_default();
            Problem { column: location.column, line: location.line, ..finding.to_problem(file) }
        })
        .collect();
    problems.sort_by_key(|problem| (problem.line, problem.column));
    let rest = findings.len().saturating_sub(MAX_LOCATED);
    if 0 < rest {
        let wrong = format!("{rest} more problems are not listed");
        problems.push(Problem::for_file(file, wrong, "fix the ones above first"));
    }
    problems
}

fn path_text(path: &[PathSegment]) -> String {
    let mut text = String::new();
    for segment in path {
        match segment {
            PathSegment::Index(index) => text.push_str(&format!("[{index}]")),
            PathSegment::Key(key) if text.is_empty() => text.push_str(key),
            PathSegment::Key(key) => text.push_str(&format!(".{key}")),
        }
    }
    text
}
