//! The links between availability zones as the demo has them: delays and cuts.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::RwLock,
};

use crate::prelude::*;

/// One-way delay between availability zones of a region.
pub const ZONE_DELAY: Duration = Duration::from_micros(1_500);

/// One-way delay between regions.
pub const REGION_DELAY: Duration = Duration::from_millis(55);

/// One-way delay between a caller and a host.
pub const CLIENT_DELAY: Duration = Duration::from_millis(8);

/// A place in the network.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Place {
    pub region: RegionId,
    pub zone: ZoneId,
}

/// Who is where, and which zones are cut off.
#[derive(Debug, Default)]
pub struct Links {
    cut: RwLock<BTreeSet<ZoneId>>,
    cut_from_platform: RwLock<BTreeSet<ZoneId>>,
    places: RwLock<BTreeMap<SocketAddr, Place>>,
}

impl Links {
    /// Says where an address is.
    pub fn put(&self, address: SocketAddr, place: Place) {
        self.places.write().expect("no holder panics").insert(address, place);
    }

    /// Cuts a zone off from every other zone and from the platform.
    pub fn cut(&self, zone: &ZoneId) {
        self.cut.write().expect("no holder panics").insert(zone.clone());
    }

    /// Cuts a zone off from the platform alone.
    pub fn cut_from_platform(&self, zone: &ZoneId) {
        self.cut_from_platform.write().expect("no holder panics").insert(zone.clone());
    }

    /// Ends the cut.
    pub fn heal(&self, zone: &ZoneId) {
        self.cut.write().expect("no holder panics").remove(zone);
        self.cut_from_platform.write().expect("no holder panics").remove(zone);
    }

    /// Whether the zone is cut off.
    pub fn is_cut(&self, zone: &ZoneId) -> bool {
        self.cut.read().expect("no holder panics").contains(zone)
    }

    /// Whether calls from the zone to the platform get through.
    pub fn reaches_platform(&self, zone: &ZoneId) -> bool {
        let alone = self.cut_from_platform.read().expect("no holder panics").contains(zone);
        !alone && !self.is_cut(zone)
    }

    /// The one-way delay from a place to an address; `None` if nothing gets through.
    pub fn delay(&self, from: &Place, to: SocketAddr) -> Option<Duration> {
        let place = self.places.read().expect("no holder panics").get(&to).cloned();
        let Some(place) = place else {
            return (!self.is_cut(&from.zone)).then_some(ZONE_DELAY);
        };
        if place.zone == from.zone {
            return Some(Duration::ZERO);
        }
        if self.is_cut(&from.zone) || self.is_cut(&place.zone) {
            return None;
        }
        Some(if place.region == from.region { ZONE_DELAY } else { REGION_DELAY })
    }
}
