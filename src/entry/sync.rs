//! Exchange of the store's objects between hosts.
//!
//! Only a few hosts watch the store, since each watch counts as a call against its rate limit. The
//! other hosts get changes from them, and so does a host that cannot reach the store.

use std::io::{self, Read, Write};

use bytes::Bytes;
use flate2::{Compression, read::GzDecoder, write::GzEncoder};
use reqwest::{Client, StatusCode};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Revisions, StorePart,
    store_objects::{BucketDigests, Difference, PartObjects, StoreObjects},
};
use crate::{
    base::{BodyError, read_bounded},
    prelude::*,
};

/// Path of the state on the control listener.
pub const STATE_PATH: &str = "/state";

/// Timeout of a query, including the whole response. The largest change takes a third of it between
/// regions.
pub const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of responses that one host sends concurrently: on a slow link, more would miss the
/// timeout. A host that is rejected queries another host that has got a response.
pub const MAX_CONCURRENT_RESPONSES: usize = 8;

/// Timeout of a query by a host without any state, including the whole response. The state of ten
/// thousand targets takes a third of it on a slow link.
pub const FULL_QUERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of whole states that a host sends concurrently, for each tenth of a core that it may use,
/// and at least. More would miss the timeout on the slow link of a small host.
const FULL_RESPONSES_PER_TENTH: usize = 1;
const MIN_FULL_RESPONSES: usize = 2;

/// Size limit of one decompressed part: the entries of 40,000 targets. It protects the memory of
/// small hosts from a damaged response.
const MAX_DECOMPRESSED_BYTES: u64 = 16 * 1024 * 1024;

/// Size limit of an encoded response, with its parts as they are compressed.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Size limit of an encoded query. One with the digests of all parts takes 4 KiB.
pub const MAX_QUERY_BYTES: usize = 16 * 1024;

/// Size from which a part is compressed. Compressing takes more time than it saves below it.
const MIN_COMPRESSED_BYTES: usize = 512;

/// Version of the encoding of queries and responses. Others are rejected.
const ENCODING: u32 = 0x6c70_0004;

/// Number of whole states that a host with a capacity in hundredths of a core sends concurrently.
pub fn max_full_responses(capacity: u16) -> usize {
    (usize::from(capacity) / 10 * FULL_RESPONSES_PER_TENTH)
        .clamp(MIN_FULL_RESPONSES, MAX_CONCURRENT_RESPONSES)
}

/// Result of querying another host.
pub type Result<T> = std::result::Result<T, QueryError>;

/// Why a query to another host failed.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    #[error("the host is at its limit of concurrent responses")]
    Busy,
    #[error("{0}")]
    Http(#[from] reqwest::Error),
    #[error("{0}")]
    Body(#[from] BodyError),
    #[error("cannot decode the response: {0}")]
    Decode(#[from] io::Error),
}

/// What a host asks for.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Query {
    /// Revisions up to which it knows the parts.
    pub since: Revisions,
    /// Digests of the parts of which it wants all that differs.
    pub digests: Vec<(StorePart, BucketDigests)>,
}

impl Query {
    /// Asks for the changes since the given revisions.
    pub fn since(since: Revisions) -> Self {
        Self { since, digests: Vec::new() }
    }

    /// Encodes the query.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(&(ENCODING, self)).expect("a query can be encoded")
    }

    /// Decodes another host's query.
    pub fn decode(bytes: &[u8]) -> io::Result<Self> {
        let (encoding, query): (u32, Self) =
            postcard::from_bytes(bytes).map_err(io::Error::other)?;
        if encoding != ENCODING {
            return Err(io::Error::other("unsupported encoding version"));
        }
        Ok(query)
    }

    /// Whether the query asks for the whole state.
    pub fn is_full(&self) -> bool {
        self.since.targets == 0
    }

    /// Time after which a response is too late.
    pub fn timeout(&self) -> Duration {
        if self.is_full() { FULL_QUERY_TIMEOUT } else { QUERY_TIMEOUT }
    }

    /// The digests of a part of which the query wants all that differs.
    pub fn digests_of(&self, part: StorePart) -> Option<&BucketDigests> {
        self.digests.iter().find(|(of, _)| *of == part).map(|(_, digests)| digests)
    }

    /// Whether the query asks for all that differs in the part.
    pub fn compares(&self, part: StorePart) -> bool {
        self.digests_of(part).is_some()
    }
}

/// What the querying host lacks of one part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartDiff {
    pub part: StorePart,
    /// The store's revision up to which the part is known.
    pub revision: u64,
    /// Digest of all objects of the part at that revision.
    pub digest: u64,
    pub difference: Difference,
}

/// A response as it is encoded.
#[derive(Deserialize, Serialize)]
struct EncodedResponse<P> {
    encoding: u32,
    /// Each part is compressed separately.
    parts: Vec<P>,
    /// Parts whose history does not reach back to the queried revision.
    too_old: Vec<StorePart>,
}

/// A received response, and its parts as the sender compressed them.
#[derive(Clone, Debug)]
pub struct ReceivedState {
    pub parts: Vec<PartDiff>,
    /// Parts that have to be queried with digests, because the queried host no longer knows what
    /// was removed since.
    pub too_old: Vec<StorePart>,
    compressed: Vec<Bytes>,
}

impl ReceivedState {
    /// Decodes the response of another host.
    pub fn decode(bytes: &[u8]) -> io::Result<Self> {
        let (response, rest) =
            postcard::take_from_bytes::<EncodedResponse<Bytes>>(bytes).map_err(io::Error::other)?;
        if response.encoding != ENCODING || !rest.is_empty() {
            return Err(io::Error::other("unsupported encoding version or trailing bytes"));
        }
        let EncodedResponse { parts: compressed, too_old, .. } = response;
        let parts = compressed.iter().map(|part| decompress(part)).collect::<io::Result<_>>()?;
        Ok(Self { parts, too_old, compressed })
    }
}

impl PartDiff {
    /// Total size of the changed objects in bytes.
    fn object_bytes(&self) -> u64 {
        self.difference.changed.iter().map(|object| object.bytes.len() as u64).sum()
    }
}

/// First byte of an encoded part.
const PLAIN: u8 = 0;
const COMPRESSED: u8 = 1;

/// Compresses a large part, since a slow link may carry the same change to all hosts of a region at
/// once.
fn compress(diff: &PartDiff) -> io::Result<(Bytes, bool)> {
    let encoded = postcard::to_allocvec(diff).map_err(io::Error::other)?;
    if encoded.len() < MIN_COMPRESSED_BYTES {
        return Ok(([&[PLAIN], &*encoded].concat().into(), false));
    }
    let mut encoder = GzEncoder::new(vec![COMPRESSED], Compression::fast());
    encoder.write_all(&encoded)?;
    Ok((encoder.finish()?.into(), true))
}

fn decompress(bytes: &[u8]) -> io::Result<PartDiff> {
    let decoded = |bytes: &[u8]| postcard::from_bytes(bytes).map_err(io::Error::other);
    match bytes.split_first() {
        Some((&PLAIN, plain)) => decoded(plain),
        Some((&COMPRESSED, compressed)) => {
            let mut plain = Vec::new();
            let read = GzDecoder::new(compressed)
                .take(MAX_DECOMPRESSED_BYTES + 1)
                .read_to_end(&mut plain)?;
            if MAX_DECOMPRESSED_BYTES < read as u64 {
                return Err(io::Error::other("a part exceeds the size limit of 16 MiB"));
            }
            decoded(&plain)
        }
        _ => Err(io::Error::other("a part without a known encoding")),
    }
}

/// Cache of encoded parts for responses to other hosts. Hosts of a region query the same change at
/// the same time but differ in what they know of other parts, so a whole response could rarely be
/// reused.
#[derive(Debug, Default)]
pub struct ResponseCache {
    compressed_bytes: u64,
    parts: BTreeMap<StorePart, CachedPart>,
}

/// The last response for one part.
#[derive(Debug)]
struct CachedPart {
    key: CacheKey,
    encoded: Bytes,
}

/// Identifies what a response contains.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CacheKey {
    /// The changes after the first revision, up to the second.
    Changes(u64, u64),
    /// What differs from buckets with this hash of their digests, at this revision.
    Buckets(u64, u64),
}

impl ResponseCache {
    /// Encodes the response to a query.
    pub fn response(
        &mut self,
        objects: &StoreObjects,
        known: Revisions,
        query: &Query,
    ) -> io::Result<Bytes> {
        let mut response =
            EncodedResponse { encoding: ENCODING, parts: Vec::new(), too_old: Vec::new() };
        for part in StorePart::ALL {
            let (revision, since) = (known.of(part), query.since.of(part));
            let digests = query.digests_of(part).filter(|_| since <= revision);
            if digests.is_none() && revision <= since {
                continue;
            }
            match self.encoded_part(objects.part(part), part, revision, since, digests)? {
                Some(encoded) => response.parts.push(encoded),
                None => response.too_old.push(part),
            }
        }
        Ok(postcard::to_allocvec(&response).map_err(io::Error::other)?.into())
    }

    /// Caches the changes that were received in response to a query, so that they can be forwarded
    /// without being compressed again. `objects` must contain them already.
    pub fn cache_received(
        &mut self,
        received: &ReceivedState,
        part: StorePart,
        objects: &StoreObjects,
        query: &Query,
    ) {
        if query.compares(part) {
            return;
        }
        let parts = received.parts.iter().zip(&received.compressed);
        for (diff, encoded) in parts.filter(|(diff, _)| diff.part == part) {
            let start = objects.part(part).last_change_until(query.since.of(part));
            let key = CacheKey::Changes(start, diff.revision);
            self.parts.insert(part, CachedPart { key, encoded: encoded.clone() });
        }
    }

    /// The encoded part; `None` if the history does not reach back to `since`.
    fn encoded_part(
        &mut self,
        objects: &PartObjects,
        part: StorePart,
        revision: u64,
        since: u64,
        digests: Option<&BucketDigests>,
    ) -> io::Result<Option<Bytes>> {
        if digests.is_none() && !objects.reaches_back_to(since) {
            return Ok(None);
        }
        let key = match digests {
            Some(digests) => CacheKey::Buckets(digests_hash(digests), revision),
            None => CacheKey::Changes(objects.last_change_until(since), revision),
        };
        if let Some(last) = self.parts.get(&part).filter(|last| last.key == key) {
            return Ok(Some(last.encoded.clone()));
        }
        let difference = match digests {
            Some(digests) => objects.difference_from(digests),
            None => match objects.changes_since(since) {
                Some(difference) => difference,
                None => return Ok(None),
            },
        };
        let diff = PartDiff { part, revision, digest: objects.digest(), difference };
        let (encoded, is_compressed) = compress(&diff)?;
        if is_compressed {
            self.compressed_bytes += diff.object_bytes();
        }
        self.parts.insert(part, CachedPart { key, encoded: encoded.clone() });
        Ok(Some(encoded))
    }

    /// Total size, before compression, of the objects that were compressed so far.
    pub fn compressed_bytes(&self) -> u64 {
        self.compressed_bytes
    }
}

fn digests_hash(digests: &BucketDigests) -> u64 {
    let bytes: Vec<u8> = digests.iter().flat_map(|sum| sum.to_le_bytes()).collect();
    xxh3_64(&bytes)
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

    /// Queries the host at `addr`.
    pub async fn query(&self, addr: SocketAddr, query: &Query) -> Result<ReceivedState> {
        let url = format!("http://{addr}{STATE_PATH}");
        let req = self.client.post(url).timeout(query.timeout()).body(query.encode());
        let response = req.send().await?;
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            return Err(QueryError::Busy);
        }
        let response = response.error_for_status()?;
        let body = read_bounded(response, MAX_RESPONSE_BYTES).await?;
        Ok(ReceivedState::decode(&body)?)
    }
}
