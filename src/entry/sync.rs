//! What one host tells another that can't reach the store: everything that it knows.

use bytes::Bytes;

use super::control::Part;
use crate::prelude::*;

/// Path of the state on the control listener.
pub const STATE_PATH: &str = "/state";

/// Longest time for a whole answer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of asking another host.
pub type Result<T> = std::result::Result<T, reqwest::Error>;

/// The objects that a host has read, as they lie in the store.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    objects: Vec<Object>,
    /// The store's version of the newest of them.
    pub revision: u64,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct Object {
    name: Arc<str>,
    part: Part,
    /// Objects are texts; one that is none could not be read anyway.
    text: Arc<str>,
}

impl Snapshot {
    /// Of objects by part and name.
    pub fn of(raw: &BTreeMap<(Part, Arc<str>), Bytes>, revision: u64) -> Self {
        let object = |((part, name), bytes): (&(Part, Arc<str>), &Bytes)| Object {
            name: name.clone(),
            part: *part,
            text: String::from_utf8_lossy(bytes).into(),
        };
        Self { objects: raw.iter().map(object).collect(), revision }
    }

    /// Version and objects, each part whole.
    pub fn into_parts(self) -> (u64, Vec<(Part, Vec<(Arc<str>, Bytes)>)>) {
        let mut parts = vec![
            (Part::Declared, Vec::new()),
            (Part::Evacuations, Vec::new()),
            (Part::Targets, Vec::new()),
        ];
        for Object { name, part, text } in self.objects {
            let bytes = Bytes::copy_from_slice(text.as_bytes());
            if let Some((_, objects)) = parts.iter_mut().find(|(kind, _)| *kind == part) {
                objects.push((name, bytes));
            }
        }
        (self.revision, parts)
    }
}

/// Asks a host.
pub async fn fetch(addr: SocketAddr) -> Result<Snapshot> {
    let client = reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .timeout(FETCH_TIMEOUT)
        .build()?;
    let answer = client.get(format!("http://{addr}{STATE_PATH}")).send().await?;
    answer.error_for_status()?.json().await
}
