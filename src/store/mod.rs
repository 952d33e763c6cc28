//! The platform's object API: versions, conditional updates, watches.
//!
//! The rest of the crate knows the trait only. `HttpPlatform` speaks the protocol of
//! `docs/PLATFORM.md`; another API can be put in its place.

mod breaker;
mod budget;
mod error;
mod follow;
mod http;
mod model;
mod settle;
#[cfg(test)]
mod tests;
pub mod wire;

use std::time::Duration;

use bytes::Bytes;

pub use self::{
    breaker::{Breaker, BreakerState},
    budget::{Budget, CallCounts, CallKind, Limits},
    error::{PlatformError, Result},
    follow::{FollowPace, Followed, Follower},
    http::{HttpPlatform, PlatformState},
    model::{
        Change, Changes, Entry, Expect, KeyVersion, Listing, MAX_KEY, MAX_VALUE, OperationId,
        Version, Versioned, is_key, new_operation,
    },
    settle::{Settled, put_settled},
};

/// An object API with versions. Every call may fail, be slow, or lose its answer after it took
/// effect.
#[async_trait::async_trait]
pub trait Platform: Send + Sync {
    /// Removes an object if it still has the version that `expect` names.
    async fn delete(&self, key: &str, expect: Expect, operation: OperationId) -> Result<Version>;

    /// The object of that key.
    async fn get(&self, key: &str) -> Result<Option<Versioned>>;

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
    async fn list_lagging(&self, prefix: &str) -> Result<Listing> {
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
