//! Reads YAML files written by people and pipelines. Checks size, encoding and unknown fields, and
//! reports for each problem the file, the line, the field, what is wrong and how to fix it.

mod finding;
mod locate;
mod problem;
mod read;
#[cfg(test)]
mod tests;

pub use self::{
    finding::{Finding, PathSegment, locate_findings},
    problem::Problem,
    read::{MAX_FILE_BYTES, decode, read_file},
};

/// Result of reading one file.
pub type Result<T> = std::result::Result<T, Problem>;
