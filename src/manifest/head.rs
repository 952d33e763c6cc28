//! The head: the platform object that holds a member's accepted manifest.

use bytes::Bytes;

use super::{PartId, SignedManifest};
use crate::{
    prelude::*,
    store::{MAX_VALUE_BYTES, OperationId},
};

/// Length of the head's history: enough for a pipeline that lost the response to its write to find
/// its operation, even after later manifests have replaced it.
const MAX_HISTORY: usize = 32;

/// Record of one accepted manifest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Acceptance {
    /// `SignedManifest::digest`.
    pub digest: Arc<str>,
    /// The write that made it the accepted one.
    pub operation: OperationId,
    pub sequence: Sequence,
}

/// The accepted manifest and the latest accepted ones before it. Hosts trust only `signed`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// In order of acceptance, the current one last.
    pub history: Vec<Acceptance>,
    pub signed: SignedManifest,
}

impl Head {
    /// Platform key of a member's head.
    pub fn key(member: &str) -> String {
        format!("manifests/{member}")
    }

    /// Prefix of the platform keys of a member's parts.
    pub fn parts_prefix(member: &str) -> String {
        format!("manifest-parts/{member}/")
    }

    /// Platform key of a part.
    pub fn part_key(member: &str, id: &PartId) -> String {
        format!("{}{id}", Self::parts_prefix(member))
    }

    /// `None` if the bytes don't encode a head.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }

    /// `None` if the head is larger than the platform's limit on values.
    pub fn encode(&self) -> Option<Bytes> {
        let bytes = serde_json::to_vec(self).ok()?;
        (bytes.len() <= MAX_VALUE_BYTES).then(|| bytes.into())
    }

    /// The successor of `previous`, or the first head.
    pub(super) fn next(
        previous: Option<&Self>,
        signed: SignedManifest,
        acceptance: Acceptance,
    ) -> Self {
        let mut history = previous.map(|head| head.history.clone()).unwrap_or_default();
        history.push(acceptance);
        let excess = history.len().saturating_sub(MAX_HISTORY);
        history.drain(..excess);
        Self { history, signed }
    }

    /// Whether the write of this operation took effect, now or earlier in the history.
    pub fn has_accepted(&self, operation: &OperationId) -> bool {
        self.history.iter().any(|accepted| accepted.operation == *operation)
    }
}
