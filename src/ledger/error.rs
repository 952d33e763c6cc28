//! Errors of adopting a sealed ledger.

use crate::prelude::*;

/// Result of adopting a sealed ledger.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a sealed ledger was rejected. None of it was adopted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    #[error("sealed ledger is damaged: {0}; send it again")]
    Damaged(&'static str),
    #[error(
        "no room for {0} more ledger entries on this host; hand the ledger over to another host"
    )]
    NoRoom(usize),
    #[error(
        "incarnation {0:016x} belongs to this host itself; hand the ledger over to another host"
    )]
    OwnIncarnation(Incarnation),
    #[error("this host is stopping, too; hand the ledger over to another host")]
    Sealed,
    #[error(
        "unsupported sealed ledger version {0}; hand the ledger over to a host of a newer version"
    )]
    UnsupportedVersion(u32),
}
