//! The secrets that prove a peer and an operator.

use std::fmt;

use subtle::ConstantTimeEq;

use crate::prelude::*;

/// A secret from the settings. Its text never reaches a log.
#[derive(Clone)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Takes the text without its surrounding white space, as files end in a line break.
    pub fn new(text: &str) -> Self {
        Self(text.trim().into())
    }

    /// Whether `text` is this secret. The time taken tells nothing about where they differ, which
    /// would let a rival guess it byte by byte. An empty secret equals nothing, so that a missing
    /// setting opens no door.
    pub fn is(&self, text: &str) -> bool {
        !self.0.is_empty() && bool::from(self.0.as_bytes().ct_eq(text.as_bytes()))
    }

    pub(super) fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

/// What a host checks callers of its RPC server against.
#[derive(Clone, Debug)]
pub struct PeerKeys {
    pub member: MemberId,
    /// Proves an operator.
    pub operator: Secret,
    /// Proves a host of the same member.
    pub peer: Secret,
}
