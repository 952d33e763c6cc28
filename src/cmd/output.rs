//! Printing for people and for programs.

use std::{
    fmt::Display,
    io::{self, Write},
};

use serde::Serialize;

/// Prints one line to standard output.
pub fn line(text: impl Display) -> eyre::Result<()> {
    Ok(writeln!(io::stdout(), "{text}")?)
}

/// Prints one JSON document to standard output.
pub fn json(data: &impl Serialize) -> eyre::Result<()> {
    line(serde_json::to_string_pretty(data)?)
}

/// Prints one line to standard error.
pub fn complaint(text: impl Display) -> eyre::Result<()> {
    Ok(writeln!(io::stderr(), "{text}")?)
}
