//! The story of one request, from the log lines of many hosts.
//!
//! `read` finds the lines, in two passes over files of any size and in bounded memory; `story` puts
//! them in order and names the cause; `render` prints them. Nothing here asks a running host.

mod cause;
mod history;
mod render;
mod search;
#[cfg(test)]
mod tests;

pub use self::{
    cause::{Cause, Verdict},
    history::{HistoryLine, RequestHistory},
    render::render_text,
    search::{LogMatches, ReadError, find_request},
};
