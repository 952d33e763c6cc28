//! A target's answer, kept to be returned to resends of the request.

use bytes::Bytes;

use crate::{base::HeaderLine, prelude::*};

/// Memory per kept answer in addition to its body and headers.
const ANSWER_OVERHEAD_BYTES: usize = 128;

/// Memory per header in addition to its name and value.
const HEADER_OVERHEAD_BYTES: usize = 64;

/// A target's complete answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeptAnswer {
    #[serde(with = "base64_bytes")]
    pub body: Bytes,
    pub headers: Vec<HeaderLine>,
    pub status: u16,
}

impl KeptAnswer {
    /// Approximate memory that the answer takes.
    pub fn memory_bytes(&self) -> usize {
        let headers = self.headers.iter();
        let head: usize =
            headers.map(|line| HEADER_OVERHEAD_BYTES + line.name.len() + line.value.len()).sum();
        ANSWER_OVERHEAD_BYTES + head + self.body.len()
    }
}

/// Serializes bytes as base64 text, for formats without a byte type, such as JSON.
mod base64_bytes {
    use base64::{Engine, engine::general_purpose::STANDARD};
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub(super) fn serialize<S: Serializer>(bytes: &Bytes, ser: S) -> Result<S::Ok, S::Error> {
        ser.serialize_str(&STANDARD.encode(bytes))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(de: D) -> Result<Bytes, D::Error> {
        let text = String::deserialize(de)?;
        STANDARD.decode(text).map(Bytes::from).map_err(D::Error::custom)
    }
}
