//! What a host reports of its requests: to other hosts, and to operators.

use std::collections::BTreeSet;

use super::TrafficState;
use crate::{
    fleet::Load,
    metrics::TrafficGauges,
    placement::{ObjectTag, TargetTag, name_tag},
};

/// Most objects reported in one heartbeat: at ten bytes each, the heartbeat fits in one packet.
const MAX_REPORTED_OBJECTS: usize = 64;

impl TrafficState {
    /// Current values for the metrics.
    pub fn figures(&self) -> TrafficGauges {
        let now = self.clock.now();
        let target_health = self.target_health.borrow();
        TrafficGauges {
            connections: self.open_connections.get(),
            held_slots: self.reservations.held.borrow().len(),
            in_flight: target_health.values().map(|health| health.in_flight).sum(),
            notices: self.target_notices.borrow().counts(now),
            paused: target_health.values().filter(|health| health.is_paused(now)).count(),
            parts: Some(self.parts.get()),
            reaches_targets: !self.is_cut_off(),
            slot_asks: self.reservations.counts.get(),
            unknown_header_responses: self.unknown_headers.responses(),
        }
    }

    /// The load report for other hosts. While this host reaches no target, it leaves out what it
    /// observes of targets now.
    pub fn load(&self) -> Load {
        let crashes = self.crash_suspects.borrow().reports(self.clock.now());
        if self.is_cut_off() {
            return Load {
                crashes,
                limits: self.target_notices.borrow().reports(self.clock.now()),
                sent: self.sent_counter.borrow_mut().counts(self.clock.now()),
                team_counts: self.quota.borrow().report(self.clock.now()),
                ..Load::default()
            };
        }
        let target_health = self.target_health.borrow();
        let busy = target_health.iter().filter(|(_, health)| 0 < health.in_flight);
        let in_flight = busy
            .map(|(tag, health)| (*tag, health.in_flight.min(u32::from(u16::MAX)) as u16))
            .collect();
        let services = self.services.borrow();
        let demand = services.iter().flat_map(|(name, state)| {
            let regions = state.demand.iter();
            regions.map(|(region, slots)| ((name_tag(name), name_tag(region)), slots as f32))
        });
        let demand = demand.collect();
        let now = self.clock.now();
        let sent = self.sent_counter.borrow_mut().counts(now);
        let view = self.view();
        let reported = |tag| view.as_ref().and_then(|view| view.slow_targets.get(tag).copied());
        let slow_targets = target_health
            .iter()
            .filter_map(|(tag, it)| Some((*tag, it.report(reported(tag), now)?)));
        let slow_targets = slow_targets.collect();
        let team_counts = self.quota.borrow().report(now);
        Load {
            crashes,
            demand,
            in_flight,
            limits: self.target_notices.borrow().reports(now),
            recent_objects: self.reported_recent_objects(),
            sent,
            slow_targets,
            team_counts,
        }
    }

    /// The most recent objects sent to targets, without duplicates, to be reported to other hosts.
    fn reported_recent_objects(&self) -> Vec<(TargetTag, ObjectTag)> {
        let recent = self.recent_objects.borrow();
        let newest = recent.iter().rev().take(MAX_REPORTED_OBJECTS);
        let objects: BTreeSet<_> = newest.map(|(_, target, object)| (*target, *object)).collect();
        objects.into_iter().collect()
    }
}
