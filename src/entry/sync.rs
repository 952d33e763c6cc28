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
use reqwest::Client;

use super::{Part, Revisions};
use crate::prelude::*;

/// Path of the state on the control listener.
pub const STATE_PATH: &str = "/state";

/// Longest time for a whole answer; between regions a change of the largest size takes a third.
pub const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest answer once unpacked: twice what a declaration of the store's largest object and the
/// entries of 8,000 targets take.
const UNPACKED_MOST: u64 = 8 * 1024 * 1024;

/// Result of asking another host.
pub type Result<T> = std::result::Result<T, AskError>;

/// Why another host's answer could not be had.
#[derive(Debug, thiserror::Error)]
pub enum AskError {
    #[error("{0}")]
    Http(#[from] reqwest::Error),
    #[error("its answer can't be read: {0}")]
    Unreadable(#[from] io::Error),
}

/// Objects as they lie in the store, with their versions.
pub type RawObjects = BTreeMap<(Part, Arc<str>), (u64, Bytes)>;

/// What a host knows and the asking one does not.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Difference {
    changed: Vec<Object>,
    /// Names of all objects there are: others are gone.
    names: Vec<(Part, Arc<str>)>,
    pub revisions: Revisions,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Object {
    name: Arc<str>,
    part: Part,
    revision: u64,
    /// Objects are texts; one that is none could not be read anyway.
    text: Arc<str>,
}

impl Difference {
    /// What is newer than `since`.
    pub fn of(raw: &RawObjects, revisions: Revisions, since: Revisions) -> Self {
        let newer = raw.iter().filter(|((part, _), (version, _))| since.of(*part) < *version);
        let object =
            |((part, name), (revision, bytes)): (&(Part, Arc<str>), &(u64, Bytes))| Object {
                name: name.clone(),
                part: *part,
                revision: *revision,
                text: String::from_utf8_lossy(bytes).into(),
            };
        Self {
            changed: newer.map(object).collect(),
            names: raw.keys().cloned().collect(),
            revisions,
        }
    }

    /// All objects of one part, of those known before and those that changed.
    pub fn applied(&self, part: Part, known: &RawObjects) -> Vec<(Arc<str>, u64, Bytes)> {
        let names: BTreeSet<&Arc<str>> =
            self.names.iter().filter(|(of, _)| *of == part).map(|(_, name)| name).collect();
        let changed = self.changed.iter().filter(|object| object.part == part);
        let mut all: BTreeMap<Arc<str>, (u64, Bytes)> = known
            .iter()
            .filter(|((of, name), _)| *of == part && names.contains(name))
            .map(|((_, name), object)| (name.clone(), object.clone()))
            .collect();
        for object in changed {
            let bytes = Bytes::copy_from_slice(object.text.as_bytes());
            all.insert(object.name.clone(), (object.revision, bytes));
        }
        all.into_iter().map(|(name, (revision, bytes))| (name, revision, bytes)).collect()
    }
}

impl Difference {
    /// Bytes of the objects in it.
    fn object_bytes(&self) -> u64 {
        self.changed.iter().map(|object| object.text.len() as u64).sum()
    }

    /// As it goes to another host.
    ///
    /// Packed, since links of 10 Mbit/s carry the same change to every host of a region at once:
    /// 450 entries and 1,900 routes take 397,543 bytes plain and 29,171 packed.
    pub fn pack(&self) -> io::Result<Bytes> {
        let mut packer = GzEncoder::new(Vec::new(), Compression::fast());
        serde_json::to_writer(&mut packer, self)?;
        packer.flush()?;
        Ok(packer.finish()?.into())
    }

    /// Reads what another host sent.
    pub fn unpack(bytes: &[u8]) -> io::Result<Self> {
        let unpacked = GzDecoder::new(bytes).take(UNPACKED_MOST);
        Ok(serde_json::from_reader(io::BufReader::new(unpacked))?)
    }
}

/// The last answer to other hosts: those of a region ask the same at the same time.
#[derive(Debug, Default)]
pub struct LastAnswer {
    /// What the question named, and what was known then.
    of: Option<(Revisions, Revisions)>,
    packed: Bytes,
    packed_bytes: u64,
}

impl LastAnswer {
    /// The answer to a host that knows all up to `since`.
    pub fn packed(
        &mut self,
        raw: &RawObjects,
        known: Revisions,
        since: Revisions,
    ) -> io::Result<Bytes> {
        if self.of != Some((since, known)) {
            let difference = Difference::of(raw, known, since);
            self.packed_bytes += difference.object_bytes();
            self.packed = difference.pack()?;
            self.of = Some((since, known));
        }
        Ok(self.packed.clone())
    }

    /// Bytes of objects that were compressed so far.
    pub fn packed_bytes(&self) -> u64 {
        self.packed_bytes
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
    pub async fn ask(&self, addr: SocketAddr, since: Revisions) -> Result<Difference> {
        let Revisions { declared, evacuations, targets } = since;
        let url = format!("http://{addr}{STATE_PATH}?{declared}-{evacuations}-{targets}");
        let answer = self.client.get(url).send().await?.error_for_status()?;
        Ok(Difference::unpack(&answer.bytes().await?)?)
    }
}

/// The versions that a question names; none of them if it names none.
pub fn since(query: Option<&str>) -> Revisions {
    let mut numbers = query.unwrap_or_default().split('-').map(|number| number.parse().ok());
    let mut next = || numbers.next().flatten().unwrap_or_default();
    Revisions { declared: next(), evacuations: next(), targets: next() }
}
