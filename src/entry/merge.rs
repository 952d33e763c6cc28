//! Rules by which a copy of the store's objects changes.
//!
//! Statements of an object come from watches and listings of the store and from other hosts, in any
//! order and any number of times. They are ordered by the revision of the state that they are about:
//! a state is newer than another one if its revision is higher, and the end of a state is newer than
//! the state. So a removal ends the state that it names and earlier ones, never one created later,
//! whatever the revision of the message that carried it. The revision of a restored store is above
//! all those before, see `StorePoint`.
//!
//! A copy that contains all changes up to a revision drops writes up to it: it holds them, or knows
//! what has become of them. Only a message that is complete up to a revision raises it. What the store
//! itself says of an object at that revision or a later one stands against what the copy concluded
//! from messages of other hosts.

use std::collections::BTreeSet;

use bytes::Bytes;

use super::{
    store_objects::{BucketDigests, Difference, PartObjects, RawObject, RemovedObject, bucket},
    sync::PartDiff,
};
use crate::prelude::*;

/// A write or removal that a watch of the store reported.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Statement {
    Removed(RemovedObject),
    Written(RawObject),
}

/// A change of a copy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ObjectChange {
    Removed(Arc<str>),
    Written { name: Arc<str>, bytes: Bytes },
}

impl Statement {
    fn name(&self) -> &Arc<str> {
        match self {
            Self::Removed(removed) => &removed.name,
            Self::Written(object) => &object.name,
        }
    }
}

impl PartObjects {
    /// Applies what a watch reported: all writes and removals since an earlier revision up to
    /// `until`. Returns what changed.
    pub fn merge_changes(&mut self, statements: Vec<Statement>, until: u64) -> Vec<ObjectChange> {
        let known = self.revision();
        let last: BTreeMap<Arc<str>, usize> =
            statements.iter().enumerate().map(|(at, it)| (it.name().clone(), at)).collect();
        let change = |(at, statement): (usize, Statement)| match statement {
            Statement::Removed(removed) => self.merge_removal(removed, until),
            // The copy may lack it although it is known up to a later revision, by another host's word.
            Statement::Written(object) if known <= until && last.get(&object.name) == Some(&at) => {
                self.merge_existing(object, until)
            }
            Statement::Written(object) if object.revision <= known => None,
            Statement::Written(object) => self.merge_write(object),
        };
        let changes = statements.into_iter().enumerate().filter_map(change).collect();
        self.record_changes_until(until);
        changes
    }

    /// Applies a listing of the store at `revision` that ended early: what it lacks stays. Returns what
    /// changed.
    pub fn merge_partial_listing(
        &mut self,
        objects: Vec<RawObject>,
        revision: u64,
    ) -> Vec<ObjectChange> {
        if revision < self.revision() {
            return Vec::new();
        }
        let changes = objects
            .into_iter()
            .filter_map(|object| self.merge_existing(object, revision))
            .collect();
        self.record_unlisted(revision);
        self.restart_history(revision);
        changes
    }

    /// Applies a complete listing of the store at `revision`. Returns whether it was applied; one
    /// that is older than this copy is not.
    pub fn merge_listing(&mut self, objects: Vec<RawObject>, revision: u64) -> bool {
        if revision < self.revision() {
            return false;
        }
        let listed: BTreeSet<&Arc<str>> = objects.iter().map(|object| &object.name).collect();
        self.end_missing(|name| !listed.contains(name), revision);
        for object in objects {
            self.merge_existing(object, revision);
        }
        // A listing doesn't show objects that were created and removed since the one before.
        self.restart_history(revision);
        self.record_revision(revision);
        true
    }

    /// Applies what another host sent; `compared` are the digests of this copy that it was sent, if
    /// any. Returns what changed; `None` if this copy knows as much.
    pub fn merge_difference(
        &mut self,
        diff: &PartDiff,
        compared: Option<&BucketDigests>,
    ) -> Option<Vec<ObjectChange>> {
        let known = self.revision();
        if diff.revision < known || (diff.revision == known && compared.is_none()) {
            return None;
        }
        let Difference { changed, removed, complete_buckets } = &diff.difference;
        let is_complete = compared.is_some_and(|digests| {
            self.changed_buckets(digests).all(|at| complete_buckets.contains(&at))
        });
        let removed = removed.iter().cloned();
        let mut changes: Vec<ObjectChange> =
            removed.filter_map(|removed| self.merge_removal(removed, diff.revision)).collect();
        if !complete_buckets.is_empty() {
            let sent: BTreeSet<&Arc<str>> = changed.iter().map(|object| &object.name).collect();
            let is_missing =
                |name: &Arc<str>| complete_buckets.contains(&bucket(name)) && !sent.contains(name);
            changes.extend(self.end_missing(is_missing, diff.revision));
        }
        changes.extend(changed.iter().cloned().filter_map(|object| self.merge_write(object)));
        if compared.is_some() || !complete_buckets.is_empty() {
            // Digests don't show objects that were created and removed since.
            self.restart_history(diff.revision);
        }
        // What this copy received after it sent its digests was not compared. Without a comparison,
        // it may have lacked more than was sent.
        if is_complete || compared.is_none() && self.digest() == diff.digest {
            self.record_revision(diff.revision);
        }
        Some(changes)
    }

    /// Applies an object that exists in the store at a revision, whatever was said earlier of its end.
    fn merge_existing(&mut self, object: RawObject, revision: u64) -> Option<ObjectChange> {
        let RawObject { name, revision: written, bytes } = object;
        let is_newer = self.revision_of(&name).is_none_or(|held| held < written);
        if !is_newer || self.was_removed_after(&name, revision) {
            return None;
        }
        self.insert(name.clone(), written, bytes.clone());
        Some(ObjectChange::Written { name, bytes })
    }

    /// Applies a write, unless this copy holds that state or a newer one or knows that it has ended.
    fn merge_write(&mut self, object: RawObject) -> Option<ObjectChange> {
        let RawObject { name, revision, bytes } = object;
        let newest = self.revision_of(&name).or(self.ended_until(&name));
        if newest.is_some_and(|newest| revision <= newest) {
            return None;
        }
        self.insert(name.clone(), revision, bytes.clone());
        Some(ObjectChange::Written { name, bytes })
    }

    /// Applies a removal that had taken place by the revision `known_at`, unless this copy holds a
    /// later state.
    fn merge_removal(&mut self, removed: RemovedObject, known_at: u64) -> Option<ObjectChange> {
        let RemovedObject { name, ended } = removed;
        let held = self.revision_of(&name);
        if held.is_some_and(|held| ended < held)
            || self.ended_until(&name).is_some_and(|known| ended <= known)
        {
            return None;
        }
        // The removal is remembered without the object too, for hosts that hold it.
        self.remove(&name, ended, known_at);
        held.map(|_| ObjectChange::Removed(name))
    }

    /// Removes the objects that a complete message at `revision` lacks, but for those that were
    /// written after it.
    fn end_missing(
        &mut self,
        is_missing: impl Fn(&Arc<str>) -> bool,
        revision: u64,
    ) -> Vec<ObjectChange> {
        let missing = self.names().filter(|(name, held)| *held <= revision && is_missing(name));
        let missing: Vec<Arc<str>> = missing.map(|(name, _)| name.clone()).collect();
        let remove = |name: Arc<str>| {
            self.remove(&name, revision, revision);
            ObjectChange::Removed(name)
        };
        missing.into_iter().map(remove).collect()
    }
}
