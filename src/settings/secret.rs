//! A secret that neither logs nor comparisons give away.

use std::{fmt, sync::Arc};

use subtle::ConstantTimeEq;

/// Key or token. `Debug` hides it, and equality takes the same time wherever two values differ, so
/// that a caller can't find it byte by byte from the time of the answer.
#[derive(Clone)]
pub struct Secret(Arc<[u8]>);

impl Secret {
    /// Takes over the bytes, without the white space around them that editors and shells leave.
    pub fn new(text: &str) -> Self {
        Self(text.trim().as_bytes().into())
    }

    /// The bytes, for the one place that sends or hashes them.
    pub fn expose(&self) -> &[u8] {
        &self.0
    }
}

impl Eq for Secret {}

impl PartialEq for Secret {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}
