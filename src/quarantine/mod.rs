//! Quarantine for requests that crash the targets that run them.
//!
//! Such a request can take down target after target as its caller resends it. Each request that is
//! in flight on a target when it crashes becomes a suspect. A suspect runs alone on its target, so
//! that a second crash proves that it is the cause, and a complete answer clears it. Hosts share
//! their suspicions and refusals as marks, with the time that remains.

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
