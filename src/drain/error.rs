//! Errors of drain and undrain orders.

use super::record::DrainId;

/// Result of a drain or undrain order.
pub type Result<T> = std::result::Result<T, DrainError>;

/// Why an order was refused.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum DrainError {
    #[error("already drained by {by} as drain {id}; undrain it first or keep that drain")]
    AlreadyDrained { by: String, id: DrainId },
    #[error("nothing drains this; see `lavenderplank status`")]
    NotDrained,
    #[error("drain {id} was already undone by {by}")]
    AlreadyUndone { by: String, id: DrainId },
    #[error("too many drains are held; undrain some first")]
    TooMany,
    #[error("the manifest in force has no such {0}; check its name")]
    UnknownScope(&'static str),
}
