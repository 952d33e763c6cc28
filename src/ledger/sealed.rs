//! The ledger of a stopped host, as it goes to its successor.

use base64::{Engine, engine::general_purpose::STANDARD};
use sha2::{Digest, Sha256};

use super::{Error, KeptAnswer, RequestDigest, Result, digest::KeyDigest, generation::State};
use crate::prelude::*;

/// Version of the sealed form. A host refuses a version that it does not know.
const VERSION: u32 = 1;

/// All that a stopped host knows of its requests, and of those that it had taken over itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SealedLedger {
    pub(super) histories: Vec<SealedHistory>,
    version: u32,
}

/// One message's worth of a sealed ledger. A successor takes over only the whole.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SealedPart {
    /// Base64 of this part's bytes.
    pub data: String,
    /// SHA-256 of the whole, in hex: names the ledger that the part is of.
    pub digest: String,
    /// From 0 to `of`, exclusive.
    pub index: u32,
    pub of: u32,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct SealedHistory {
    pub(super) generations: Vec<SealedGeneration>,
    pub(super) host: HostId,
    pub(super) incarnation: Incarnation,
    pub(super) newest: Generation,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct SealedGeneration {
    pub(super) entries: Vec<SealedEntry>,
    /// Time that it is still to be kept; moments of two hosts do not compare.
    pub(super) left: Duration,
    pub(super) number: Generation,
}

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct SealedEntry {
    #[serde(with = "hex::serde")]
    pub(super) body: RequestDigest,
    #[serde(with = "hex::serde")]
    pub(super) key: KeyDigest,
    pub(super) state: SealedState,
}

/// A request that still ran when the ledger was sealed is unknown to the successor.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum SealedState {
    Answered(Arc<KeptAnswer>),
    Fact(u16),
    NotRun,
    Unknown,
}

impl SealedLedger {
    pub(super) fn new(histories: Vec<SealedHistory>) -> Self {
        Self { histories, version: VERSION }
    }

    /// Number of entries.
    pub fn entry_count(&self) -> usize {
        let tables = self.histories.iter().flat_map(|history| &history.generations);
        tables.map(|table| table.entries.len()).sum()
    }

    /// Incarnations that it answers for.
    pub fn incarnations(&self) -> Vec<Incarnation> {
        self.histories.iter().map(|history| history.incarnation).collect()
    }

    /// Cuts it into messages of at most `bytes` bytes of content each.
    pub fn split(&self, bytes: usize) -> Vec<SealedPart> {
        let whole = serde_json::to_vec(self).unwrap_or_default();
        let digest = hex::encode(Sha256::digest(&whole));
        let chunks: Vec<&[u8]> = whole.chunks(bytes.max(1)).collect();
        let of = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
        let numbered = (0..of).zip(chunks);
        numbered
            .map(|(index, chunk)| SealedPart {
                data: STANDARD.encode(chunk),
                digest: digest.clone(),
                index,
                of,
            })
            .collect()
    }

    /// Puts the parts together again; they may come in any order and more than once.
    pub fn join(parts: impl IntoIterator<Item = SealedPart>) -> Result<Self> {
        let parts: BTreeMap<u32, SealedPart> =
            parts.into_iter().map(|part| (part.index, part)).collect();
        let Some(first) = parts.values().next() else {
            return Err(Error::Damaged("no part"));
        };
        let (digest, of) = (first.digest.clone(), first.of);
        if parts.values().any(|part| part.digest != digest || part.of != of) {
            return Err(Error::Damaged("parts of two ledgers"));
        }
        if !parts.keys().copied().eq(0..of) {
            return Err(Error::Damaged("a part is missing"));
        }
        let mut whole = Vec::new();
        for part in parts.values() {
            STANDARD
                .decode_vec(&part.data, &mut whole)
                .map_err(|_| Error::Damaged("a part is no base64"))?;
        }
        if hex::encode(Sha256::digest(&whole)) != digest {
            return Err(Error::Damaged("the digest differs"));
        }
        Self::decode(&whole)
    }

    fn decode(whole: &[u8]) -> Result<Self> {
        #[derive(Deserialize)]
        struct Header {
            version: u32,
        }
        let header: Header =
            serde_json::from_slice(whole).map_err(|_| Error::Damaged("it has no version"))?;
        if header.version != VERSION {
            return Err(Error::UnsupportedVersion(header.version));
        }
        serde_json::from_slice(whole).map_err(|_| Error::Damaged("it does not parse"))
    }

    /// Refuses a version that this host does not know.
    pub(super) fn check(&self) -> Result<()> {
        if self.version == VERSION { Ok(()) } else { Err(Error::UnsupportedVersion(self.version)) }
    }
}

impl From<&State> for SealedState {
    fn from(state: &State) -> Self {
        match state {
            State::Answered(answer) => SealedState::Answered(answer.clone()),
            State::Fact(status) => SealedState::Fact(*status),
            State::NotRun => SealedState::NotRun,
            State::Running | State::Unknown => SealedState::Unknown,
        }
    }
}

impl From<SealedState> for State {
    fn from(state: SealedState) -> Self {
        match state {
            SealedState::Answered(answer) => State::Answered(answer),
            SealedState::Fact(status) => State::Fact(status),
            SealedState::NotRun => State::NotRun,
            SealedState::Unknown => State::Unknown,
        }
    }
}
