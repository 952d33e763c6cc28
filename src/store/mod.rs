//! The platform's object API: versioned objects, conditional updates, watches.
//!
//! The rest of the crate depends on the `Platform` trait only. `HttpPlatform` implements it with
//! the protocol described in `docs/PLATFORM.md`; other implementations can replace it.

mod circuit_breaker;
mod confirmed_put;
mod contact;
pub(crate) mod damaged_list;
mod error;
mod follow;
mod http;
mod model;
mod rate_limit;
#[cfg(test)]
mod tests;
pub mod wire;

use std::time::Duration;

use bytes::Bytes;

pub use self::{
    circuit_breaker::{BreakerState, CircuitBreaker},
    confirmed_put::{PutOutcome, put_confirmed},
    contact::{Outage, Probes, StoreContact},
    error::{PlatformError, Result},
    follow::{FollowEvent, FollowOptions, Follower, Scope},
    http::{HttpPlatform, PlatformClientState},
    model::{
        Change, Changes, Entry, Expect, KeyVersion, Listing, MAX_KEY_BYTES, MAX_RESTORES,
        MAX_VALUE_BYTES, OperationId, StorePoint, Version, VersionedObject, is_valid_key,
        new_operation_id,
    },
    rate_limit::{CallCounts, CallKind, CallRateLimiter, RateLimits},
};

/// An API for versioned objects. Every call may fail, be slow, or lose its answer after it took
/// effect.
#[async_trait::async_trait]
pub trait Platform: Send + Sync {
    /// Deletes an object if it meets the precondition `expect`.
    async fn delete(&self, key: &str, expect: Expect, operation: OperationId) -> Result<Version>;

    /// Returns the object with this key.
    async fn get(&self, key: &str) -> Result<Option<VersionedObject>>;

    /// Returns the keys and versions of the objects under `prefix`, without their values.
    async fn keys(&self, prefix: &str) -> Result<Vec<KeyVersion>> {
        let listing = self.list(prefix).await?;
        let key = |entry: Entry| KeyVersion { key: entry.key, version: entry.object.version };
        Ok(listing.entries.into_iter().map(key).collect())
    }

    /// Returns every object whose key begins with `prefix`, and the store's version at that time.
    async fn list(&self, prefix: &str) -> Result<Listing>;

    /// Like `list`, but the result may be a few seconds old if the store serves such reads more
    /// cheaply. A watch from the version of the result returns everything that changed since; its
    /// revision is 0 if nothing shows how old the result is.
    async fn list_allow_stale(&self, prefix: &str) -> Result<Listing> {
        self.list(prefix).await
    }

    /// Makes a cheap call, to find out whether the store answers.
    async fn probe(&self) -> Result<()> {
        self.keys("probe/").await.map(drop)
    }

    /// Writes an object if it meets the precondition `expect`, and returns its new version.
    /// `operation` is stored with the object, so that a writer can recognise its own write.
    async fn put(
        &self,
        key: &str,
        expect: Expect,
        value: Bytes,
        operation: OperationId,
    ) -> Result<Version>;

    /// Returns the changes after the store's version `from` of keys that begin with `prefix`:
    /// immediately if there are any, otherwise at the first change, or none once `wait` has passed.
    /// `PlatformError::TooOld` means that the store no longer has all of these changes and the
    /// caller must list again.
    async fn watch(&self, prefix: &str, from: Version, wait: Duration) -> Result<Changes>;
}
