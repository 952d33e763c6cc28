//! Processes heartbeats and reports of other hosts.

use super::{DifferingZone, Fleet, Outgoing, Received};
use crate::{
    fleet::{Delivery, Heartbeat, Message, Purpose, ZoneReport},
    prelude::*,
};

/// Time between two probes that ask a zone for the list of all its hosts.
const MEMBERS_QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a zone's hosts must differ from those of its reports before a host asks for the
/// list of all. The first receiver of a report asks at once, and shares the answer with its zone.
const MEMBERS_QUERY_DELAY: Duration = Duration::from_millis(600);

impl Fleet {
    pub(super) fn receive_heartbeat(&mut self, heartbeat: Heartbeat, now: Moment) -> Received {
        let mut received = Received::default();
        if heartbeat.info.host == self.config.host {
            return received;
        }
        self.add_contacts(&heartbeat.contacts, now);
        let (from, purpose) = (heartbeat.info.gossip, heartbeat.purpose);
        let (host, zone) = (heartbeat.info.host.clone(), heartbeat.zone.clone());
        let region = self.region_of(&zone).clone();
        let is_new = self.peers.record_heartbeat(heartbeat, region, now);
        match purpose {
            Purpose::Collect => self.collection.record(now),
            Purpose::Standby => self.collection.record_standby(now),
            Purpose::Probe => {
                let contacts = self.contacts_for(&zone, now);
                let members = self.all_members(now);
                let report = self.report(members, now);
                let report = ZoneReport { contacts, delivery: Delivery::Answer, ..report };
                received.send.push(Outgoing { message: Message::Zone(report), to: vec![from] });
            }
            Purpose::State => {}
        }
        if is_new {
            received.new_hosts.push((host, zone));
        }
        received
    }

    pub(super) fn receive_report(&mut self, mut report: ZoneReport, now: Moment) -> Received {
        let mut received = Received::default();
        if report.sender == self.config.host {
            return received;
        }
        self.add_contacts(&report.contacts, now);
        report.contacts.clear();
        let is_own_zone = report.zone == self.config.zone;
        if is_own_zone
            && usize::from(report.members.count) <= self.config.mesh_hosts
            && !self.is_zone_large(now)
        {
            // The answer to a probe in a small zone. Its hosts are probed and then heard directly.
            for (info, _) in report.members.listed {
                self.contacts.add(info.gossip, report.zone.clone(), now);
            }
            return received;
        }
        if is_own_zone {
            self.collection.record_report(report.is_cross_region, now);
            self.subtract_own_load(&mut report);
        }
        if !self.reports.record(&report, now) {
            return received;
        }
        let is_first_receiver = !is_own_zone && self.is_to_forward(&report, now);
        received.send.extend(self.record_members(
            &report,
            is_first_receiver,
            &mut received.new_hosts,
            now,
        ));
        if is_first_receiver {
            report.delivery = Delivery::Forwarded;
            let to: Vec<SocketAddr> = self.zone_peers(now).map(|peer| peer.info.gossip).collect();
            received.send.push(Outgoing { message: Message::Zone(report), to });
        }
        received
    }

    /// Whether this host forwards the report of another zone to its own: if it is the first
    /// receiver, or has asked for the report as the first receiver of an earlier one.
    fn is_to_forward(&self, report: &ZoneReport, now: Moment) -> bool {
        match report.delivery {
            Delivery::Answer => {
                let differing = self.differing_zones.get(&report.zone);
                !self.is_zone_large(now) || differing.is_some_and(|it| it.is_answer_shared)
            }
            Delivery::FirstReceiver => true,
            Delivery::Forwarded => false,
        }
    }

    /// Removes this host's load from the sum of its zone.
    fn subtract_own_load(&self, report: &mut ZoneReport) {
        let sent = self.sent_loads.iter().rev().find(|(_, host, _)| *host == report.sender);
        if let (Some((load, _)), Some((_, _, sent))) = (&mut report.load, sent) {
            load.subtract(sent);
        }
    }

    /// Records the hosts of a reported zone. Returns a probe that asks the sender for all of them
    /// if the known ones differ.
    fn record_members(
        &mut self,
        report: &ZoneReport,
        is_first_receiver: bool,
        new_hosts: &mut Vec<(HostId, ZoneId)>,
        now: Moment,
    ) -> Option<Outgoing> {
        let zone = &report.zone;
        let region = self.region_of(zone).clone();
        let own_digest = (*zone == self.config.zone).then_some(self.own_changed.1);
        let mut members = report.members.clone();
        members.listed.retain(|(info, _)| info.host != self.config.host);
        let (new, matches) = self.peers.record_members(&members, zone, &region, own_digest, now);
        new_hosts.extend(new.into_iter().map(|host| (host, zone.clone())));
        if matches {
            self.differing_zones.remove(zone);
            return None;
        }
        let differing = self.differing_zones.entry(zone.clone());
        let differing = differing.or_insert(DifferingZone {
            is_answer_shared: false,
            queried_at: None,
            since: now,
        });
        let is_asked = |at: Moment| now.saturating_sub(at) < MEMBERS_QUERY_INTERVAL;
        let is_due =
            is_first_receiver || MEMBERS_QUERY_DELAY <= now.saturating_sub(differing.since);
        if !is_due || differing.queried_at.is_some_and(is_asked) {
            return None;
        }
        differing.queried_at = Some(now);
        differing.is_answer_shared = is_first_receiver;
        let message = self.heartbeat(Purpose::Probe, now);
        Some(Outgoing { message, to: vec![report.sender_addr] })
    }

    fn add_contacts(&mut self, contacts: &[(SocketAddr, ZoneId)], now: Moment) {
        for (addr, zone) in contacts {
            if *addr != self.config.gossip {
                self.contacts.add(*addr, zone.clone(), now);
            }
        }
    }
}
