//! A problem in a file.

use std::{fmt, sync::Arc};

use serde::Serialize;

/// What is wrong at one location of a file, and how to fix it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, thiserror::Error)]
pub struct Problem {
    /// 1-based column; 0 if not known.
    pub column: usize,
    /// Path of the field, such as `regions[0].reserve`; empty for the file as a whole.
    pub field: Arc<str>,
    pub file: Arc<str>,
    /// How to fix it.
    pub fix: Arc<str>,
    /// 1-based line; 0 if not known.
    pub line: usize,
    /// What is wrong.
    pub wrong: Arc<str>,
}

impl Problem {
    /// Creates a problem of the file as a whole.
    pub fn for_file(file: &str, wrong: impl Into<Arc<str>>, fix: impl Into<Arc<str>>) -> Self {
        Self {
            column: 0,
            field: "".into(),
            file: file.into(),
            fix: fix.into(),
            line: 0,
            wrong: wrong.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if self.line != 0 {
            write!(f, ":{}", self.line)?;
        }
        f.write_str(": ")?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        write!(f, "{}; {}", self.wrong, self.fix)
    }
}
