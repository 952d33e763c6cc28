//! A target's answer, kept for resends.

use bytes::Bytes;

use crate::{base::HeaderLine, prelude::*};

/// Bytes that one kept answer costs besides its text.
const ANSWER_OVERHEAD: usize = 128;

/// Bytes that one kept header costs besides its text.
const HEADER_OVERHEAD: usize = 64;

/// A whole answer of a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeptAnswer {
    #[serde(with = "base64_bytes")]
    pub body: Bytes,
    pub headers: Vec<HeaderLine>,
    pub status: u16,
}

impl KeptAnswer {
    /// About how much memory it takes, in bytes.
    pub fn cost(&self) -> usize {
        let headers = self.headers.iter();
        let head: usize =
            headers.map(|line| HEADER_OVERHEAD + line.name.len() + line.value.len()).sum();
        ANSWER_OVERHEAD + head + self.body.len()
    }
}

/// Bytes as base64 text, for formats that have no bytes.
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
