//! The store's objects as this host received them, with what other hosts need to get only the
//! changes that they lack.
//!
//! Load pattern: each of a thousand hosts asks for the changes since its revision several times a
//! second, of ten thousand objects. A history by revision makes an answer cost what has changed.
//! It also holds removals; where it doesn't reach back far enough, digests of buckets of names
//! find what differs. `merge` has the rules by which a copy changes.

use std::collections::BTreeSet;

use bytes::Bytes;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{Revisions, StorePart};
use crate::prelude::*;

/// Number of buckets into which the names of a part are divided. With ten thousand objects, one
/// differing bucket holds about forty.
const BUCKETS: usize = 256;

/// Maximum number of removals remembered in one part; limits memory to about 200 KiB. A host that
/// lacks earlier ones compares digests instead.
const MAX_REMOVALS: usize = 4_096;

/// Digests of the objects in each bucket of a part.
pub type BucketDigests = Vec<u32>;

/// An object of the store, not decoded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RawObject {
    pub name: Arc<str>,
    /// The store's revision of its last change.
    pub revision: u64,
    pub bytes: Bytes,
}

/// A removal of an object. It ends the states of the object up to a revision, and no later ones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RemovedObject {
    pub name: Arc<str>,
    /// The store's revision of the last state that is known to have ended.
    pub ended: u64,
}

/// What a host lacks of one part.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Difference {
    /// Objects that were written.
    pub changed: Vec<RawObject>,
    /// Objects that were removed.
    pub removed: Vec<RemovedObject>,
    /// Buckets of which `changed` contains all objects. Others have been removed, unless they were
    /// written after the revision up to which the sender knows the part.
    pub complete_buckets: Vec<u8>,
}

/// The objects of one part.
#[derive(Clone, Debug)]
pub struct PartObjects {
    by_name: BTreeMap<Arc<str>, (u64, Bytes)>,
    digests: [u32; BUCKETS],
    /// Names of existing and of removed objects by the revision of their last change.
    history: BTreeSet<(u64, Arc<str>)>,
    /// The history contains all removals after this revision.
    history_start: u64,
    removed: BTreeMap<Arc<str>, Removal>,
    /// The store's revision up to which this copy contains all changes.
    revision: u64,
    /// Revision of the last listing that ended early; 0 if there is none. While it is above `revision`,
    /// objects may be missing that were written between the two.
    unlisted_until: u64,
}

/// A remembered removal.
#[derive(Clone, Copy, Debug)]
struct Removal {
    /// Revision of the last state that is known to have ended.
    ended: u64,
    /// Revision by which the removal had taken place. Hosts that know the part up to it lack
    /// nothing.
    known_at: u64,
}

impl Default for PartObjects {
    fn default() -> Self {
        Self {
            by_name: BTreeMap::new(),
            digests: [0; BUCKETS],
            history: BTreeSet::new(),
            history_start: 0,
            removed: BTreeMap::new(),
            revision: 0,
            unlisted_until: 0,
        }
    }
}

impl PartObjects {
    /// The store's revision up to which this copy contains all changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records that this copy contains all changes up to a revision.
    pub fn record_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Records that this copy contains all changes since the last ones that it received, up to a
    /// revision.
    pub fn record_changes_until(&mut self, revision: u64) {
        if !self.lacks_objects() {
            self.record_revision(revision);
        }
    }

    /// Whether objects may be missing, because a listing ended early. Until they are known, the revision
    /// stays, and other hosts get nothing of the part: they would take the missing ones for removed.
    pub fn lacks_objects(&self) -> bool {
        self.revision < self.unlisted_until
    }

    /// Records that a listing at a revision ended early.
    pub fn record_unlisted(&mut self, revision: u64) {
        self.unlisted_until = self.unlisted_until.max(revision);
    }

    /// Records that a watch must have shown by now what listings could not read.
    pub fn forget_unlisted(&mut self) {
        self.unlisted_until = 0;
    }

    /// Adds or replaces an object.
    pub fn insert(&mut self, name: Arc<str>, revision: u64, bytes: Bytes) {
        self.forget(&name);
        self.add_to_digest(&name, revision);
        self.history.insert((revision, name.clone()));
        self.by_name.insert(name, (revision, bytes));
    }

    /// Removes an object and remembers that its states up to `ended` no longer exist. That was so
    /// at the revision `known_at`.
    pub fn remove(&mut self, name: &Arc<str>, ended: u64, known_at: u64) {
        self.forget(name);
        self.history.insert((known_at, name.clone()));
        self.removed.insert(name.clone(), Removal { ended, known_at });
        while MAX_REMOVALS < self.removed.len() {
            self.forget_oldest_removal();
        }
    }

    /// Revision of an object; `None` if it does not exist.
    pub fn revision_of(&self, name: &str) -> Option<u64> {
        self.by_name.get(name).map(|(revision, _)| *revision)
    }

    /// Revision up to which the states of an object are known to have ended; `None` if it exists or
    /// its removal is not remembered.
    pub fn ended_until(&self, name: &str) -> Option<u64> {
        self.removed.get(name).map(|removal| removal.ended)
    }

    /// Whether an object may have been removed after a revision.
    pub fn was_removed_after(&self, name: &str, revision: u64) -> bool {
        self.removed.get(name).is_some_and(|removal| revision < removal.known_at)
    }

    /// Names and revisions of all objects.
    pub fn names(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.by_name.iter().map(|(name, (revision, _))| (name, *revision))
    }

    /// Records that removals up to `revision` may be missing from the history: a listing doesn't
    /// show objects that were created and removed since the one before.
    pub fn restart_history(&mut self, revision: u64) {
        self.history_start = self.history_start.max(revision);
    }

    /// Whether the history contains all changes after `since`, or `since` is before the first one.
    pub fn reaches_back_to(&self, since: u64) -> bool {
        since == 0 || self.history_start <= since
    }

    /// What a host lacks that knows the changes up to `since`; `None` if the history doesn't reach
    /// back so far.
    pub fn changes_since(&self, since: u64) -> Option<Difference> {
        if !self.reaches_back_to(since) {
            return None;
        }
        if since == 0 {
            return Some(self.everything());
        }
        let mut difference = Difference::default();
        for (revision, name) in self.history.range((since + 1, "".into())..) {
            match self.by_name.get(name) {
                Some((_, bytes)) => {
                    let (name, revision, bytes) = (name.clone(), *revision, bytes.clone());
                    difference.changed.push(RawObject { name, revision, bytes });
                }
                None => {
                    let ended = self.ended_until(name).unwrap_or_default();
                    difference.removed.push(RemovedObject { name: name.clone(), ended });
                }
            }
        }
        Some(difference)
    }

    /// What a host lacks whose buckets have these digests.
    pub fn difference_from(&self, digests: &[u32]) -> Difference {
        let complete_buckets: Vec<u8> = self.changed_buckets(digests).collect();
        let is_complete = |name: &str| complete_buckets.binary_search(&bucket(name)).is_ok();
        let changed = self.all().filter(|object| is_complete(&object.name)).collect();
        Difference { changed, removed: Vec::new(), complete_buckets }
    }

    fn everything(&self) -> Difference {
        let complete_buckets = (0..BUCKETS).map(|at| at as u8).collect();
        Difference { changed: self.all().collect(), removed: Vec::new(), complete_buckets }
    }

    /// All objects.
    pub fn all(&self) -> impl Iterator<Item = RawObject> {
        self.by_name.iter().map(|(name, (revision, bytes))| RawObject {
            name: name.clone(),
            revision: *revision,
            bytes: bytes.clone(),
        })
    }

    /// Digests of all buckets, for a host that answers with what differs.
    pub fn digests(&self) -> BucketDigests {
        self.digests.to_vec()
    }

    /// Buckets whose digests are no longer these.
    pub fn changed_buckets(&self, digests: &[u32]) -> impl Iterator<Item = u8> {
        (0..BUCKETS).filter(|at| digests.get(*at) != Some(&self.digests[*at])).map(|at| at as u8)
    }

    /// Digest of all objects. It is equal where all names and revisions are.
    pub fn digest(&self) -> u64 {
        let bytes: Vec<u8> = self.digests.iter().flat_map(|sum| sum.to_le_bytes()).collect();
        xxh3_64(&bytes)
    }

    /// The last revision in the history up to `since`. Hosts for which it is equal, and to which the
    /// history reaches back, lack the same.
    pub fn last_change_until(&self, since: u64) -> u64 {
        let until = ..(since + 1, "".into());
        self.history.range(until).next_back().map_or(0, |(revision, _)| *revision)
    }

    /// Removes a name from objects and history.
    fn forget(&mut self, name: &Arc<str>) {
        if let Some((revision, _)) = self.by_name.remove(name) {
            self.history.remove(&(revision, name.clone()));
            self.subtract_from_digest(name, revision);
        }
        if let Some(removal) = self.removed.remove(name) {
            self.history.remove(&(removal.known_at, name.clone()));
        }
    }

    fn forget_oldest_removal(&mut self) {
        let oldest = self.removed.iter().min_by_key(|(_, removal)| removal.known_at);
        let oldest = oldest.map(|(name, removal)| (name.clone(), removal.known_at));
        let Some((name, known_at)) = oldest else { return };
        self.forget(&name);
        self.restart_history(known_at);
    }

    fn add_to_digest(&mut self, name: &str, revision: u64) {
        let sum = &mut self.digests[usize::from(bucket(name))];
        *sum = sum.wrapping_add(object_digest(name, revision));
    }

    fn subtract_from_digest(&mut self, name: &str, revision: u64) {
        let sum = &mut self.digests[usize::from(bucket(name))];
        *sum = sum.wrapping_sub(object_digest(name, revision));
    }
}

/// The bucket of a name.
pub fn bucket(name: &str) -> u8 {
    xxh3_64(name.as_bytes()) as u8
}

fn object_digest(name: &str, revision: u64) -> u32 {
    xxh3_64_with_seed(name.as_bytes(), revision) as u32
}

/// The objects of all parts.
#[derive(Clone, Debug, Default)]
pub struct StoreObjects {
    declared: PartObjects,
    evacuations: PartObjects,
    targets: PartObjects,
}

impl StoreObjects {
    /// The store's revisions up to which each part is known.
    pub fn revisions(&self) -> Revisions {
        Revisions {
            declared: self.declared.revision,
            evacuations: self.evacuations.revision,
            targets: self.targets.revision,
        }
    }

    /// The revisions up to which other hosts can get each part from this one; 0 for a part that lacks
    /// objects.
    pub fn served_revisions(&self) -> Revisions {
        let served = |part: &PartObjects| if part.lacks_objects() { 0 } else { part.revision };
        Revisions {
            declared: served(&self.declared),
            evacuations: served(&self.evacuations),
            targets: served(&self.targets),
        }
    }

    /// The objects of one part.
    pub fn part(&self, part: StorePart) -> &PartObjects {
        match part {
            StorePart::Declared => &self.declared,
            StorePart::Evacuations => &self.evacuations,
            StorePart::Targets => &self.targets,
        }
    }

    /// The objects of one part, to be changed.
    pub fn part_mut(&mut self, part: StorePart) -> &mut PartObjects {
        match part {
            StorePart::Declared => &mut self.declared,
            StorePart::Evacuations => &mut self.evacuations,
            StorePart::Targets => &mut self.targets,
        }
    }
}
