//! Who calls: found out from the request's headers before any message is read.

use http::{HeaderMap, header::AUTHORIZATION};

use super::{
    error::{PeerError, Result},
    keys::PeerKeys,
};
use crate::settings::Secret;

/// Who calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Caller {
    Operator,
    Peer,
    Stranger,
}

impl Caller {
    pub fn of(headers: &HeaderMap, keys: &PeerKeys) -> Self {
        let value = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
        let Some(token) = value.and_then(|value| value.strip_prefix("Bearer ")) else {
            return Caller::Stranger;
        };
        let token = Secret::new(token);
        // A missing setting opens no door: an empty secret proves nothing.
        if token.expose().is_empty() {
            return Caller::Stranger;
        }
        if keys.peer == token {
            Caller::Peer
        } else if keys.operator == token {
            Caller::Operator
        } else {
            Caller::Stranger
        }
    }

    /// Lets only the named callers through.
    pub fn allow(self, allowed: &[Caller]) -> Result<()> {
        if allowed.contains(&self) { Ok(()) } else { Err(PeerError::Unauthorized) }
    }
}
