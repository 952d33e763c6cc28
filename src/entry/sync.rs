//! What hosts tell each other of the store's objects.
//!
//! Few hosts watch the store, since each watch is a call that counts; the others learn of changes
//! from them, and so does a host that can't reach the store.

use std::collections::BTreeSet;

use bytes::Bytes;
use reqwest::Client;

use super::{Part, Revisions};
use crate::prelude::*;

/// Path of the state on the control listener.
pub const STATE_PATH: &str = "/state";

/// Longest time for a whole answer; between regions a change of the largest size takes a third.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of asking another host.
pub type Result<T> = std::result::Result<T, reqwest::Error>;

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

/// Asks other hosts.
#[derive(Clone)]
pub struct PeerClient {
    client: Client,
}

impl PeerClient {
    /// A client that keeps no connections: it is seldom needed.
    pub fn open() -> Result<Self> {
        let client = Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(0)
            .redirect(reqwest::redirect::Policy::none())
            .timeout(FETCH_TIMEOUT)
            .build()?;
        Ok(Self { client })
    }

    /// Asks the host at `addr` for what is newer than `since`.
    pub async fn ask(&self, addr: SocketAddr, since: Revisions) -> Result<Difference> {
        let Revisions { declared, evacuations, targets } = since;
        let url = format!("http://{addr}{STATE_PATH}?{declared}-{evacuations}-{targets}");
        self.client.get(url).send().await?.error_for_status()?.json().await
    }
}

/// The versions that a question names; none of them if it names none.
pub fn since(query: Option<&str>) -> Revisions {
    let mut numbers = query.unwrap_or_default().split('-').map(|number| number.parse().ok());
    let mut next = || numbers.next().flatten().unwrap_or_default();
    Revisions { declared: next(), evacuations: next(), targets: next() }
}
