//! The ledger of a stopped host, in the form that is handed over to its successor.

use base64::{Engine, engine::general_purpose::STANDARD};
use sha2::{Digest, Sha256};

use super::{Error, KeptAnswer, RequestDigest, Result, digest::KeyDigest, generation::EntryState};
use crate::prelude::*;

/// Version of the serialized form. A host rejects versions other than this one.
const FORMAT_VERSION: u32 = 1;

/// All entries of a stopped host: its own and those that it had adopted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SealedLedger {
    pub(super) histories: Vec<SealedHistory>,
    version: u32,
}

/// A part of a serialized sealed ledger, small enough for one message. A successor adopts a ledger
/// only once it has all parts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SealedPart {
    /// This part's bytes in base64.
    pub data: String,
    /// SHA-256 of the whole serialized ledger in hex; identifies the ledger that the part is of.
    pub digest: String,
    /// Position of the part, from 0 to `of` - 1.
    pub index: u32,
    /// Number of parts.
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
    /// Remaining time to keep the generation. A duration, since a `Moment` is only meaningful on
    /// the host that took it.
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

/// Outcome of a request. It is `Unknown` for a request that was still running when the ledger was
/// sealed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum SealedState {
    Answered(Arc<KeptAnswer>),
    /// Answered with this status; the answer was not kept.
    Fact(u16),
    NotRun,
    Unknown,
}

impl SealedLedger {
    pub(super) fn new(histories: Vec<SealedHistory>) -> Self {
        Self { histories, version: FORMAT_VERSION }
    }

    pub fn entry_count(&self) -> usize {
        let tables = self.histories.iter().flat_map(|history| &history.generations);
        tables.map(|table| table.entries.len()).sum()
    }

    /// Incarnations whose entries it holds.
    pub fn incarnations(&self) -> Vec<Incarnation> {
        self.histories.iter().map(|history| history.incarnation).collect()
    }

    /// Splits the serialized ledger into parts of at most `max_bytes` each, before base64.
    pub fn split(&self, max_bytes: usize) -> Vec<SealedPart> {
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        let digest = hex::encode(Sha256::digest(&bytes));
        let chunks: Vec<&[u8]> = bytes.chunks(max_bytes.max(1)).collect();
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

    /// Reassembles a ledger from its parts, which may be given in any order and more than once.
    pub fn join(parts: impl IntoIterator<Item = SealedPart>) -> Result<Self> {
        let parts: BTreeMap<u32, SealedPart> =
            parts.into_iter().map(|part| (part.index, part)).collect();
        let Some(first) = parts.values().next() else {
            return Err(Error::Damaged("no parts"));
        };
        let (digest, of) = (first.digest.clone(), first.of);
        if parts.values().any(|part| part.digest != digest || part.of != of) {
            return Err(Error::Damaged("parts belong to different ledgers"));
        }
        if !parts.keys().copied().eq(0..of) {
            return Err(Error::Damaged("a part is missing"));
        }
        let mut bytes = Vec::new();
        for part in parts.values() {
            STANDARD
                .decode_vec(&part.data, &mut bytes)
                .map_err(|_| Error::Damaged("a part is not valid base64"))?;
        }
        if hex::encode(Sha256::digest(&bytes)) != digest {
            return Err(Error::Damaged("digest mismatch"));
        }
        Self::decode(&bytes)
    }

    fn decode(bytes: &[u8]) -> Result<Self> {
        #[derive(Deserialize)]
        struct Header {
            version: u32,
        }
        let header: Header =
            serde_json::from_slice(bytes).map_err(|_| Error::Damaged("no format version"))?;
        if header.version != FORMAT_VERSION {
            return Err(Error::UnsupportedVersion(header.version));
        }
        serde_json::from_slice(bytes).map_err(|_| Error::Damaged("cannot be parsed"))
    }

    /// Rejects format versions other than this host's.
    pub(super) fn check_version(&self) -> Result<()> {
        if self.version == FORMAT_VERSION {
            Ok(())
        } else {
            Err(Error::UnsupportedVersion(self.version))
        }
    }
}

impl From<&EntryState> for SealedState {
    fn from(state: &EntryState) -> Self {
        match state {
            EntryState::Answered(answer) => SealedState::Answered(answer.clone()),
            EntryState::AnswerNotKept(status) => SealedState::Fact(*status),
            EntryState::NotRun => SealedState::NotRun,
            EntryState::Running | EntryState::Unknown => SealedState::Unknown,
        }
    }
}

impl From<SealedState> for EntryState {
    fn from(state: SealedState) -> Self {
        match state {
            SealedState::Answered(answer) => EntryState::Answered(answer),
            SealedState::Fact(status) => EntryState::AnswerNotKept(status),
            SealedState::NotRun => EntryState::NotRun,
            SealedState::Unknown => EntryState::Unknown,
        }
    }
}
