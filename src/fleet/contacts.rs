//! Addresses through which hosts discover each other.

use std::collections::BTreeSet;

use crate::prelude::*;

/// Maximum number of stored addresses.
const MAX_CONTACTS: usize = 4_096;

/// Maximum number of addresses with an unknown zone in one round of probes.
const UNKNOWN_ZONE_PROBES: usize = 16;

/// Time after which an address that no host reports any more is removed. Hosts are replaced several
/// times a day, and the replaced ones would otherwise be probed forever.
const CONTACT_TTL: Duration = Duration::from_secs(120);

/// Gossip addresses reported by other hosts or listed in the store, with their zones if known.
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
    /// Adds or refreshes the address of a host in `zone`.
    pub fn add(&mut self, addr: SocketAddr, zone: ZoneId, now: Moment) {
        if self.by_addr.len() < MAX_CONTACTS || self.by_addr.contains_key(&addr) {
            self.by_addr.insert(addr, Contact { last_reported: now, zone: Some(zone) });
        }
    }

    /// Replaces all addresses by those in the store's host records. Keeps the zones already known.
    pub fn replace(&mut self, addrs: impl Iterator<Item = SocketAddr>, now: Moment) {
        let zone = |addr| self.by_addr.get(&addr).and_then(|contact| contact.zone.clone());
        let contacts = addrs
            .take(MAX_CONTACTS)
            .map(|addr| (addr, Contact { last_reported: now, zone: zone(addr) }));
        self.by_addr = contacts.collect();
    }

    /// Adds addresses in the store's host records, of which not all could be read.
    pub fn add_listed(&mut self, addrs: impl Iterator<Item = SocketAddr>, now: Moment) {
        for addr in addrs {
            if let Some(contact) = self.by_addr.get_mut(&addr) {
                contact.last_reported = now;
            } else if self.by_addr.len() < MAX_CONTACTS {
                self.by_addr.insert(addr, Contact { last_reported: now, zone: None });
            }
        }
    }

    /// Removes addresses that were last reported longer than `CONTACT_TTL` ago.
    pub fn remove_expired(&mut self, now: Moment) {
        self.by_addr.retain(|_, contact| now.saturating_sub(contact.last_reported) < CONTACT_TTL);
    }

    /// Selects the addresses to probe among those not in `live`: all of the own zone, one of each
    /// zone without a live host, and some whose zone is unknown. The choice rotates with `round`.
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
