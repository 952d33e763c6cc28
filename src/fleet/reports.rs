//! Latest reports of other zones.

use super::{DeclarationCheck, Load, SILENCE_TIMEOUT, StateSource, ZoneReport};
use crate::prelude::*;

/// Time for which a report that covers few hosts of its zone does not replace a more complete one.
const PARTIAL_REPORT_DELAY: Duration = Duration::from_secs(1);

/// The latest report of each zone.
#[derive(Debug, Default)]
pub struct Reports {
    zones: BTreeMap<ZoneId, LastReport>,
}

#[derive(Debug)]
struct LastReport {
    received_at: Moment,
    declaration_check: Option<DeclarationCheck>,
    host_count: usize,
    state_sources: Vec<StateSource>,
    load: Load,
    /// Order of the latest report of each sender.
    orders: BTreeMap<HostId, (u64, u64)>,
}

impl Reports {
    /// Records a report, except for its hosts, which are recorded in `Peers`. Returns whether it is
    /// new.
    pub fn record(&mut self, report: &ZoneReport, now: Moment) -> bool {
        let host_count = report.hosts.len();
        let last = self.zones.entry(report.zone.clone()).or_insert_with(|| LastReport {
            received_at: Moment::ZERO,
            declaration_check: None,
            host_count: 0,
            state_sources: Vec::new(),
            load: Load::default(),
            orders: BTreeMap::new(),
        });
        let is_silent = SILENCE_TIMEOUT <= now.saturating_sub(last.received_at);
        let known = last.orders.get(&report.sender);
        // After a silence of the zone any report is accepted, in case the clock of its sender was
        // set back.
        if known.is_some_and(|known| report.order <= *known && !is_silent) {
            return false;
        }
        last.orders.retain(|host, _| report.hosts.iter().any(|(info, _)| info.host == *host));
        last.orders.insert(report.sender.clone(), report.order);
        // A host that has just resumed after a pause, or is partitioned from its zone, knows only
        // its own load. Its sums would briefly make targets used by the zone look idle.
        let is_partial = host_count * 2 < last.host_count;
        if is_partial && now.saturating_sub(last.received_at) < PARTIAL_REPORT_DELAY {
            return true;
        }
        last.received_at = now;
        last.host_count = host_count;
        let check = report.declaration_check.map(|age| DeclarationCheck::from_age(age, now));
        last.declaration_check = check.or(last.declaration_check);
        last.state_sources.clone_from(&report.state_sources);
        last.load.clone_from(&report.load);
        true
    }

    /// Sums of the loads in each zone with a recent report.
    pub fn loads(&self, now: Moment) -> impl Iterator<Item = (&ZoneId, &Load)> {
        self.fresh(now).map(|(zone, last)| (zone, &last.load))
    }

    /// The latest confirmation of the declaration in each zone with a recent report.
    pub fn declaration_checks(&self, now: Moment) -> impl Iterator<Item = DeclarationCheck> {
        self.fresh(now).filter_map(|(_, last)| last.declaration_check)
    }

    /// Hosts of other zones with the latest versions of the store's state.
    pub fn state_sources(&self, now: Moment) -> impl Iterator<Item = (&ZoneId, &StateSource)> {
        self.fresh(now).flat_map(|(zone, last)| last.state_sources.iter().map(move |it| (zone, it)))
    }

    fn fresh(&self, now: Moment) -> impl Iterator<Item = (&ZoneId, &LastReport)> {
        self.zones
            .iter()
            .filter(move |(_, last)| now.saturating_sub(last.received_at) < SILENCE_TIMEOUT)
    }
}
