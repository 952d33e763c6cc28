//! The drains that one host knows.

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

/// Most drains held, those taken back included.
const MAX_RECORDS: usize = 1000;

/// All drains of the member, as this host knows them.
#[derive(Clone, Debug)]
pub struct DrainSet {
    own: HostId,
    /// What the platform held when it was last asked.
    platform: Option<Vec<DrainRecord>>,
    records: BTreeMap<DrainId, DrainRecord>,
    /// Why each drain that waits does so.
    waits: BTreeMap<DrainId, Arc<str>>,
}

impl DrainSet {
    /// A host without drains.
    pub fn new(own: HostId) -> Self {
        Self { own, platform: None, records: BTreeMap::new(), waits: BTreeMap::new() }
    }

    /// Takes an operator's order. The same order again, after its answer was lost, gives the same
    /// drain.
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
        let rival = self.active().find(|record| record.scope == order.scope);
        if let Some(DrainRecord { by, id, .. }) = rival {
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

    /// Takes drains back: the one of that id, else all of that scope.
    pub fn undrain(&mut self, order: UndrainOrder, at: HybridTime) -> Result<Vec<DrainRecord>> {
        if let Some(id) = &order.id {
            let undone = self.records.get(id).and_then(|record| record.undone.as_ref());
            if let Some(Undrain { by, .. }) = undone {
                return Err(DrainError::AlreadyUndone { by: by.to_string(), id: id.clone() });
            }
        }
        let meant = |record: &&mut DrainRecord| {
            let by_id = order.id.as_ref().is_none_or(|id| *id == record.id);
            record.is_active() && record.scope == order.scope && by_id
        };
        let mut taken_back = Vec::new();
        for record in self.records.values_mut().filter(meant) {
            record.undone = Some(Undrain { at, by: order.by.clone() });
            taken_back.push(record.clone());
        }
        if taken_back.is_empty() {
            return Err(DrainError::NotDrained);
        }
        Ok(taken_back)
    }

    /// Takes over what a peer or the platform holds; says whether anything is new.
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

    /// Takes over what the platform holds after `settle`.
    pub fn record_platform_copy(&mut self, held: Vec<DrainRecord>, wall_millis: u64) -> bool {
        let changed = self.merge(&held, wall_millis);
        self.platform = Some(held);
        changed
    }

    /// Starts the drains that wait and now have room. Only the host that took the order decides,
    /// or, if it is gone, the first of the live ones, so that two hosts do not start two drains
    /// into the same room. `live` holds all live hosts, sorted. Says whether anything started.
    pub fn start_waiting(
        &mut self,
        manifest: &Manifest,
        loads: &[ServiceLoad],
        live: &[HostId],
        at: HybridTime,
    ) -> bool {
        self.waits.clear();
        let mut in_force = self.in_force();
        let mut started = false;
        let waiting = |record: &&mut DrainRecord| record.is_active() && record.started.is_none();
        let mut waiting: Vec<_> = self.records.values_mut().filter(waiting).collect();
        waiting.sort_by(|a, b| (a.at, &a.id).cmp(&(b.at, &b.id)));
        for record in waiting {
            if let Some(why) = wait_reason(&record.scope, &in_force, manifest, loads) {
                self.waits.insert(record.id.clone(), why);
                continue;
            }
            let taker_gone = !live.is_empty() && !live.contains(&record.taken_by);
            let decides =
                record.taken_by == self.own || (taker_gone && live.first() == Some(&self.own));
            if decides {
                record.started = Some(at);
                in_force.insert(record.scope.clone());
                started = true;
            }
        }
        started
    }

    /// Ends the drains that a newer manifest has taken over or made pointless; says whether any.
    pub fn reconcile(&mut self, manifest: &Manifest, at: HybridTime) -> bool {
        let mut changed = false;
        let by: Arc<str> = format!("manifest {}", manifest.sequence).into();
        for record in self.records.values_mut() {
            if !record.is_active() || manifest.sequence <= record.under {
                continue;
            }
            let listed = manifest.drains.contains(&record.scope);
            if listed || check_scope(&record.scope, manifest).is_err() {
                record.undone = Some(Undrain { at, by: by.clone() });
                changed = true;
            }
        }
        changed
    }

    /// Forgets drains that were taken back long ago.
    pub fn purge_tombstones(&mut self, wall_millis: u64) {
        self.records.retain(|_, record| !record.is_expired_tombstone(wall_millis));
    }

    /// Every drain, those taken back included, sorted by id.
    pub fn records(&self) -> Vec<DrainRecord> {
        self.records.values().cloned().collect()
    }

    /// Drains that nobody took back, sorted by id.
    pub fn active(&self) -> impl Iterator<Item = &DrainRecord> {
        self.records.values().filter(|record| record.is_active())
    }

    /// What gets no new work now.
    pub fn in_force(&self) -> BTreeSet<DrainScope> {
        let in_force = self.records.values().filter(|record| record.is_in_force());
        in_force.map(|record| record.scope.clone()).collect()
    }

    /// Why a drain waits.
    pub fn wait_reason(&self, id: &str) -> Option<&Arc<str>> {
        self.waits.get(id)
    }

    /// One drain.
    pub fn get(&self, id: &str) -> Option<&DrainRecord> {
        self.records.get(id)
    }

    /// Whether the platform may lack something that this host holds.
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
