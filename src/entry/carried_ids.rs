//! Ids of the requests that a connection has carried.
//!
//! A server may send a response a second time, where the response to a later request is expected.
//! Only its id shows that, so no two requests without an id, or with the same one, may share a
//! connection.

use std::collections::HashSet;

use crate::prelude::*;

/// Requests that one connection carries at most, so that what is kept of them stays small.
const MAX_REQUESTS: usize = 256;

/// Hashes of the ids, with a hash of no text for requests without an id.
#[derive(Debug, Default)]
pub(super) struct CarriedIds(HashSet<u64>);

impl CarriedIds {
    /// Records that the connection carries a request.
    pub fn add(&mut self, id: Option<&RequestId>) {
        self.0.insert(hash(id));
    }

    /// Number of requests.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the response to a request can be told from those to the requests before it.
    pub fn may_add(&self, id: Option<&RequestId>) -> bool {
        match id {
            Some(_) => self.0.len() < MAX_REQUESTS && !self.0.contains(&hash(id)),
            None => self.0.is_empty(),
        }
    }
}

fn hash(id: Option<&RequestId>) -> u64 {
    xxhash_rust::xxh3::xxh3_64(id.map_or("", |id| id).as_bytes())
}
