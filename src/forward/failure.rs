//! How an attempt fails.

use crate::prelude::*;

/// Result of an attempt.
pub type Result<T> = std::result::Result<T, Failure>;

/// Why there is no whole answer. `Connect`, `Shed` and `Timeout { sent: false }` prove that the
/// target did not run the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Failure {
    #[error("the target's answer was not whole, or not for this request")]
    Broken,
    #[error("no connection to the target could be made")]
    Connect,
    #[error("the connection to the target was lost after the request was sent")]
    Lost,
    #[error("the target shed the request")]
    Shed { retry_after: Option<Duration> },
    #[error("the target did not answer in time")]
    Timeout {
        /// Whether a byte may have been written.
        sent: bool,
    },
}

impl Failure {
    /// The error kind for the caller.
    pub fn kind(self) -> ErrorKind {
        match self {
            Failure::Broken => ErrorKind::AnswerBroken,
            Failure::Connect => ErrorKind::ConnectFailed,
            Failure::Lost => ErrorKind::DispatchLost,
            Failure::Shed { .. } => ErrorKind::Shed,
            Failure::Timeout { sent: false } => ErrorKind::DeadlinePassed,
            Failure::Timeout { sent: true } => ErrorKind::DispatchTimeout,
        }
    }
}
