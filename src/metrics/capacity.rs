//! Gauges of the slots, the demand and the shares of each service, which `lavenderplank headroom`
//! reads.

use std::{
    collections::BTreeSet,
    fmt::Debug,
    hash::Hash,
    sync::{Mutex, atomic::AtomicU64},
};

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{family::Family, gauge::Gauge},
};

use super::{
    EntryMetrics,
    entry::{OVERFLOW_LABEL, bounded_label},
};
use crate::prelude::*;

/// Maximum number of zones with their own label; others share `OVERFLOW_LABEL`. Zones come from the
/// operators' settings; the largest deployment planned has 24.
const MAX_ZONE_LABELS: usize = 128;

/// Slots of a service's usable targets in one zone.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ZoneGauges {
    /// Slots that the requests of all hosts keep busy.
    pub busy_slots: u32,
    pub slots: u32,
    /// Number of targets.
    pub targets: u32,
}

/// Capacity and demand of one service, as a host knows them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceGauges {
    /// Slots that the requests of all hosts' callers keep busy on average, by the region that has
    /// to serve them.
    pub demand: BTreeMap<RegionId, f64>,
    pub service: ServiceId,
    /// Share of the own region's requests that each region runs; empty before the first request.
    pub shares: BTreeMap<RegionId, f64>,
    pub zones: BTreeMap<(RegionId, ZoneId), ZoneGauges>,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct ZoneLabels {
    region: RegionId,
    service: Arc<str>,
    zone: Arc<str>,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct RegionLabels {
    region: RegionId,
    service: Arc<str>,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct ShareLabels {
    home: RegionId,
    region: RegionId,
    service: Arc<str>,
}

type GaugeFamily<L> = Family<L, Gauge<f64, AtomicU64>>;

/// A family of gauges whose label sets come and go.
#[derive(Debug)]
struct ChangingGauges<L> {
    family: GaugeFamily<L>,
    shown: Mutex<BTreeSet<L>>,
}

impl<L: Clone + Eq + Hash> Default for ChangingGauges<L> {
    fn default() -> Self {
        Self { family: Family::default(), shown: Mutex::default() }
    }
}

impl<L: Clone + Debug + Eq + Hash + Ord> ChangingGauges<L> {
    /// Replaces all values. A label set that is no longer there is removed: the last slots of a
    /// service that has left a zone would count for ever.
    fn set(&self, values: BTreeMap<L, f64>) {
        let mut shown = self.shown.lock().expect("no holder of this lock panics");
        for gone in shown.iter().filter(|labels| !values.contains_key(labels)) {
            self.family.remove(gone);
        }
        for (labels, value) in &values {
            self.family.get_or_create(labels).set(*value);
        }
        *shown = values.into_keys().collect();
    }
}

/// The families of this module.
#[derive(Debug, Default)]
pub(super) struct CapacityFamilies {
    busy_slots: ChangingGauges<ZoneLabels>,
    demand: ChangingGauges<RegionLabels>,
    shares: ChangingGauges<ShareLabels>,
    slots: ChangingGauges<ZoneLabels>,
    targets: ChangingGauges<ZoneLabels>,
    zones: Mutex<Vec<ZoneId>>,
}

impl EntryMetrics {
    /// Registers the families of this module.
    pub(super) fn register_capacity(&mut self) {
        let help = "slots of a service that requests of all hosts keep busy";
        self.register_metric("service_busy_slots", help, self.capacity.busy_slots.family.clone());
        let help = "slots that the callers of all hosts need, by the region that has to serve them";
        self.register_metric("service_demand_slots", help, self.capacity.demand.family.clone());
        let help = "share of the home region's requests that a region runs";
        self.register_metric("service_region_share", help, self.capacity.shares.family.clone());
        let help = "slots of a service's usable targets";
        self.register_metric("service_slots", help, self.capacity.slots.family.clone());
        let help = "usable targets of a service";
        self.register_metric("service_targets", help, self.capacity.targets.family.clone());
    }

    /// Replaces the gauges of slots, demand and shares. `home` is the region of this host.
    pub fn set_capacity_gauges(&self, home: &RegionId, services: &[ServiceGauges]) {
        let mut busy_slots = BTreeMap::new();
        let mut demand = BTreeMap::new();
        let mut shares = BTreeMap::new();
        let mut slots = BTreeMap::new();
        let mut targets = BTreeMap::new();
        for gauges in services {
            let service = self.service_label(&gauges.service);
            for ((region, zone), counts) in &gauges.zones {
                let zone = bounded_label(&self.capacity.zones, zone, MAX_ZONE_LABELS);
                let labels = ZoneLabels { region: region.clone(), service: service.clone(), zone };
                *busy_slots.entry(labels.clone()).or_default() += f64::from(counts.busy_slots);
                *slots.entry(labels.clone()).or_default() += f64::from(counts.slots);
                *targets.entry(labels).or_default() += f64::from(counts.targets);
            }
            for (region, slots) in &gauges.demand {
                let labels = RegionLabels { region: region.clone(), service: service.clone() };
                *demand.entry(labels).or_default() += slots;
            }
            // The shares of several services have no sum.
            if *service == *OVERFLOW_LABEL {
                continue;
            }
            for (region, share) in &gauges.shares {
                let (home, region) = (home.clone(), region.clone());
                shares.insert(ShareLabels { home, region, service: service.clone() }, *share);
            }
        }
        self.capacity.busy_slots.set(busy_slots);
        self.capacity.demand.set(demand);
        self.capacity.shares.set(shares);
        self.capacity.slots.set(slots);
        self.capacity.targets.set(targets);
    }
}
