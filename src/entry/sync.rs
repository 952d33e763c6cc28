//! What hosts tell each other of the store's objects.
//!
//! Few hosts watch the store, since each watch is a call that counts; the others learn of changes
//! from them, and so does a host that can't reach the store.

use std::{
    collections::BTreeSet,
    io::{self, Read, Write},
};

use bytes::Bytes;
use flate2::{Compression, read::GzDecoder, write::GzEncoder};
use reqwest::{Client, StatusCode};

use super::{Revisions, StorePart};
use crate::prelude::*;

/// Path of the state on the control listener.
pub const STATE_PATH: &str = "/state";

/// Longest time for a whole answer; between regions a change of the largest size takes a third.
pub const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Concurrent answers of one host: more would miss their timeout on a small link. A host that is
/// rejected queries one that has been answered.
pub const MAX_CONCURRENT_RESPONSES: usize = 8;

/// Largest answer once unpacked: twice what a declaration of the store's largest object and the
/// entries of 8,000 targets take.
const MAX_DECOMPRESSED_BYTES: u64 = 8 * 1024 * 1024;

/// Version of the answer's encoding. Answers of other releases are rejected.
const ENCODING: u32 = 0x6c70_0002;

/// Result of asking another host.
pub type Result<T> = std::result::Result<T, QueryError>;

/// Why another host's answer could not be had.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    #[error("it answers as many others as it can")]
    Busy,
    #[error("{0}")]
    Http(#[from] reqwest::Error),
    #[error("its answer can't be read: {0}")]
    Unreadable(#[from] io::Error),
}

/// Objects as they lie in the store, with their versions.
pub type RawObjects = BTreeMap<(StorePart, Arc<str>), (u64, Bytes)>;

/// What a host knows and the asking one does not.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateDiff {
    pub parts: Vec<PartDiff>,
}

/// The same for one part of the store's objects.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PartDiff {
    changed: Vec<Object>,
    /// Names of all objects there are: others are gone.
    names: Vec<Arc<str>>,
    pub part: StorePart,
    /// The store's version up to which the part is known.
    pub revision: u64,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Object {
    name: Arc<str>,
    revision: u64,
    /// Objects are texts; one that is none could not be read anyway.
    text: Arc<str>,
}

impl StateDiff {
    /// What is newer than `since`, of the parts that are known up to a later version.
    pub fn of(raw: &RawObjects, known: Revisions, since: Revisions) -> Self {
        let diff = |part| PartDiff::of(raw, part, known.of(part), since.of(part));
        Self { parts: outdated_parts(known, since).map(diff).collect() }
    }

    /// All objects of one part, of those known before and those that changed.
    pub fn apply_to(&self, part: StorePart, known: &RawObjects) -> Vec<(Arc<str>, u64, Bytes)> {
        match self.parts.iter().find(|diff| diff.part == part) {
            Some(diff) => diff.apply_to(known),
            None => objects_of(known, part).map(to_owned_object).collect(),
        }
    }
}

/// An answer as it is encoded.
#[derive(Deserialize, Serialize)]
struct EncodedResponse<P> {
    encoding: u32,
    /// Each compressed by itself.
    parts: Vec<P>,
}

/// A difference that was received, with each part as it was compressed by the sender.
#[derive(Clone, Debug)]
pub struct ReceivedState {
    pub diff: StateDiff,
    compressed: Vec<Bytes>,
}

impl ReceivedState {
    /// Reads what another host sent.
    pub fn decode(bytes: &[u8]) -> io::Result<Self> {
        let (answer, rest) = postcard::take_from_bytes::<EncodedResponse<Vec<u8>>>(bytes)
            .map_err(io::Error::other)?;
        if answer.encoding != ENCODING || !rest.is_empty() {
            return Err(io::Error::other("it has another form"));
        }
        let compressed: Vec<Bytes> = answer.parts.into_iter().map(Bytes::from).collect();
        let parts = compressed.iter().map(|part| decompress(part)).collect::<io::Result<_>>()?;
        Ok(Self { diff: StateDiff { parts }, compressed: compressed })
    }
}

impl PartDiff {
    fn of(raw: &RawObjects, part: StorePart, revision: u64, since: u64) -> Self {
        let object = |(name, version, bytes): (&Arc<str>, u64, &Bytes)| Object {
            name: name.clone(),
            revision: version,
            text: String::from_utf8_lossy(bytes).into(),
        };
        let newer = objects_of(raw, part).filter(|(_, version, _)| since < *version);
        Self {
            changed: newer.map(object).collect(),
            names: objects_of(raw, part).map(|(name, _, _)| name.clone()).collect(),
            part,
            revision,
        }
    }

    /// All objects of the part, of those known before and those that changed.
    pub fn apply_to(&self, known: &RawObjects) -> Vec<(Arc<str>, u64, Bytes)> {
        let names: BTreeSet<&Arc<str>> = self.names.iter().collect();
        let kept = objects_of(known, self.part).filter(|(name, _, _)| names.contains(name));
        let mut all: BTreeMap<Arc<str>, (u64, Bytes)> =
            kept.map(|(name, version, bytes)| (name.clone(), (version, bytes.clone()))).collect();
        for object in &self.changed {
            let bytes = Bytes::copy_from_slice(object.text.as_bytes());
            all.insert(object.name.clone(), (object.revision, bytes));
        }
        all.into_iter().map(|(name, (revision, bytes))| (name, revision, bytes)).collect()
    }

    /// Bytes of the objects in it.
    fn object_bytes(&self) -> u64 {
        self.changed.iter().map(|object| object.text.len() as u64).sum()
    }
}

/// Compresses a part: small links carry the same change to every host of a region at once.
fn compress(diff: &PartDiff) -> io::Result<Bytes> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&serde_json::to_vec(diff)?)?;
    Ok(encoder.finish()?.into())
}

fn decompress(bytes: &[u8]) -> io::Result<PartDiff> {
    let reader = GzDecoder::new(bytes).take(MAX_DECOMPRESSED_BYTES);
    Ok(serde_json::from_reader(io::BufReader::new(reader))?)
}

/// The parts that are known up to a later version than `since`.
fn outdated_parts(known: Revisions, since: Revisions) -> impl Iterator<Item = StorePart> {
    StorePart::ALL.into_iter().filter(move |part| since.of(*part) < known.of(*part))
}

/// The objects of one part: name, version, bytes.
fn objects_of(raw: &RawObjects, part: StorePart) -> impl Iterator<Item = (&Arc<str>, u64, &Bytes)> {
    let objects_of = raw.iter().filter(move |((of, _), _)| *of == part);
    objects_of.map(|((_, name), (version, bytes))| (name, *version, bytes))
}

/// The newest version of an object up to `since`. Hosts with the same one lack the same objects.
fn newest_revision(raw: &RawObjects, part: StorePart, since: u64) -> u64 {
    let versions = objects_of(raw, part).map(|(_, version, _)| version);
    versions.filter(|version| *version <= since).max().unwrap_or_default()
}

fn to_owned_object((name, version, bytes): (&Arc<str>, u64, &Bytes)) -> (Arc<str>, u64, Bytes) {
    (name.clone(), version, bytes.clone())
}

/// Compressed answers to other hosts, by part. Hosts of a region query the same change at the same
/// time but differ in what they know of other parts, so an answer as a whole would rarely be reused.
#[derive(Debug, Default)]
pub struct ResponseCache {
    compressed_bytes: u64,
    parts: BTreeMap<StorePart, CachedPart>,
}

/// The last answer for one part.
#[derive(Debug)]
struct CachedPart {
    /// The newest version of an object that the querying host has, and the version known here.
    key: (u64, u64),
    compressed: Bytes,
}

impl ResponseCache {
    /// The answer to a host that knows all up to `since`.
    pub fn response(
        &mut self,
        raw: &RawObjects,
        known: Revisions,
        since: Revisions,
    ) -> io::Result<Bytes> {
        let part = |part| self.compressed_part(raw, part, known.of(part), since.of(part));
        let parts: Vec<Bytes> =
            outdated_parts(known, since).map(part).collect::<io::Result<_>>()?;
        let answer = EncodedResponse {
            encoding: ENCODING,
            parts: parts.iter().map(|part| &**part).collect(),
        };
        Ok(postcard::to_allocvec::<EncodedResponse<&[u8]>>(&answer)
            .map_err(io::Error::other)?
            .into())
    }

    /// Caches a part that was received in answer to a query for what is newer than `since`, so that
    /// it is forwarded without being compressed again. `raw` has to contain it already.
    pub fn cache_received(
        &mut self,
        received: &ReceivedState,
        part: StorePart,
        raw: &RawObjects,
        since: Revisions,
    ) {
        let parts = received.diff.parts.iter().zip(&received.compressed);
        for (diff, compressed) in parts.filter(|(diff, _)| diff.part == part) {
            let key = (newest_revision(raw, part, since.of(part)), diff.revision);
            self.parts.insert(part, CachedPart { key, compressed: compressed.clone() });
        }
    }

    fn compressed_part(
        &mut self,
        raw: &RawObjects,
        part: StorePart,
        known: u64,
        since: u64,
    ) -> io::Result<Bytes> {
        let key = (newest_revision(raw, part, since), known);
        if let Some(last) = self.parts.get(&part).filter(|last| last.key == key) {
            return Ok(last.compressed.clone());
        }
        let diff = PartDiff::of(raw, part, known, since);
        let compressed = compress(&diff)?;
        self.compressed_bytes += diff.object_bytes();
        self.parts.insert(part, CachedPart { key, compressed: compressed.clone() });
        Ok(compressed)
    }

    /// Bytes of objects that were compressed so far.
    pub fn compressed_bytes(&self) -> u64 {
        self.compressed_bytes
    }
}

/// Asks other hosts.
#[derive(Clone)]
pub struct PeerClient {
    client: Client,
}

impl PeerClient {
    /// A client that keeps no connections: it is seldom needed.
    pub fn open() -> reqwest::Result<Self> {
        let client = Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(0)
            .redirect(reqwest::redirect::Policy::none())
            .timeout(QUERY_TIMEOUT)
            .build()?;
        Ok(Self { client })
    }

    /// Asks the host at `addr` for what is newer than `since`.
    pub async fn query(&self, addr: SocketAddr, since: Revisions) -> Result<ReceivedState> {
        let Revisions { declared, evacuations, targets } = since;
        let url = format!("http://{addr}{STATE_PATH}?{declared}-{evacuations}-{targets}");
        let answer = self.client.get(url).send().await?;
        if answer.status() == StatusCode::SERVICE_UNAVAILABLE {
            return Err(QueryError::Busy);
        }
        let answer = answer.error_for_status()?;
        Ok(ReceivedState::decode(&answer.bytes().await?)?)
    }
}

/// The versions that a question names; none of them if it names none.
pub fn parse_revisions(query: Option<&str>) -> Revisions {
    let mut numbers = query.unwrap_or_default().split('-').map(|number| number.parse().ok());
    let mut next = || numbers.next().flatten().unwrap_or_default();
    Revisions { declared: next(), evacuations: next(), targets: next() }
}
