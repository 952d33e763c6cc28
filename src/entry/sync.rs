//! Exchange of the store's objects between hosts.
//!
//! Only a few hosts watch the store, since each watch counts as a call against its rate limit. The
//! other hosts get changes from them, and so does a host that cannot reach the store.

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

/// Timeout of a query, including the whole response. The largest change takes a third of it between
/// regions.
pub const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of responses that one host sends concurrently: on a slow link, more would miss the
/// timeout. A host that is rejected queries another host that has got a response.
pub const MAX_CONCURRENT_RESPONSES: usize = 8;

/// Size limit of one decompressed part: twice the size of a declaration of the store's maximum
/// object size and the entries of 8,000 targets.
const MAX_DECOMPRESSED_BYTES: u64 = 8 * 1024 * 1024;

/// Version of the response encoding. Responses with another version are rejected.
const ENCODING: u32 = 0x6c70_0002;

/// Result of querying another host.
pub type Result<T> = std::result::Result<T, QueryError>;

/// Why a query to another host failed.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    #[error("the host is at its limit of concurrent responses")]
    Busy,
    #[error("{0}")]
    Http(#[from] reqwest::Error),
    #[error("cannot decode the response: {0}")]
    Decode(#[from] io::Error),
}

/// Undecoded objects by part and name, each with its revision.
pub type RawObjects = BTreeMap<(StorePart, Arc<str>), (u64, Bytes)>;

/// Changes that a host has and the querying host lacks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StateDiff {
    pub parts: Vec<PartDiff>,
}

/// Changes of one part of the store's objects.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PartDiff {
    changed: Vec<Object>,
    /// Names of all existing objects; objects with other names have been removed.
    names: Vec<Arc<str>>,
    pub part: StorePart,
    /// The store's revision up to which the part is known.
    pub revision: u64,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Object {
    name: Arc<str>,
    revision: u64,
    /// The object as UTF-8 text. An object that is not valid UTF-8 could not be decoded anyway.
    text: Arc<str>,
}

impl StateDiff {
    /// Computes the changes since `since`, for parts that are known up to a later revision.
    pub fn of(raw: &RawObjects, known: Revisions, since: Revisions) -> Self {
        let diff = |part| PartDiff::of(raw, part, known.of(part), since.of(part));
        Self { parts: outdated_parts(known, since).map(diff).collect() }
    }

    /// Applies the changes of one part to the `known` objects; returns all objects of that part.
    pub fn apply_to(&self, part: StorePart, known: &RawObjects) -> Vec<(Arc<str>, u64, Bytes)> {
        match self.parts.iter().find(|diff| diff.part == part) {
            Some(diff) => diff.apply_to(known),
            None => objects_of(known, part).map(to_owned_object).collect(),
        }
    }
}

/// A response as it is encoded.
#[derive(Deserialize, Serialize)]
struct EncodedResponse<P> {
    encoding: u32,
    /// Each part is compressed separately.
    parts: Vec<P>,
}

/// A received diff, and its parts as the sender compressed them.
#[derive(Clone, Debug)]
pub struct ReceivedState {
    pub diff: StateDiff,
    compressed: Vec<Bytes>,
}

impl ReceivedState {
    /// Decodes the response of another host.
    pub fn decode(bytes: &[u8]) -> io::Result<Self> {
        let (response, rest) = postcard::take_from_bytes::<EncodedResponse<Vec<u8>>>(bytes)
            .map_err(io::Error::other)?;
        if response.encoding != ENCODING || !rest.is_empty() {
            return Err(io::Error::other("unsupported encoding version or trailing bytes"));
        }
        let compressed: Vec<Bytes> = response.parts.into_iter().map(Bytes::from).collect();
        let parts = compressed.iter().map(|part| decompress(part)).collect::<io::Result<_>>()?;
        Ok(Self { diff: StateDiff { parts }, compressed })
    }
}

impl PartDiff {
    fn of(raw: &RawObjects, part: StorePart, revision: u64, since: u64) -> Self {
        let object = |(name, revision, bytes): (&Arc<str>, u64, &Bytes)| Object {
            name: name.clone(),
            revision,
            text: String::from_utf8_lossy(bytes).into(),
        };
        let changed = objects_of(raw, part).filter(|(_, revision, _)| since < *revision);
        Self {
            changed: changed.map(object).collect(),
            names: objects_of(raw, part).map(|(name, _, _)| name.clone()).collect(),
            part,
            revision,
        }
    }

    /// Applies the changes to the `known` objects; returns all objects of the part.
    pub fn apply_to(&self, known: &RawObjects) -> Vec<(Arc<str>, u64, Bytes)> {
        let names: BTreeSet<&Arc<str>> = self.names.iter().collect();
        let kept = objects_of(known, self.part).filter(|(name, _, _)| names.contains(name));
        let mut all: BTreeMap<Arc<str>, (u64, Bytes)> =
            kept.map(|(name, revision, bytes)| (name.clone(), (revision, bytes.clone()))).collect();
        for object in &self.changed {
            let bytes = Bytes::copy_from_slice(object.text.as_bytes());
            all.insert(object.name.clone(), (object.revision, bytes));
        }
        all.into_iter().map(|(name, (revision, bytes))| (name, revision, bytes)).collect()
    }

    /// Total size of the changed objects in bytes.
    fn object_bytes(&self) -> u64 {
        self.changed.iter().map(|object| object.text.len() as u64).sum()
    }
}

/// Compresses a part, since a slow link may carry the same change to all hosts of a region at once.
fn compress(diff: &PartDiff) -> io::Result<Bytes> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&serde_json::to_vec(diff)?)?;
    Ok(encoder.finish()?.into())
}

fn decompress(bytes: &[u8]) -> io::Result<PartDiff> {
    let reader = GzDecoder::new(bytes).take(MAX_DECOMPRESSED_BYTES);
    Ok(serde_json::from_reader(io::BufReader::new(reader))?)
}

/// The parts that are known up to a later revision than `since`.
fn outdated_parts(known: Revisions, since: Revisions) -> impl Iterator<Item = StorePart> {
    StorePart::ALL.into_iter().filter(move |part| since.of(*part) < known.of(*part))
}

/// The objects of one part: name, revision, bytes.
fn objects_of(raw: &RawObjects, part: StorePart) -> impl Iterator<Item = (&Arc<str>, u64, &Bytes)> {
    let objects = raw.iter().filter(move |((of, _), _)| *of == part);
    objects.map(|((_, name), (revision, bytes))| (name, *revision, bytes))
}

/// The highest revision of an object up to `since`. Hosts for which it is equal lack the same
/// objects.
fn newest_revision(raw: &RawObjects, part: StorePart, since: u64) -> u64 {
    let revisions = objects_of(raw, part).map(|(_, revision, _)| revision);
    revisions.filter(|revision| *revision <= since).max().unwrap_or_default()
}

fn to_owned_object((name, revision, bytes): (&Arc<str>, u64, &Bytes)) -> (Arc<str>, u64, Bytes) {
    (name.clone(), revision, bytes.clone())
}

/// Cache of compressed parts for responses to other hosts. Hosts of a region query the same change
/// at the same time but differ in what they know of other parts, so a whole response could rarely
/// be reused.
#[derive(Debug, Default)]
pub struct ResponseCache {
    compressed_bytes: u64,
    parts: BTreeMap<StorePart, CachedPart>,
}

/// The last response for one part.
#[derive(Debug)]
struct CachedPart {
    /// Highest revision of an object that the querying host has, and the revision known here.
    key: (u64, u64),
    compressed: Bytes,
}

impl ResponseCache {
    /// Encodes the response to a host that knows all objects up to `since`.
    pub fn response(
        &mut self,
        raw: &RawObjects,
        known: Revisions,
        since: Revisions,
    ) -> io::Result<Bytes> {
        let part = |part| self.compressed_part(raw, part, known.of(part), since.of(part));
        let parts: Vec<Bytes> =
            outdated_parts(known, since).map(part).collect::<io::Result<_>>()?;
        let response = EncodedResponse {
            encoding: ENCODING,
            parts: parts.iter().map(|part| &**part).collect(),
        };
        Ok(postcard::to_allocvec::<EncodedResponse<&[u8]>>(&response)
            .map_err(io::Error::other)?
            .into())
    }

    /// Caches a part that was received in response to a query for changes since `since`, so that it
    /// can be forwarded without being compressed again. `raw` must contain its objects already.
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

    /// Total size, before compression, of the objects that were compressed so far.
    pub fn compressed_bytes(&self) -> u64 {
        self.compressed_bytes
    }
}

/// Client for state queries to other hosts.
#[derive(Clone)]
pub struct PeerClient {
    client: Client,
}

impl PeerClient {
    /// Creates the client. It keeps no idle connections, since queries are rare.
    pub fn open() -> reqwest::Result<Self> {
        let client = Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(0)
            .redirect(reqwest::redirect::Policy::none())
            .timeout(QUERY_TIMEOUT)
            .build()?;
        Ok(Self { client })
    }

    /// Queries the host at `addr` for changes since `since`.
    pub async fn query(&self, addr: SocketAddr, since: Revisions) -> Result<ReceivedState> {
        let Revisions { declared, evacuations, targets } = since;
        let url = format!("http://{addr}{STATE_PATH}?{declared}-{evacuations}-{targets}");
        let response = self.client.get(url).send().await?;
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            return Err(QueryError::Busy);
        }
        let response = response.error_for_status()?;
        Ok(ReceivedState::decode(&response.bytes().await?)?)
    }
}

/// Parses the revisions in the query string of a state query; missing or invalid ones are 0.
pub fn parse_revisions(query: Option<&str>) -> Revisions {
    let mut numbers = query.unwrap_or_default().split('-').map(|number| number.parse().ok());
    let mut next = || numbers.next().flatten().unwrap_or_default();
    Revisions { declared: next(), evacuations: next(), targets: next() }
}
