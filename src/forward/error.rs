//! How an attempt fails.

use crate::prelude::*;

/// Result of an attempt.
pub type Result<T> = std::result::Result<T, ForwardError>;

/// Why there is no whole answer. `Connect`, `Shed` and `Timeout { sent: false }` prove that the
/// target did not run the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ForwardError {
    #[error("the target's answer was not whole, or not for this request")]
    InvalidResponse,
    #[error("no connection to the target could be made")]
    ConnectFailed,
    #[error("the connection to the target was lost after the request was sent")]
    ConnectionLost,
    #[error("the target shed the request")]
    Shed { retry_after: Option<Duration> },
    #[error("the target did not answer in time")]
    Timeout {
        /// Whether a byte may have been written.
        sent: bool,
    },
}

impl ForwardError {
    /// The error kind for the caller.
    pub fn kind(self) -> ErrorKind {
        match self {
            ForwardError::InvalidResponse => ErrorKind::AnswerBroken,
            ForwardError::ConnectFailed => ErrorKind::ConnectFailed,
            ForwardError::ConnectionLost => ErrorKind::DispatchLost,
            ForwardError::Shed { .. } => ErrorKind::Shed,
            ForwardError::Timeout { sent: false } => ErrorKind::DeadlinePassed,
            ForwardError::Timeout { sent: true } => ErrorKind::DispatchTimeout,
        }
    }
}
