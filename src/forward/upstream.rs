//! The border to targets.

use async_trait::async_trait;

use super::{Attempt, Result, TargetResponse};

/// Sends one request to one target, once.
#[async_trait]
pub trait Upstream: Send + Sync {
    /// Gives the target's answer. Dropping the future cancels the request, which may then have
    /// run or not.
    async fn send(&self, attempt: Attempt) -> Result<TargetResponse>;
}
