//! How a call to the platform can fail.

use std::{sync::Arc, time::Duration};

use super::Version;

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// Why a call failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PlatformError {
    #[error("the object was changed by someone else (version now {current:?}); read it again")]
    Conflict { current: Option<Version> },
    #[error("too many calls; come back in {retry_after:?}")]
    RateLimited { retry_after: Duration },
    #[error("the platform refused the call: {detail}")]
    Refused { detail: Arc<str> },
    #[error("the value is larger than the platform takes; split it")]
    TooLarge,
    #[error("the platform has forgotten that version (oldest {oldest}); read everything again")]
    TooOld { oldest: Version },
    #[error("the platform does not answer: {detail}")]
    Unavailable {
        detail: Arc<str>,
        /// The call may have taken effect all the same.
        may_have_applied: bool,
    },
}

impl PlatformError {
    /// The call may succeed when it is sent again unchanged.
    pub fn is_transient(&self) -> bool {
        matches!(self, PlatformError::RateLimited { .. } | PlatformError::Unavailable { .. })
    }

    /// Whether a write with this error may have taken effect.
    pub fn may_have_applied(&self) -> bool {
        matches!(self, PlatformError::Unavailable { may_have_applied: true, .. })
    }
}
