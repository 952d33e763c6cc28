//! Settings of a host: its identity, its listen addresses, and the addresses of the platform and of
//! the first peers to contact.
//!
//! Secrets are never part of the settings file or the command line. They are read from environment
//! variables or from files that the settings name.

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
