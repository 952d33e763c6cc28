//! Secrets that are not revealed by logs or by the timing of comparisons.

use std::{fmt, sync::Arc};

use subtle::ConstantTimeEq;

/// Key or token. `Debug` hides it, and comparison takes constant time, so that a caller can't guess
/// it byte by byte from response times.
#[derive(Clone)]
pub struct Secret(Arc<[u8]>);

impl Secret {
    /// Creates a secret, without the surrounding white space that editors and shells often add.
    pub fn new(text: &str) -> Self {
        Self(text.trim().as_bytes().into())
    }

    /// Returns the bytes, only to be sent or hashed.
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
