//! Reading YAML files of people and pipelines: size, encoding, unknown fields, and for each mistake
//! the file, line, field, what is wrong and what would be right.

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
