//! Operators' drains: ordered here or received from peers, applied, and synced with the platform.

use xtra::WeakAddress;

use super::{
    actor::ControlActor,
    exchange::unix_time_ms,
    messages::{DrainResult, StartDrain, UndoDrains, UndrainResult},
};
use crate::{
    drain::{DrainError, DrainRecord, object_key, sync_with_platform},
    manifest::DrainScope,
    peer::PeerError,
    prelude::*,
};

/// The platform's copy of the drains after a sync; `None` if the sync failed.
#[derive(Debug)]
pub struct DrainsSynced(pub Option<Vec<DrainRecord>>);

impl ControlActor {
    /// Starts waiting drains that may start, updates their progress, and syncs them with the
    /// platform.
    pub(super) fn tick_drains(&mut self, address: &WeakAddress<Self>) {
        self.drains.purge_tombstones(unix_time_ms());
        self.start_drains();
        self.observe_drains();
        if self.should_sync_drains() && self.drains.needs_sync() && !self.syncing_drains {
            self.sync_drains(address);
        }
    }

    /// Only the platform watchers of each zone and the host that accepted an order sync drains. If
    /// all hosts did, one drain would cost the platform a read and a write for each host of the
    /// fleet.
    fn should_sync_drains(&self) -> bool {
        let own = &self.deps.membership.own().id;
        self.is_platform_watcher() || self.drains.active().any(|record| record.taken_by == *own)
    }

    /// Reconciles the drains with the manifest in force and starts those that may start.
    pub(super) fn start_drains(&mut self) {
        let Some((manifest, _)) = self.deps.store.current() else { return };
        let at = self.deps.recorder.stamp();
        let hosts = self.deps.membership.hosts(self.now());
        let live: Vec<HostId> = hosts.into_iter().map(|host| host.id).collect();
        self.drains.reconcile(&manifest, at);
        let loads = self.deps.traffic.with_router(|router, _| router.region_loads());
        self.drains.start_waiting(&manifest, &loads, &live, at);
    }

    fn observe_drains(&mut self) {
        let Some(view) = self.published.clone() else { return };
        let in_flight = self.deps.traffic.with_router(|router, _| router.in_flight_by_target());
        let covers = |scope: &DrainScope, target: &TargetId| {
            let targets = view.manifest.services.iter().flat_map(|service| &service.targets);
            let found = targets.into_iter().find(|known| known.name == *target);
            found.is_some_and(|known| scope.covers(known, &view.manifest))
        };
        let active = self.drains.active().filter(|record| record.is_in_force());
        let counts: Vec<(&DrainRecord, u64)> = active
            .map(|record| {
                let affected = in_flight.iter().filter(|row| covers(&record.scope, &row.target));
                (record, affected.map(|row| u64::from(row.requests)).sum())
            })
            .collect();
        let now = self.now();
        for kind in self.progress.observe(counts, now) {
            self.record(kind);
        }
    }

    fn sync_drains(&mut self, address: &WeakAddress<Self>) {
        self.syncing_drains = true;
        let platform = self.deps.platform.clone();
        let (key, own) = (object_key(&self.deps.member), self.drains.records());
        Self::spawn_call(address.clone(), async move {
            let platform_copy = sync_with_platform(&*platform, &key, &own, unix_time_ms()).await;
            Some(DrainsSynced(platform_copy.ok()))
        });
    }

    /// Publishes an order accepted here to the request handler, the peers and the platform.
    fn announce_drains(&mut self, address: &WeakAddress<Self>) {
        self.update_payload();
        self.publish();
        self.push_to_peers(address);
        self.sync_drains(address);
    }
}

impl xtra::Handler<DrainsSynced> for ControlActor {
    type Return = ();

    async fn handle(&mut self, synced: DrainsSynced, _cx: &mut xtra::Context<Self>) {
        self.syncing_drains = false;
        let Some(platform_copy) = synced.0 else { return };
        if self.drains.record_platform_copy(platform_copy, unix_time_ms()) {
            self.start_drains();
            self.update_payload();
            self.publish();
        }
    }
}

impl xtra::Handler<StartDrain> for ControlActor {
    type Return = DrainResult;

    async fn handle(&mut self, order: StartDrain, cx: &mut xtra::Context<Self>) -> DrainResult {
        let Some((manifest, _)) = self.deps.store.current() else {
            return Err(PeerError::Unavailable("no manifest is in force here yet".into()));
        };
        let at = self.deps.recorder.stamp();
        let loads = self.deps.traffic.with_router(|router, _| router.region_loads());
        let record =
            self.drains.apply_order(order.0, at, &manifest, &loads).map_err(to_peer_error)?;
        self.announce_drains(&cx.mailbox().address());
        Ok(record)
    }
}

impl xtra::Handler<UndoDrains> for ControlActor {
    type Return = UndrainResult;

    async fn handle(&mut self, order: UndoDrains, cx: &mut xtra::Context<Self>) -> UndrainResult {
        let at = self.deps.recorder.stamp();
        let undone = self.drains.undrain(order.0, at).map_err(to_peer_error)?;
        self.announce_drains(&cx.mailbox().address());
        Ok(undone)
    }
}

fn to_peer_error(error: DrainError) -> PeerError {
    PeerError::Conflict(error.to_string())
}
