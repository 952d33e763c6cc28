//! The object that says which manifest of a member is accepted.

use bytes::Bytes;

use super::{PartId, SignedManifest};
use crate::{
    prelude::*,
    store::{MAX_VALUE_BYTES, OperationId},
};

/// Acceptances that the head remembers: enough for a writer whose answer was lost to find its own
/// among those that replaced it in the meantime.
const MAX_HISTORY: usize = 32;

/// One acceptance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Acceptance {
    pub digest: Arc<str>,
    pub operation: OperationId,
    pub sequence: Sequence,
}

/// The accepted manifest and the acceptances that led to it. Only `signed` is trusted by hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The latest last.
    pub history: Vec<Acceptance>,
    pub signed: SignedManifest,
}

impl Head {
    /// Key of a member's head.
    pub fn key(member: &str) -> String {
        format!("manifests/{member}")
    }

    /// Begin of the keys of a member's parts.
    pub fn parts_prefix(member: &str) -> String {
        format!("manifest-parts/{member}/")
    }

    /// Key of a part.
    pub fn part_key(member: &str, id: &PartId) -> String {
        format!("{}{id}", Self::parts_prefix(member))
    }

    /// `None` if the bytes are no head.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }

    /// `None` if it is larger than the platform takes.
    pub fn encode(&self) -> Option<Bytes> {
        let bytes = serde_json::to_vec(self).ok()?;
        (bytes.len() <= MAX_VALUE_BYTES).then(|| bytes.into())
    }

    /// The head that follows this one, or the first one.
    pub(super) fn next(before: Option<&Self>, signed: SignedManifest, done: Acceptance) -> Self {
        let mut history = before.map(|head| head.history.clone()).unwrap_or_default();
        history.push(done);
        let excess = history.len().saturating_sub(MAX_HISTORY);
        history.drain(..excess);
        Self { history, signed }
    }

    /// Whether the write of that operation was accepted, now or before.
    pub fn has_accepted(&self, operation: &OperationId) -> bool {
        self.history.iter().any(|done| done.operation == *operation)
    }
}
