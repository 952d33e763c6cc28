//! The interface to targets.

use async_trait::async_trait;

use super::{Attempt, Result, TargetResponse};

/// Sends a request to a single target, without retries.
#[async_trait]
pub trait Upstream: Send + Sync {
    /// Returns the response of the target. Dropping the future cancels the request, which may or
    /// may not have run by then.
    async fn send(&self, attempt: Attempt) -> Result<TargetResponse>;
}
