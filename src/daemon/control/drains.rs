//! Operators' drains: ordered here or heard of, in force, settled on the platform.

use xtra::WeakAddress;

use super::{
    actor::Control,
    exchange::wall_millis,
    messages::{DrainAnswer, OrderDrain, OrderUndrain, UndrainAnswer},
};
use crate::{
    drain::{DrainError, DrainRecord, object_key, sync_with_platform},
    manifest::DrainScope,
    peer::PeerError,
    prelude::*,
};

/// What the platform holds of the drains; nothing if it did not answer.
#[derive(Debug)]
pub struct DrainsSettled(pub Option<Vec<DrainRecord>>);

impl Control {
    /// Starts what waited, looks how far drains have come, and settles them on the platform.
    pub(super) fn tick_drains(&mut self, me: &WeakAddress<Self>) {
        self.drains.purge_tombstones(wall_millis());
        self.start_drains();
        self.observe_drains();
        if self.settles_drains() && self.drains.needs_sync() && !self.settling {
            self.settle_drains(me);
        }
    }

    /// Relays settle drains for their zones, and the host that took an order does so at once: if all
    /// hosts did, one drain would cost the platform a read and a write of each host of the fleet.
    fn settles_drains(&self) -> bool {
        let own = &self.parts.membership.own().id;
        self.is_relay() || self.drains.active().any(|record| record.taken_by == *own)
    }

    /// Takes the manifest in force into account and starts the drains that may start.
    pub(super) fn start_drains(&mut self) {
        let Some((manifest, _)) = self.parts.store.current() else { return };
        let at = self.parts.recorder.stamp();
        let hosts = self.parts.membership.hosts(self.now());
        let live: Vec<HostId> = hosts.into_iter().map(|host| host.id).collect();
        self.drains.reconcile(&manifest, at);
        let loads = self.parts.traffic.with_steer(|steer, _| steer.region_loads());
        self.drains.start_waiting(&manifest, &loads, &live, at);
    }

    fn observe_drains(&mut self) {
        let Some(view) = self.shown.clone() else { return };
        let busy = self.parts.traffic.with_steer(|steer, _| steer.in_flight_by_target());
        let drained = |scope: &DrainScope, target: &TargetId| {
            let targets = view.manifest.services.iter().flat_map(|service| &service.targets);
            let found = targets.into_iter().find(|known| known.name == *target);
            found.is_some_and(|known| scope.covers(known, &view.manifest))
        };
        let active = self.drains.active().filter(|record| record.is_in_force());
        let seen: Vec<(&DrainRecord, u64)> = active
            .map(|record| {
                let on = busy.iter().filter(|busy| drained(&record.scope, &busy.target));
                (record, on.map(|busy| u64::from(busy.requests)).sum())
            })
            .collect();
        let now = self.now();
        for kind in self.progress.observe(seen, now) {
            self.note(kind);
        }
    }

    fn settle_drains(&mut self, me: &WeakAddress<Self>) {
        self.settling = true;
        let platform = self.parts.platform.clone();
        let (key, own) = (object_key(&self.parts.member), self.drains.records());
        Self::beside(me.clone(), async move {
            let held = sync_with_platform(&*platform, &key, &own, wall_millis()).await;
            Some(DrainsSettled(held.ok()))
        });
    }

    /// Tells everybody at once of what was ordered here.
    fn announce_drains(&mut self, me: &WeakAddress<Self>) {
        self.tell_notes();
        self.publish();
        self.spread(me);
        self.settle_drains(me);
    }
}

impl xtra::Handler<DrainsSettled> for Control {
    type Return = ();

    async fn handle(&mut self, settled: DrainsSettled, _cx: &mut xtra::Context<Self>) {
        self.settling = false;
        let Some(held) = settled.0 else { return };
        if self.drains.record_platform_copy(held, wall_millis()) {
            self.start_drains();
            self.tell_notes();
            self.publish();
        }
    }
}

impl xtra::Handler<OrderDrain> for Control {
    type Return = DrainAnswer;

    async fn handle(&mut self, order: OrderDrain, cx: &mut xtra::Context<Self>) -> DrainAnswer {
        let Some((manifest, _)) = self.parts.store.current() else {
            return Err(PeerError::Unavailable("no manifest is in force here yet".into()));
        };
        let at = self.parts.recorder.stamp();
        let loads = self.parts.traffic.with_steer(|steer, _| steer.region_loads());
        let record = self.drains.apply_order(order.0, at, &manifest, &loads).map_err(refused)?;
        self.announce_drains(&cx.mailbox().address());
        Ok(record)
    }
}

impl xtra::Handler<OrderUndrain> for Control {
    type Return = UndrainAnswer;

    async fn handle(&mut self, order: OrderUndrain, cx: &mut xtra::Context<Self>) -> UndrainAnswer {
        let at = self.parts.recorder.stamp();
        let undone = self.drains.undrain(order.0, at).map_err(refused)?;
        self.announce_drains(&cx.mailbox().address());
        Ok(undone)
    }
}

fn refused(error: DrainError) -> PeerError {
    PeerError::Conflict(error.to_string())
}
