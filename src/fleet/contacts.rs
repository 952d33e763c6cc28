//! Addresses of hosts that may live and are not heard: how hosts find each other.

use std::collections::BTreeSet;

use crate::prelude::*;

/// Most addresses that are kept.
const MOST: usize = 4_096;

/// Addresses whose zone is not known that are probed at once.
const UNPLACED_AT_ONCE: usize = 16;

/// Time after which an address is forgotten that nobody tells any more. Hosts are replaced several
/// times a day, and those that are gone would be probed for ever.
const FORGET: Duration = Duration::from_secs(120);

/// Addresses that were told, with their zones as far as these are known.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    told: BTreeMap<SocketAddr, Contact>,
}

#[derive(Clone, Debug)]
struct Contact {
    at: Moment,
    zone: Option<ZoneId>,
}

impl Contacts {
    /// A host of a zone was told.
    pub fn add(&mut self, addr: SocketAddr, zone: ZoneId, now: Moment) {
        if self.told.len() < MOST || self.told.contains_key(&addr) {
            self.told.insert(addr, Contact { at: now, zone: Some(zone) });
        }
    }

    /// All hosts that the store's records name, in place of what was told before.
    pub fn listed(&mut self, addrs: impl Iterator<Item = SocketAddr>, now: Moment) {
        let zone = |addr| self.told.get(&addr).and_then(|contact| contact.zone.clone());
        let listed = addrs.take(MOST).map(|addr| (addr, Contact { at: now, zone: zone(addr) }));
        self.told = listed.collect();
    }

    /// Forgets what was told long ago.
    pub fn tick(&mut self, now: Moment) {
        self.told.retain(|_, contact| now.saturating_sub(contact.at) < FORGET);
    }

    /// Whom to probe of those that are not `live`: all of the own zone, one of each zone that has
    /// no living host, some whose zone is not known. `turn` makes it others each time.
    pub fn to_probe(
        &self,
        own_zone: &ZoneId,
        live: &BTreeSet<SocketAddr>,
        live_zones: &BTreeSet<&ZoneId>,
        turn: usize,
    ) -> BTreeSet<SocketAddr> {
        let mut found = BTreeSet::new();
        let mut by_zone: BTreeMap<&ZoneId, Vec<SocketAddr>> = BTreeMap::new();
        let mut unplaced = Vec::new();
        for (addr, contact) in self.told.iter().filter(|(addr, _)| !live.contains(addr)) {
            match &contact.zone {
                Some(zone) if zone == own_zone => _ = found.insert(*addr),
                Some(zone) if live_zones.contains(zone) => {}
                Some(zone) => by_zone.entry(zone).or_default().push(*addr),
                None => unplaced.push(*addr),
            }
        }
        found.extend(by_zone.values().map(|addrs| addrs[turn % addrs.len()]));
        let first = turn.wrapping_mul(UNPLACED_AT_ONCE) % unplaced.len().max(1);
        found
            .extend(unplaced.iter().cycle().skip(first).take(UNPLACED_AT_ONCE.min(unplaced.len())));
        found
    }
}
