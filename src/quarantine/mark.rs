//! Quarantine marks, which hosts exchange.

use super::Fingerprint;
use crate::prelude::*;

/// Whether a request is suspected or proven to crash targets.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum QuarantineVerdict {
    /// Was in flight on a target that crashed; only runs alone.
    Suspect,
    /// Crashed a target while it ran alone; is refused.
    Refused,
}

/// A fingerprint's verdict and the time for which it remains valid, as a duration since the clocks
/// of hosts are not comparable.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineMark {
    #[serde(with = "fingerprint_hex")]
    pub fingerprint: Fingerprint,
    pub left: Duration,
    pub verdict: QuarantineVerdict,
}

/// Serializes a fingerprint as hex text: many JSON readers lose digits of numbers beyond 64 bits.
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
