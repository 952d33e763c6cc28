//! Requests that crash the targets that run them.
//!
//! Such a request takes down target after target as its caller sends it again. Whatever was in
//! flight on a crashed target is a suspect; a suspect runs alone, so that a second crash proves it
//! guilty and a whole answer clears it. Hosts spread what they know with the remaining time.

mod fingerprint;
mod mark;
mod suspects;
#[cfg(test)]
mod tests;

pub(crate) use self::mark::fingerprint_hex;
pub use self::{
    fingerprint::{Fingerprint, fingerprint},
    mark::{QuarantineMark, QuarantineVerdict},
    suspects::{Quarantine, QuarantineLimits, RunMode},
};
