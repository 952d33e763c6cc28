//! Settings of one host: who it is, where it listens, where the platform and its first peers are.
//!
//! Secrets never stand in the settings file or on the command line: they come from the environment
//! or from a file that the settings name.

mod check;
mod log;
mod model;
mod secret;
#[cfg(test)]
mod tests;

pub use self::{
    check::{MAX_NAME_BYTES, NAME_FIX, is_valid_name},
    log::{LogFormat, LogLevel, LogSettings},
    model::{OPERATOR_TOKEN_VARIABLE, PEER_KEY_VARIABLE, Settings},
    secret::Secret,
};
pub use crate::yaml::{Problem, Result};
