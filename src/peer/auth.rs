//! Who calls: found out from the request's headers before any message is read.

use http::{HeaderMap, header::AUTHORIZATION};

use super::{
    credentials::PeerCredentials,
    error::{PeerError, Result},
};
use crate::settings::Secret;

/// Who calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Principal {
    Operator,
    Peer,
    Unauthenticated,
}

impl Principal {
    pub fn identify(headers: &HeaderMap, keys: &PeerCredentials) -> Self {
        let value = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
        let Some(token) = value.and_then(|value| value.strip_prefix("Bearer ")) else {
            return Principal::Unauthenticated;
        };
        let token = Secret::new(token);
        // A missing setting opens no door: an empty secret proves nothing.
        if token.expose().is_empty() {
            return Principal::Unauthenticated;
        }
        if keys.peer == token {
            Principal::Peer
        } else if keys.operator == token {
            Principal::Operator
        } else {
            Principal::Unauthenticated
        }
    }

    /// Lets only the named callers through.
    pub fn authorize(self, allowed: &[Principal]) -> Result<()> {
        if allowed.contains(&self) { Ok(()) } else { Err(PeerError::Unauthorized) }
    }
}
