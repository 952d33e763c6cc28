//! Errors of RPC calls between hosts and from operators, and their JSON-RPC error codes.

use jsonrpsee::{core::ClientError, types::ErrorObjectOwned};

use crate::prelude::*;

/// Result of an RPC call.
pub type Result<T, E = PeerError> = std::result::Result<T, E>;

/// Why an RPC call failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PeerError {
    #[error("{0}")]
    Conflict(String),
    #[error("the message cannot be decoded: {0}; run the same release on all hosts")]
    Malformed(String),
    #[error("this host does not serve member {0}; correct the member or the address")]
    OtherMember(MemberId),
    #[error("the key or token is not the one of this host's member; correct it in the settings")]
    Unauthorized,
    #[error("no response from {to}: {why}")]
    Unreachable { to: SocketAddr, why: String },
    #[error("this host supports protocol version {ours}, not {theirs}; upgrade it")]
    UnsupportedVersion { ours: u32, theirs: u32 },
    #[error("temporarily unavailable: {0}")]
    Unavailable(String),
}

const CONFLICT: i32 = -32001;
const MALFORMED: i32 = -32602;
const OTHER_MEMBER: i32 = -32003;
const UNAUTHORIZED: i32 = -32004;
const UNAVAILABLE: i32 = -32005;
const UNSUPPORTED_VERSION: i32 = -32006;

impl From<PeerError> for ErrorObjectOwned {
    fn from(error: PeerError) -> Self {
        let text = error.to_string();
        let owned = |code, data: String| ErrorObjectOwned::owned(code, text.clone(), Some(data));
        match error {
            PeerError::Conflict(why) => owned(CONFLICT, why),
            PeerError::Malformed(why) => owned(MALFORMED, why),
            PeerError::OtherMember(member) => owned(OTHER_MEMBER, member.to_string()),
            PeerError::Unauthorized => owned(UNAUTHORIZED, String::new()),
            PeerError::Unreachable { why, .. } | PeerError::Unavailable(why) => {
                owned(UNAVAILABLE, why)
            }
            PeerError::UnsupportedVersion { ours, theirs } => {
                owned(UNSUPPORTED_VERSION, format!("{ours} {theirs}"))
            }
        }
    }
}

impl PeerError {
    /// Decodes the error that the called host returned; `Unreachable` if it returned none.
    pub(super) fn from_client_error(to: SocketAddr, error: ClientError) -> Self {
        let ClientError::Call(object) = error else {
            return PeerError::Unreachable { to, why: error.to_string() };
        };
        let data: String = object
            .data()
            .and_then(|data| serde_json::from_str(data.get()).ok())
            .unwrap_or_default();
        match object.code() {
            CONFLICT => PeerError::Conflict(data),
            MALFORMED => PeerError::Malformed(data),
            OTHER_MEMBER => PeerError::OtherMember(data.into()),
            UNAUTHORIZED => PeerError::Unauthorized,
            UNAVAILABLE => PeerError::Unavailable(data),
            UNSUPPORTED_VERSION => {
                let mut parts = data.split(' ').map(|part| part.parse().unwrap_or_default());
                let (ours, theirs) = (parts.next(), parts.next());
                PeerError::UnsupportedVersion {
                    ours: ours.unwrap_or_default(),
                    theirs: theirs.unwrap_or_default(),
                }
            }
            _ => PeerError::Unreachable { to, why: object.to_string() },
        }
    }
}
