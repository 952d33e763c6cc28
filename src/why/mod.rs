//! Reconstructs the history of a request from the logs of several hosts.
//!
//! `search` finds the relevant lines in two passes over the files, in bounded memory whatever their
//! size; `history` sorts them; `cause` determines the cause of the outcome; `render` formats the
//! result. No running host is queried.

mod cause;
mod history;
mod render;
mod search;
#[cfg(test)]
mod tests;

pub use self::{
    cause::{Cause, Verdict},
    history::{HistoryEntry, RequestHistory},
    render::render_text,
    search::{LogMatches, NotAnEvent, ReadError, find_request, for_each_line},
};
