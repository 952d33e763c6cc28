//! Envelope of every RPC message: protocol version, member and encoded body.

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use super::error::{PeerError, Result};
use crate::prelude::*;

/// Protocol version that this build sends and accepts.
pub const PROTOCOL_VERSION: u32 = 1;

/// A message with its protocol version and member. The body is decoded only after both are checked:
/// the body of another version may not decode at all, and the sender should get an error about the
/// version and not about a missing field.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Envelope {
    body: Box<RawValue>,
    pub member: MemberId,
    pub version: u32,
}

impl Envelope {
    /// Encodes a message.
    pub fn encode<T: Serialize>(member: &MemberId, message: &T) -> Result<Self> {
        let text = serde_json::to_string(message).map_err(malformed)?;
        let body = RawValue::from_string(text).map_err(malformed)?;
        Ok(Self { body, member: member.clone(), version: PROTOCOL_VERSION })
    }

    /// Checks version and member, then decodes the message.
    pub fn decode<T: DeserializeOwned>(&self, member: &MemberId) -> Result<T> {
        if self.version != PROTOCOL_VERSION {
            let (ours, theirs) = (PROTOCOL_VERSION, self.version);
            return Err(PeerError::UnsupportedVersion { ours, theirs });
        }
        if self.member != *member {
            return Err(PeerError::OtherMember(self.member.clone()));
        }
        serde_json::from_str(self.body.get()).map_err(malformed)
    }
}

fn malformed(error: serde_json::Error) -> PeerError {
    PeerError::Malformed(error.to_string())
}
