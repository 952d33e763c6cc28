//! What a host sends to its zone, and the reports of the zone to others.

use std::collections::BTreeSet;

use super::{Fleet, Outgoing};
use crate::{
    fleet::{Load, Message, Peer, Purpose, Rotation, Round, ZoneReport},
    prelude::*,
};

/// Slots between two reports to zones of other regions. These zones need little more than the live
/// hosts and the demand of their callers.
const CROSS_REGION_INTERVAL_SLOTS: u64 = 5;

/// Receivers of a report in each zone of another region. These reports are infrequent, and the loss
/// of one with a single receiver would leave the whole zone without an update.
const CROSS_REGION_RECEIVERS: usize = 2;

/// Divisor of the capacity of hosts that get too little processor time.
const STRAINED_PART: u16 = 8;

/// Time for which own states are remembered, to subtract them from the sums that contain them.
const STATE_TTL: Duration = Duration::from_secs(1);

impl Fleet {
    /// Messages to a small zone: the state of this host to all of its hosts, and the zone's report
    /// to other zones if it is this host's turn.
    pub(super) fn exchange_in_mesh(&mut self, slot: u64, now: Moment) -> Vec<Outgoing> {
        let mut send = vec![self.heartbeat_to_zone(now)];
        let rank = self.rank_in_zone(now);
        let hosts = self.zone_peers(now).count() + 1;
        let cross_region_slot = slot / CROSS_REGION_INTERVAL_SLOTS;
        let is_same_region_due = self.same_region.is_due(slot, rank, hosts);
        let is_cross_region_due = self.cross_region.is_due(cross_region_slot, rank, hosts);
        let mut to = Vec::new();
        if is_same_region_due {
            to.extend(self.report_receivers(true, slot, 1, now));
        }
        if is_cross_region_due {
            to.extend(self.report_receivers(false, cross_region_slot, CROSS_REGION_RECEIVERS, now));
        }
        send.extend(self.report_to(to, now));
        send
    }

    /// Messages to a large zone: the state of this host to the collectors of a new round, and the
    /// report of the states that this host has collected.
    pub(super) fn collect(&mut self, slot: u64, now: Moment) -> Vec<Outgoing> {
        let round = Round::at(slot, self.zone_peers(now).count() + 1);
        let mut send = Vec::new();
        if self.round.replace(round) != Some(round) {
            send.extend(self.send_to_collectors(round, now));
        }
        if self.collection.is_due(now) {
            send.extend(self.send_collected(round, now));
        }
        send
    }

    fn send_to_collectors(&mut self, round: Round, now: Moment) -> Vec<Outgoing> {
        let own = self.info();
        let hosts = self.zone_peers(now).map(|peer| &peer.info).chain([&own]);
        let candidates = hosts.filter(|info| !info.leaving);
        let weighted = candidates.map(|info| {
            let capacity =
                if info.strained { info.capacity / STRAINED_PART } else { info.capacity };
            (&info.host, capacity, (info.host.clone(), info.gossip))
        });
        let (collector, standby) = round.collectors(weighted);
        let mut send = Vec::new();
        for (receiver, purpose) in [(collector, Purpose::Collect), (standby, Purpose::Standby)] {
            let Some((host, addr)) = receiver else { continue };
            if addr != self.config.gossip {
                self.sent_loads.push_back((now, host, self.own.load.clone()));
                send.push(Outgoing { message: self.heartbeat(purpose, now), to: vec![addr] });
            }
        }
        self.sent_loads.retain(|(at, _, _)| now.saturating_sub(*at) < STATE_TTL);
        send
    }

    /// The report of the collected states, to the own zone and to other zones. A collection of few
    /// late hosts is reported without its load.
    fn send_collected(&mut self, round: Round, now: Moment) -> Vec<Outgoing> {
        self.sequence += 1;
        let mut report = self.report(self.changed_members(now), now);
        let has_most =
            report.load.as_ref().is_some_and(|(_, hosts)| report.members.count <= hosts * 2);
        if !has_most {
            report.load = None;
        }
        report.is_cross_region = has_most && self.collection.is_cross_region_due(now);
        let others = self.zone_peers(now).filter(|peer| peer.has_recent_load(now));
        let load = Load::sum(others.map(|peer| &peer.load));
        let load = report.load.as_ref().map(|(_, hosts)| (load, *hosts));
        self.reports.record(&ZoneReport { load, ..report.clone() }, now);

        let own_zone = self.zone_peers(now).map(|peer| peer.info.gossip).collect();
        let mut other_zones = Vec::new();
        let mut copies = Vec::new();
        if has_most {
            other_zones.extend(self.report_receivers(true, round.number(), 1, now));
            if report.is_cross_region {
                let receivers = |count| self.report_receivers(false, round.number(), count, now);
                let first = receivers(1);
                copies = receivers(CROSS_REGION_RECEIVERS);
                copies.retain(|addr| !first.contains(addr));
                other_zones.extend(first);
            }
        }
        let light = ZoneReport { load: None, ..report.clone() };
        let to = |report, to| Outgoing { message: Message::Zone(report), to };
        vec![to(report.clone(), own_zone), to(report, other_zones), to(light, copies)]
    }

    pub(super) fn report_to(&mut self, mut to: Vec<SocketAddr>, now: Moment) -> Option<Outgoing> {
        to.sort_unstable();
        to.dedup();
        if to.is_empty() {
            return None;
        }
        // Receivers ignore a report whose order is not greater than that of the previous one.
        self.sequence += 1;
        Some(Outgoing { message: Message::Zone(self.report(self.all_members(now), now)), to })
    }

    /// Selects `count` receivers of the own zone's report in each other zone of the region, or in
    /// each zone of other regions. In a zone without live hosts, silent ones are selected, because
    /// the zone may only be partitioned.
    pub(super) fn report_receivers(
        &self,
        same_region: bool,
        slot: u64,
        count: usize,
        now: Moment,
    ) -> Vec<SocketAddr> {
        let mut zones: BTreeMap<&ZoneId, Vec<SocketAddr>> = BTreeMap::new();
        let wanted = |peer: &&Peer| {
            peer.zone != self.config.zone && (peer.region == self.config.region) == same_region
        };
        for peer in self.peers.live(now).filter(wanted) {
            zones.entry(&peer.zone).or_default().push(peer.info.gossip);
        }
        let live: BTreeSet<&ZoneId> = zones.keys().copied().collect();
        for peer in self.peers.silent(now).filter(wanted) {
            if !live.contains(&peer.zone) {
                zones.entry(&peer.zone).or_default().push(peer.info.gossip);
            }
        }
        let receivers = zones.values().map(|hosts| Rotation::receivers(slot, hosts, count));
        receivers.flatten().collect()
    }
}
