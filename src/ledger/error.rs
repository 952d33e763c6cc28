//! Why a sealed ledger was not taken over.

use crate::prelude::*;

/// Result of taking over a sealed ledger.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a sealed ledger was refused. Nothing of it was taken over.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    #[error("the sealed ledger is damaged ({0}); send it again")]
    Damaged(&'static str),
    #[error("this host has no room for {0} more entries; hand the ledger to another host")]
    NoRoom(usize),
    #[error("incarnation {0:016x} is this host's own; hand the ledger to another host")]
    OwnIncarnation(Incarnation),
    #[error("this host is stopping too; hand the ledger to another host")]
    Sealed,
    #[error("sealed ledger of version {0} is not known here; hand it to a newer host")]
    UnsupportedVersion(u32),
}
