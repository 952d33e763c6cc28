//! Addresses of hosts that may live and are not heard: how hosts find each other.

use std::collections::BTreeSet;

use crate::prelude::*;

/// Most addresses that are kept.
const CONTACTS_MAX: usize = 4_096;

/// Addresses whose zone is not known that are probed at once.
const UNKNOWN_ZONE_PROBES: usize = 16;

/// Time after which an address is forgotten that nobody tells any more. Hosts are replaced several
/// times a day, and those that are gone would be probed for ever.
const CONTACT_TTL: Duration = Duration::from_secs(120);

/// Addresses that were told, with their zones as far as these are known.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    by_addr: BTreeMap<SocketAddr, Contact>,
}

#[derive(Clone, Debug)]
struct Contact {
    last_reported: Moment,
    zone: Option<ZoneId>,
}

impl Contacts {
    /// A host of a zone was told.
    pub fn add(&mut self, addr: SocketAddr, zone: ZoneId, now: Moment) {
        if self.by_addr.len() < CONTACTS_MAX || self.by_addr.contains_key(&addr) {
            self.by_addr.insert(addr, Contact { last_reported: now, zone: Some(zone) });
        }
    }

    /// All hosts that the store's records name, in place of what was told before.
    pub fn replace(&mut self, addrs: impl Iterator<Item = SocketAddr>, now: Moment) {
        let zone = |addr| self.by_addr.get(&addr).and_then(|contact| contact.zone.clone());
        let contacts = addrs
            .take(CONTACTS_MAX)
            .map(|addr| (addr, Contact { last_reported: now, zone: zone(addr) }));
        self.by_addr = contacts.collect();
    }

    /// Forgets what was told long ago.
    pub fn remove_expired(&mut self, now: Moment) {
        self.by_addr.retain(|_, contact| now.saturating_sub(contact.last_reported) < CONTACT_TTL);
    }

    /// Whom to probe of those that are not `live`: all of the own zone, one of each zone that has
    /// no living host, some whose zone is not known. `turn` makes it others each time.
    pub fn to_probe(
        &self,
        own_zone: &ZoneId,
        live: &BTreeSet<SocketAddr>,
        live_zones: &BTreeSet<&ZoneId>,
        round: usize,
    ) -> BTreeSet<SocketAddr> {
        let mut to_probe = BTreeSet::new();
        let mut by_zone: BTreeMap<&ZoneId, Vec<SocketAddr>> = BTreeMap::new();
        let mut unknown_zone = Vec::new();
        for (addr, contact) in self.by_addr.iter().filter(|(addr, _)| !live.contains(addr)) {
            match &contact.zone {
                Some(zone) if zone == own_zone => _ = to_probe.insert(*addr),
                Some(zone) if live_zones.contains(zone) => {}
                Some(zone) => by_zone.entry(zone).or_default().push(*addr),
                None => unknown_zone.push(*addr),
            }
        }
        to_probe.extend(by_zone.values().map(|addrs| addrs[round % addrs.len()]));
        let first = round.wrapping_mul(UNKNOWN_ZONE_PROBES) % unknown_zone.len().max(1);
        to_probe.extend(
            unknown_zone
                .iter()
                .cycle()
                .skip(first)
                .take(UNKNOWN_ZONE_PROBES.min(unknown_zone.len())),
        );
        to_probe
    }
}
