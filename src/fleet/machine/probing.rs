//! Probes of hosts that are not known to be live, and the contacts in the answers.

use std::collections::BTreeSet;

use super::{Fleet, Outgoing};
use crate::{fleet::Purpose, prelude::*};

/// Probes in one round. Further addresses are probed in the next rounds.
const MAX_PROBES: usize = 48;

/// Contacts in the answer to a probe, for each zone other than the prober's.
const PROBE_REPLY_CONTACTS: usize = 2;

/// Contacts of the prober's own zone in the answer to a probe. Its hosts know the others.
const PROBE_REPLY_ZONE_CONTACTS: usize = 16;

/// Ticks between two rounds of probes.
const PROBE_INTERVAL_TICKS: u64 = 10;

/// Ticks between two rounds of probes right after the start.
const STARTUP_PROBE_INTERVAL_TICKS: u64 = 2;

impl Fleet {
    /// Returns the probes that are due, to seeds, contacts and silent hosts of the own zone.
    pub(super) fn probe(&mut self, now: Moment) -> Option<Outgoing> {
        let interval =
            if self.is_new() { STARTUP_PROBE_INTERVAL_TICKS } else { PROBE_INTERVAL_TICKS };
        if self.ticks % interval != 1 {
            return None;
        }
        let mut live: BTreeSet<SocketAddr> =
            self.peers.live(now).map(|peer| peer.info.gossip).collect();
        live.insert(self.config.gossip);
        let zones: BTreeSet<&ZoneId> = self.peers.live(now).map(|peer| &peer.zone).collect();
        let round = (self.ticks / interval) as usize;
        let mut to = self.contacts.to_probe(&self.config.zone, &live, &zones, round);
        to.extend(self.config.seeds.iter().filter(|seed| !live.contains(*seed)));
        let silent = self.peers.silent(now).filter(|peer| peer.zone == self.config.zone);
        to.extend(silent.map(|peer| peer.info.gossip));
        let mut to: Vec<SocketAddr> = to.into_iter().collect();
        if MAX_PROBES < to.len() {
            let first = round.wrapping_mul(MAX_PROBES) % to.len();
            to.rotate_left(first);
            to.truncate(MAX_PROBES);
        }
        Some(Outgoing { message: self.heartbeat(Purpose::Probe, now), to })
    }

    /// Contacts for a probing host of `zone`, other than the hosts of this host's own zone: some of
    /// `zone`, and fewer of each further zone.
    pub(super) fn contacts_for(&self, zone: &ZoneId, now: Moment) -> Vec<(SocketAddr, ZoneId)> {
        let mut counts: BTreeMap<&ZoneId, usize> = BTreeMap::new();
        let mut contacts = Vec::new();
        for peer in self.peers.live(now).filter(|peer| peer.zone != self.config.zone) {
            let count = counts.entry(&peer.zone).or_default();
            *count += 1;
            let most =
                if peer.zone == *zone { PROBE_REPLY_ZONE_CONTACTS } else { PROBE_REPLY_CONTACTS };
            if *count <= most {
                contacts.push((peer.info.gossip, peer.zone.clone()));
            }
        }
        contacts
    }
}
