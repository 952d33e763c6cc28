//! Rendezvous hashing: the same choice on every host, and a lost host moves only its own keys.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::prelude::*;

/// The host that owns a target: the one of highest weight among `owners`.
pub fn owner_of<'a>(target: &TargetId, owners: &'a [HostId]) -> Option<&'a HostId> {
    let key = xxh3_64_with_seed(target.as_bytes(), 0);
    owners.iter().max_by_key(|host| (weight(key, host), *host))
}

fn weight(key: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}
