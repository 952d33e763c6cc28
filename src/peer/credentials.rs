//! Keys and tokens that the RPC server accepts.

use crate::{prelude::*, settings::Secret};

/// Credentials that the RPC server of a host accepts.
#[derive(Clone, Debug)]
pub struct PeerCredentials {
    pub member: MemberId,
    /// Token of the operators.
    pub operator: Secret,
    /// Key shared by the hosts of the member.
    pub peer: Secret,
}
