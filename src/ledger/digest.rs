//! Digests that represent keys and requests in a ledger.

use sha2::{Digest, Sha256};

use crate::prelude::*;

/// A caller's idempotency key.
pub type IdempotencyKey = Arc<str>;

/// First 16 bytes of the SHA-256 of a request's method, path and body.
pub type RequestDigest = [u8; 16];

/// First 16 bytes of the SHA-256 of a key.
pub(super) type KeyDigest = [u8; 16];

/// Digest of a request. Requests with the same key must have the same digest.
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> RequestDigest {
    let mut hash = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes()] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.update(body);
    truncate(hash)
}

pub(super) fn key_digest(key: &str) -> KeyDigest {
    let mut hash = Sha256::new();
    hash.update(key.as_bytes());
    truncate(hash)
}

fn truncate(hash: Sha256) -> [u8; 16] {
    let digest = hash.finalize();
    let mut prefix = [0; 16];
    prefix.copy_from_slice(&digest[..16]);
    prefix
}
