//! Authentication of RPC requests by their headers, before any message is decoded.

use http::{HeaderMap, header::AUTHORIZATION};

use super::{
    credentials::PeerCredentials,
    error::{PeerError, Result},
};
use crate::settings::Secret;

/// Authenticated identity of the sender of an RPC request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Principal {
    Operator,
    Peer,
    Unauthenticated,
}

impl Principal {
    /// Compares the bearer token with the keys in `credentials`.
    pub fn identify(headers: &HeaderMap, credentials: &PeerCredentials) -> Self {
        let value = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
        let Some(token) = value.and_then(|value| value.strip_prefix("Bearer ")) else {
            return Principal::Unauthenticated;
        };
        let token = Secret::new(token);
        // Without a configured key the secret is empty; an empty token must not match it.
        if token.expose().is_empty() {
            return Principal::Unauthenticated;
        }
        if credentials.peer == token {
            Principal::Peer
        } else if credentials.operator == token {
            Principal::Operator
        } else {
            Principal::Unauthenticated
        }
    }

    /// Returns `Unauthorized` unless this principal is one of `allowed`.
    pub fn authorize(self, allowed: &[Principal]) -> Result<()> {
        if allowed.contains(&self) { Ok(()) } else { Err(PeerError::Unauthorized) }
    }
}
