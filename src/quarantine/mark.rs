//! What hosts tell each other about a fingerprint.

use super::Fingerprint;
use crate::prelude::*;

/// How far the suspicion goes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum QuarantineVerdict {
    /// In flight at a crash: runs alone.
    Suspect,
    /// Crashed a target while it ran alone: refused.
    Refused,
}

/// A fingerprint and how long it still stands; clocks of hosts don't compare, time left does.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineMark {
    #[serde(with = "fingerprint_hex")]
    pub fingerprint: Fingerprint,
    pub left: Duration,
    pub verdict: QuarantineVerdict,
}

/// JSON numbers lose digits beyond 64 bits in many readers, so the hash travels as text.
pub(crate) mod fingerprint_hex {
    use std::borrow::Cow;

    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    use super::Fingerprint;

    pub(crate) fn serialize<S: Serializer>(
        value: &Fingerprint,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format!("{value:032x}"))
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Fingerprint, D::Error> {
        let text = Cow::<str>::deserialize(deserializer)?;
        Fingerprint::from_str_radix(&text, 16).map_err(D::Error::custom)
    }
}
