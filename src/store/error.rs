//! How a call to the platform can fail.

use std::{sync::Arc, time::Duration};

use super::Version;

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// Reason why a call failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PlatformError {
    #[error(
        "the object was changed by another writer (its version is now {current:?}); read it again"
    )]
    Conflict { current: Option<Version> },
    #[error("no name leads to the next page of the listing")]
    NoNextPage,
    #[error("too many calls; retry after {retry_after:?}")]
    RateLimited { retry_after: Duration },
    #[error("the platform refused the call: {detail}")]
    Refused { detail: Arc<str> },
    #[error("the value exceeds the platform's size limit; split it")]
    TooLarge,
    #[error(
        "the platform no longer has the changes since that version (oldest is {oldest}); list again"
    )]
    TooOld { oldest: Version },
    #[error("the platform does not answer: {detail}")]
    Unavailable {
        detail: Arc<str>,
        /// The call may have taken effect although it got no answer.
        may_have_applied: bool,
    },
}

impl PlatformError {
    /// Whether the same call may succeed when it is retried.
    pub fn is_transient(&self) -> bool {
        matches!(self, PlatformError::RateLimited { .. } | PlatformError::Unavailable { .. })
    }

    /// Whether a write with this error may have taken effect.
    pub fn may_have_applied(&self) -> bool {
        matches!(self, PlatformError::Unavailable { may_have_applied: true, .. })
    }
}
