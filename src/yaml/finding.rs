//! Mistakes found in decoded data, before their place in the text is known.

use std::sync::Arc;

use super::{Problem, locate::locate};

/// Most findings of one file that are looked up in its text. Each look-up reads the text once, so
/// that a file with a hundred thousand mistakes would keep the reader busy for minutes.
const MAX_LOCATED: usize = 100;

/// One step of a path into the data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathSegment {
    Index(usize),
    Key(&'static str),
}

/// A mistake at a path into the data.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    pub fix: Arc<str>,
    pub path: Vec<PathSegment>,
    pub wrong: Arc<str>,
}

impl Finding {
    /// The finding as a problem without a place in a text.
    pub fn to_problem(&self, file: &str) -> Problem {
        Problem {
            field: path_text(&self.path).into(),
            ..Problem::for_file(file, self.wrong.clone(), self.fix.clone())
        }
    }
}

/// Gives each finding its line and column in `text`. Past a limit only the number is told.
pub fn locate_findings(findings: &[Finding], text: &str, file: &str) -> Vec<Problem> {
    let mut problems: Vec<Problem> = findings
        .iter()
        .take(MAX_LOCATED)
        .map(|finding| {
            let place = locate(text, &finding.path).unwrap_or_default();
            Problem { column: place.column, line: place.line, ..finding.to_problem(file) }
        })
        .collect();
    problems.sort_by_key(|problem| (problem.line, problem.column));
    let rest = findings.len().saturating_sub(MAX_LOCATED);
    if 0 < rest {
        let wrong = format!("{rest} more problems are not listed");
        problems.push(Problem::for_file(file, wrong, "mend the ones above first"));
    }
    problems
}

fn path_text(path: &[PathSegment]) -> String {
    let mut text = String::new();
    for step in path {
        match step {
            PathSegment::Index(index) => text.push_str(&format!("[{index}]")),
            PathSegment::Key(key) if text.is_empty() => text.push_str(key),
            PathSegment::Key(key) => text.push_str(&format!(".{key}")),
        }
    }
    text
}
