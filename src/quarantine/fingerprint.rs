//! What makes two requests the same, whoever sends them and with whatever key.

use sha2::{Digest, Sha256};

use crate::prelude::*;

/// Hash of a request's member, service, method, path and body.
pub type Fingerprint = u128;

/// The fingerprint of a request. Collision-resistant: a caller can't make another caller's request
/// look like its own and have it refused.
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
