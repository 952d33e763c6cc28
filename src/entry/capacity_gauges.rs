//! Slots, busy slots, demand and shares of each service, as this host knows them, for the metrics.

use std::{collections::BTreeSet, rc::Rc};

use super::{KnownTarget, TrafficState, View};
use crate::{
    metrics::{EntryMetrics, ServiceGauges, ZoneGauges},
    placement::name_tag,
    prelude::*,
};

/// Interval at which the gauges are set. Counting goes through all targets.
const GAUGES_INTERVAL: Duration = Duration::from_secs(1);

/// Sets the gauges until the host stops.
pub(super) async fn report_capacity(state: Rc<TrafficState>, metrics: Arc<EntryMetrics>) {
    let mut interval = tokio::time::interval(GAUGES_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        metrics.set_capacity_gauges(&state.settings.region, &state.capacity_gauges());
    }
}

impl TrafficState {
    /// Current values for the metrics of capacity; none before the first view.
    pub fn capacity_gauges(&self) -> Vec<ServiceGauges> {
        let Some(view) = self.view() else { return Vec::new() };
        let services = self.services.borrow();
        let names: BTreeSet<&ServiceId> = view.targets.keys().chain(services.keys()).collect();
        names.into_iter().map(|service| self.service_gauges(&view, service)).collect()
    }

    fn service_gauges(&self, view: &View, service: &ServiceId) -> ServiceGauges {
        let services = self.services.borrow();
        let state = services.get(service);
        let shares = state.and_then(|state| state.shares.as_ref());
        let shares = shares
            .map(|shares| shares.iter().map(|(region, share)| (region.clone(), share)).collect());
        let zones = self.zone_gauges(view, service);
        let regions: BTreeSet<&RegionId> =
            self.settings.zones.values().chain(zones.keys().map(|(region, _)| region)).collect();
        let demand = |region: &RegionId| {
            let elsewhere = view.demand.get(&(name_tag(service), name_tag(region)));
            elsewhere.copied().unwrap_or_default()
                + state.map_or(0.0, |state| state.demand.of(region))
        };
        let demand = regions.into_iter().map(|region| (region.clone(), demand(region))).collect();
        let shares = shares.unwrap_or_default();
        ServiceGauges { demand, service: service.clone(), shares, zones }
    }

    fn zone_gauges(
        &self,
        view: &View,
        service: &ServiceId,
    ) -> BTreeMap<(RegionId, ZoneId), ZoneGauges> {
        let mut zones: BTreeMap<(&RegionId, &ZoneId), ZoneGauges> = BTreeMap::new();
        for target in view.targets.get(service).into_iter().flat_map(|targets| targets.iter()) {
            let zone = zones.entry((&target.region, &target.entry.zone)).or_default();
            zone.busy_slots += self.busy_slots(view, target);
            zone.slots += target.entry.slots;
            zone.targets += 1;
        }
        let owned = |((region, zone), gauges): ((&RegionId, &ZoneId), _)| {
            ((region.clone(), zone.clone()), gauges)
        };
        zones.into_iter().map(owned).collect()
    }

    /// Slots of a target that the requests of all hosts keep busy. Requests beyond its slots wait
    /// in its queue.
    fn busy_slots(&self, view: &View, target: &KnownTarget) -> u32 {
        let own = self.target_health.borrow().get(&target.tag).map_or(0, |it| it.in_flight);
        let elsewhere = view.in_flight_elsewhere.get(&target.tag).copied().unwrap_or_default();
        own.saturating_add(elsewhere).min(target.entry.slots)
    }
}
