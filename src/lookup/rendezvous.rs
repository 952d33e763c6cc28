//! Rendezvous hashing: all hosts make the same choice, and the loss of a host moves only its keys.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::prelude::*;

/// The host among `owners` that owns a target: the one with the highest weight for it.
pub fn owner_of<'a>(target: &TargetId, owners: &'a [HostId]) -> Option<&'a HostId> {
    let key = xxh3_64_with_seed(target.as_bytes(), 0);
    owners.iter().max_by_key(|host| (weight(key, host), *host))
}

fn weight(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}
