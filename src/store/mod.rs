//! The platform's object API: versions, conditional updates, watches.
//!
//! The rest of the crate knows the trait only. `HttpPlatform` speaks the protocol of
//! `docs/PLATFORM.md`; another API can be put in its place.

mod circuit_breaker;
mod confirmed_put;
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
    error::{PlatformError, Result},
    follow::{FollowEvent, FollowOptions, Follower},
    http::{HttpPlatform, PlatformClientState},
    model::{
        Change, Changes, Entry, Expect, KeyVersion, Listing, MAX_KEY_BYTES, MAX_VALUE_BYTES,
        OperationId, Version, VersionedObject, is_valid_key, new_operation_id,
    },
    rate_limit::{CallCounts, CallKind, CallRateLimiter, RateLimits},
};

/// An object API with versions. Every call may fail, be slow, or lose its answer after it took
/// effect.
#[async_trait::async_trait]
pub trait Platform: Send + Sync {
    /// Removes an object if it still has the version that `expect` names.
    async fn delete(&self, key: &str, expect: Expect, operation: OperationId) -> Result<Version>;

    /// The object of that key.
    async fn get(&self, key: &str) -> Result<Option<VersionedObject>>;

    /// Keys and versions of the objects under `prefix`, without their values.
    async fn keys(&self, prefix: &str) -> Result<Vec<KeyVersion>> {
        let listing = self.list(prefix).await?;
        let key = |entry: Entry| KeyVersion { key: entry.key, version: entry.object.version };
        Ok(listing.entries.into_iter().map(key).collect())
    }

    /// Every object whose key begins with `prefix`, and the store's version at that moment.
    async fn list(&self, prefix: &str) -> Result<Listing>;

    /// The same as it was some seconds ago at most, where the store gives that more cheaply. A watch
    /// from its version tells all that has changed since.
    async fn list_allow_stale(&self, prefix: &str) -> Result<Listing> {
        self.list(prefix).await
    }

    /// Writes an object if it still is as `expect` says; the result is its new version.
    /// `operation` is stored with it, so that a writer can recognise its own write.
    async fn put(
        &self,
        key: &str,
        expect: Expect,
        value: Bytes,
        operation: OperationId,
    ) -> Result<Version>;

    /// Changes after the store's version `from` of keys that begin with `prefix`. Answers at once
    /// when there are some, else with none when `wait` has passed. `PlatformError::TooOld` means
    /// that some of the changes are forgotten: list again.
    async fn watch(&self, prefix: &str, from: Version, wait: Duration) -> Result<Changes>;
}
