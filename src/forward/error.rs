//! Errors of a forwarded request.

use crate::prelude::*;

/// Result of forwarding a request.
pub type Result<T> = std::result::Result<T, ForwardError>;

/// Why there is no complete response. `ConnectFailed`, `Shed` and `Timeout { sent: false }` prove
/// that the target did not run the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ForwardError {
    #[error("the target's response was incomplete or did not belong to this request")]
    InvalidResponse,
    #[error("could not connect to the target")]
    ConnectFailed,
    #[error("the connection to the target was lost after the request was sent")]
    ConnectionLost,
    #[error("the target shed the request")]
    Shed { retry_after: Option<Duration> },
    #[error("the target did not respond within the time limit")]
    Timeout {
        /// Whether any byte may have been written.
        sent: bool,
    },
}

impl ForwardError {
    /// Returns the error kind to report to the caller.
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
