//! The story of one request, from the log lines of many hosts.
//!
//! `read` finds the lines, in two passes over files of any size and in bounded memory; `story` puts
//! them in order and names the cause; `render` prints them. Nothing here asks a running host.

mod cause;
mod read;
mod render;
mod story;
#[cfg(test)]
mod tests;

pub use self::{
    cause::{Cause, Verdict},
    read::{Found, ReadError, find},
    render::text,
    story::{Story, Told},
};
