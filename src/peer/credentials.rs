//! What a host checks the callers of its RPC server against.

use crate::{prelude::*, settings::Secret};

/// What a host checks the callers of its RPC server against.
#[derive(Clone, Debug)]
pub struct PeerCredentials {
    pub member: MemberId,
    /// Proves an operator.
    pub operator: Secret,
    /// Proves a host of the same member.
    pub peer: Secret,
}
