//! Builds heartbeats and reports.

use super::{DeclarationCheck, Fleet, Outgoing};
use crate::{
    entry::{Stamp, StorePart},
    fleet::{
        Delivery, Heartbeat, HostInfo, Load, Members, Message, Purpose, StateSource, ZoneReport,
    },
    prelude::*,
};

/// Contacts in one heartbeat: enough for a host to discover all others within one or two seconds.
const HEARTBEAT_CONTACTS: usize = 3;

/// Hosts with the latest state of the store that a report names besides the first one, while other
/// hosts of the zone lack it.
const FURTHER_SOURCES: usize = 6;

impl Fleet {
    fn own_declaration_check(&self) -> Option<DeclarationCheck> {
        let at = self.own.declaration_checked_at?;
        Some(DeclarationCheck { at, version: self.own.stamp.declared })
    }

    pub(super) fn info(&self) -> HostInfo {
        HostInfo {
            capacity: self.config.capacity,
            callers: self.config.callers,
            control: self.config.control,
            gossip: self.config.gossip,
            host: self.config.host.clone(),
            leaving: self.own.leaving,
            reaches_store: self.own.reaches_store,
            reaches_targets: self.own.reaches_targets,
            relay_port: self.config.relay_port,
            start_ms: self.config.start_ms,
            strained: self.own.strained,
            sequence: self.sequence,
        }
    }

    pub(super) fn heartbeat(&mut self, purpose: Purpose, now: Moment) -> Message {
        self.sequence += 1;
        let live = self.peers.live(now);
        let first = self.sequence as usize * HEARTBEAT_CONTACTS % live.clone().count().max(1);
        let selected = live.clone().chain(live).skip(first).take(HEARTBEAT_CONTACTS);
        Message::Heartbeat(Heartbeat {
            contacts: selected.map(|peer| (peer.info.gossip, peer.zone.clone())).collect(),
            declaration_check: self.own_declaration_check().map(|check| check.to_age(now)),
            load: self.own.load.clone(),
            info: self.info(),
            purpose,
            stamp: self.own.stamp,
            zone: self.config.zone.clone(),
        })
    }

    pub(super) fn heartbeat_to_zone(&mut self, now: Moment) -> Outgoing {
        let to = self.zone_peers(now).map(|peer| peer.info.gossip).collect();
        Outgoing { message: self.heartbeat(Purpose::State, now), to }
    }

    /// Creates the report of the own zone from what this host knows.
    pub(super) fn report(&self, members: Members, now: Moment) -> ZoneReport {
        let others = self.zone_peers(now);
        let checks = others
            .clone()
            .filter_map(|peer| peer.declaration_check)
            .chain(self.own_declaration_check());
        let latest = checks.max_by_key(|check| (check.version, check.at));
        let reporting = others.clone().filter(|peer| peer.has_recent_load(now));
        let loads = reporting.map(|peer| &peer.load).chain([&self.own.load]);
        let load_hosts = loads.clone().count().try_into().unwrap_or(u16::MAX);
        ZoneReport {
            sender: self.config.host.clone(),
            sender_addr: self.config.gossip,
            contacts: Vec::new(),
            declaration_check: latest.map(|check| check.to_age(now)),
            members,
            state_sources: self.best_state_sources(now),
            load: Some((Load::sum(loads), load_hosts)),
            delivery: Delivery::FirstReceiver,
            is_cross_region: false,
            order: self.info().order(),
            zone: self.config.zone.clone(),
        }
    }

    /// All hosts of the own zone.
    pub(super) fn all_members(&self, now: Moment) -> Members {
        Members::complete(self.info(), self.zone_peers(now), now)
    }

    /// The hosts of the own zone that changed.
    pub(super) fn changed_members(&self, now: Moment) -> Members {
        let known = self.peers.iter().filter(|peer| peer.zone == self.config.zone);
        Members::changes(self.info(), self.own_changed.0, known, now)
    }

    /// For each part of the store's state, the host of the own zone with the latest version of it,
    /// and further hosts with the same state while others lack it: one host could not answer the
    /// queries of all others at once.
    fn best_state_sources(&self, now: Moment) -> Vec<StateSource> {
        let own = StateSource { control: self.config.control, stamp: self.own.stamp };
        let mut best: Vec<StateSource> = Vec::new();
        for part in StorePart::ALL {
            let others = self.zone_peers(now).filter_map(|peer| {
                Some(StateSource { control: peer.info.control, stamp: peer.stamp? })
            });
            let most = others.fold(own.clone(), |most, other| {
                if other.stamp.is_ahead_of(&most.stamp, part) { other } else { most }
            });
            if !best.contains(&most) {
                best.push(most);
            }
        }
        let Some(latest) = best.last().map(|source| source.stamp) else { return best };
        let heard = self.zone_peers(now).filter(|peer| peer.has_recent_load(now));
        let stamps = heard.filter_map(|peer| Some((peer.info.control, peer.stamp?)));
        let is_current =
            |stamp: &Stamp| (stamp.declared, stamp.targets) == (latest.declared, latest.targets);
        if stamps.clone().all(|(_, stamp)| is_current(&stamp)) {
            return best;
        }
        let current = stamps.filter(|(_, stamp)| is_current(stamp));
        let first = self.sequence as usize % current.clone().count().max(1);
        let further = current.clone().chain(current).skip(first).take(FURTHER_SOURCES);
        for (control, stamp) in further {
            if !best.iter().any(|source| source.control == control) {
                best.push(StateSource { control, stamp });
            }
        }
        best
    }
}
