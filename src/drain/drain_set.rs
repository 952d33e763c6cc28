//! The set of drains held by one host.

use std::collections::BTreeSet;

use super::{
    capacity::{ServiceLoad, wait_reason},
    error::{DrainError, Result},
    record::{DrainId, DrainRecord, Undrain},
};
use crate::{
    manifest::{DrainScope, Manifest},
    peer::{DrainOrder, UndrainOrder},
    prelude::*,
    timeline::HybridTime,
};

/// Maximum number of records, including tombstones.
const MAX_RECORDS: usize = 1000;

/// All drains of the member, as known to this host.
#[derive(Clone, Debug)]
pub struct DrainSet {
    own: HostId,
    /// The platform's records as of the last synchronization; `None` before the first one.
    platform: Option<Vec<DrainRecord>>,
    records: BTreeMap<DrainId, DrainRecord>,
    /// Why each waiting drain cannot start yet.
    wait_reasons: BTreeMap<DrainId, Arc<str>>,
}

impl DrainSet {
    /// An empty set for the host `own`.
    pub fn new(own: HostId) -> Self {
        Self { own, platform: None, records: BTreeMap::new(), wait_reasons: BTreeMap::new() }
    }

    /// Adds a drain and starts it if there is room. Repeating an order, for example because its
    /// answer was lost, returns the same drain.
    pub fn apply_order(
        &mut self,
        order: DrainOrder,
        at: HybridTime,
        manifest: &Manifest,
        loads: &[ServiceLoad],
    ) -> Result<DrainRecord> {
        if let Some(known) = self.records.get(&order.id) {
            return Ok(known.clone());
        }
        check_scope(&order.scope, manifest)?;
        let existing = self.active().find(|record| record.scope == order.scope);
        if let Some(DrainRecord { by, id, .. }) = existing {
            return Err(DrainError::AlreadyDrained { by: by.to_string(), id: id.clone() });
        }
        if MAX_RECORDS <= self.records.len() {
            return Err(DrainError::TooMany);
        }
        let id = order.id.clone();
        let record = DrainRecord {
            at,
            by: order.by,
            id: order.id,
            scope: order.scope,
            settled: false,
            started: None,
            taken_by: self.own.clone(),
            under: manifest.sequence,
            undone: None,
        };
        self.records.insert(id.clone(), record);
        self.start_waiting(manifest, loads, &[], at);
        Ok(self.records[&id].clone())
    }

    /// Undoes the active drains of the scope: the one with the order's id, or all if it has none.
    pub fn undrain(&mut self, order: UndrainOrder, at: HybridTime) -> Result<Vec<DrainRecord>> {
        if let Some(id) = &order.id {
            let undone = self.records.get(id).and_then(|record| record.undone.as_ref());
            if let Some(Undrain { by, .. }) = undone {
                return Err(DrainError::AlreadyUndone { by: by.to_string(), id: id.clone() });
            }
        }
        let is_selected = |record: &&mut DrainRecord| {
            let by_id = order.id.as_ref().is_none_or(|id| *id == record.id);
            record.is_active() && record.scope == order.scope && by_id
        };
        let mut undone_records = Vec::new();
        for record in self.records.values_mut().filter(is_selected) {
            record.undone = Some(Undrain { at, by: order.by.clone() });
            undone_records.push(record.clone());
        }
        if undone_records.is_empty() {
            return Err(DrainError::NotDrained);
        }
        Ok(undone_records)
    }

    /// Merges records from a peer or the platform. Returns whether anything changed.
    pub fn merge(&mut self, records: &[DrainRecord], wall_millis: u64) -> bool {
        let mut changed = false;
        for record in records.iter().filter(|record| !record.is_expired_tombstone(wall_millis)) {
            let is_full = MAX_RECORDS <= self.records.len();
            if let Some(known) = self.records.get_mut(&record.id) {
                let old = known.clone();
                known.merge(record);
                changed |= *known != old;
            } else if !is_full {
                self.records.insert(record.id.clone(), record.clone());
                changed = true;
            }
        }
        changed
    }

    /// Merges the platform's records after `sync_with_platform`. Returns whether anything changed.
    pub fn record_platform_copy(&mut self, held: Vec<DrainRecord>, wall_millis: u64) -> bool {
        let changed = self.merge(&held, wall_millis);
        self.platform = Some(held);
        changed
    }

    /// Starts the waiting drains for which there is now enough room. Only the host that received
    /// the order decides, or, if it is gone, the first live host; otherwise two hosts could start
    /// two drains that need the same free slots. `live` holds all live hosts, sorted. Returns
    /// whether any drain started.
    pub fn start_waiting(
        &mut self,
        manifest: &Manifest,
        loads: &[ServiceLoad],
        live: &[HostId],
        at: HybridTime,
    ) -> bool {
        self.wait_reasons.clear();
        let mut in_force = self.in_force();
        let mut started = false;
        let waiting = |record: &&mut DrainRecord| record.is_active() && record.started.is_none();
        let mut waiting: Vec<_> = self.records.values_mut().filter(waiting).collect();
        waiting.sort_by(|a, b| (a.at, &a.id).cmp(&(b.at, &b.id)));
        for record in waiting {
            if let Some(reason) = wait_reason(&record.scope, &in_force, manifest, loads) {
                self.wait_reasons.insert(record.id.clone(), reason);
                continue;
            }
            let receiver_gone = !live.is_empty() && !live.contains(&record.taken_by);
            let decides =
                record.taken_by == self.own || (receiver_gone && live.first() == Some(&self.own));
            if decides {
                record.started = Some(at);
                in_force.insert(record.scope.clone());
                started = true;
            }
        }
        started
    }

    /// Ends the drains whose scope a newer manifest lists as drained or no longer contains. Returns
    /// whether any ended.
    pub fn reconcile(&mut self, manifest: &Manifest, at: HybridTime) -> bool {
        let mut changed = false;
        let by: Arc<str> = format!("manifest {}", manifest.sequence).into();
        for record in self.records.values_mut() {
            if !record.is_active() || manifest.sequence <= record.under {
                continue;
            }
            let is_listed = manifest.drains.contains(&record.scope);
            if is_listed || check_scope(&record.scope, manifest).is_err() {
                record.undone = Some(Undrain { at, by: by.clone() });
                changed = true;
            }
        }
        changed
    }

    /// Deletes the records of drains that were undone long ago.
    pub fn purge_tombstones(&mut self, wall_millis: u64) {
        self.records.retain(|_, record| !record.is_expired_tombstone(wall_millis));
    }

    /// All records, including tombstones, sorted by id.
    pub fn records(&self) -> Vec<DrainRecord> {
        self.records.values().cloned().collect()
    }

    /// Drains that have not been undone, sorted by id.
    pub fn active(&self) -> impl Iterator<Item = &DrainRecord> {
        self.records.values().filter(|record| record.is_active())
    }

    /// Scopes that get no new requests now.
    pub fn in_force(&self) -> BTreeSet<DrainScope> {
        let in_force = self.records.values().filter(|record| record.is_in_force());
        in_force.map(|record| record.scope.clone()).collect()
    }

    /// Why a drain waits; `None` if it does not.
    pub fn wait_reason(&self, id: &str) -> Option<&Arc<str>> {
        self.wait_reasons.get(id)
    }

    pub fn get(&self, id: &str) -> Option<&DrainRecord> {
        self.records.get(id)
    }

    /// Whether the platform may lack records that this host holds.
    pub fn needs_sync(&self) -> bool {
        match &self.platform {
            Some(held) => !held.iter().eq(self.records.values()),
            None => !self.records.is_empty(),
        }
    }
}

fn check_scope(scope: &DrainScope, manifest: &Manifest) -> Result<()> {
    let known = match scope {
        DrainScope::Host(_) => true,
        DrainScope::Region(name) => manifest.regions.iter().any(|region| region.name == *name),
        DrainScope::Target(name) => {
            let targets = manifest.services.iter().flat_map(|service| &service.targets);
            targets.into_iter().any(|target| target.name == *name)
        }
        DrainScope::Zone(name) => manifest.region_of(name).is_some(),
    };
    let kind = match scope {
        DrainScope::Host(_) => "host",
        DrainScope::Region(_) => "region",
        DrainScope::Target(_) => "target",
        DrainScope::Zone(_) => "zone",
    };
    if known { Ok(()) } else { Err(DrainError::UnknownScope(kind)) }
}
