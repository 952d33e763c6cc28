//! Fingerprints identify equal requests, regardless of the caller and the idempotency key.

use sha2::{Digest, Sha256};

use crate::prelude::*;

/// First 16 bytes of the SHA-256 of a request's member, service, method, path and body.
pub type Fingerprint = u128;

/// Returns the fingerprint of a request. The hash is collision-resistant, so that a caller cannot
/// craft a request with the fingerprint of another caller's and have that one refused.
pub fn fingerprint(
    member: &MemberId,
    service: &ServiceId,
    method: &str,
    path: &str,
    body: &[u8],
) -> Fingerprint {
    let mut hash = Sha256::new();
    for part in [member.as_bytes(), service.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    let digest = hash.finalize();
    digest.iter().take(16).fold(0, |sum, &byte| sum << 8 | u128::from(byte))
}
