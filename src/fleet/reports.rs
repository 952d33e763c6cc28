//! What other zones last told of themselves.

use super::{DeclaredCheck, Informed, Load, SILENCE, ZoneReport};
use crate::prelude::*;

/// Time for which a report that covers few hosts of its zone does not replace a fuller one.
const PARTIAL_WAIT: Duration = Duration::from_secs(1);

/// The last reports by zone.
#[derive(Debug, Default)]
pub struct Reports {
    zones: BTreeMap<ZoneId, LastReport>,
}

#[derive(Debug)]
struct LastReport {
    at: Moment,
    declared_check: Option<DeclaredCheck>,
    covers: usize,
    informed: Vec<Informed>,
    load: Load,
    /// The last word of each host that sent one.
    orders: BTreeMap<HostId, (u64, u64)>,
}

impl Reports {
    /// Takes a report in; false if it was known already. Its hosts are left to `Peers`.
    pub fn take(&mut self, report: &ZoneReport, now: Moment) -> bool {
        let covers = report.hosts.len();
        let last = self.zones.entry(report.zone.clone()).or_insert_with(|| LastReport {
            at: Moment::ZERO,
            declared_check: None,
            covers: 0,
            informed: Vec::new(),
            load: Load::default(),
            orders: BTreeMap::new(),
        });
        let is_silent = SILENCE <= now.saturating_sub(last.at);
        let known = last.orders.get(&report.by);
        // A host whose clock went back is listened to again after a silence of its zone.
        if known.is_some_and(|known| report.order <= *known && !is_silent) {
            return false;
        }
        last.orders.retain(|host, _| report.hosts.iter().any(|(note, _)| note.host == *host));
        last.orders.insert(report.by.clone(), report.order);
        // A host that has just woken, or is cut off from its zone, knows of itself alone: its sums
        // would make the zone's targets look idle for a moment.
        let is_partial = covers * 2 < last.covers;
        if is_partial && now.saturating_sub(last.at) < PARTIAL_WAIT {
            return true;
        }
        last.at = now;
        last.covers = covers;
        let check = report.declared_check.map(|age| DeclaredCheck::from_age(age, now));
        last.declared_check = check.or(last.declared_check);
        last.informed.clone_from(&report.informed);
        last.load.clone_from(&report.load);
        true
    }

    /// The loads of all zones that were heard lately.
    pub fn loads(&self, now: Moment) -> impl Iterator<Item = (&ZoneId, &Load)> {
        self.fresh(now).map(|(zone, last)| (zone, &last.load))
    }

    /// The latest confirmation of the declaration in each zone with a recent report.
    pub fn declared_checks(&self, now: Moment) -> impl Iterator<Item = DeclaredCheck> {
        self.fresh(now).filter_map(|(_, last)| last.declared_check)
    }

    /// The hosts of other zones that know most of the store.
    pub fn informed(&self, now: Moment) -> impl Iterator<Item = (&ZoneId, &Informed)> {
        self.fresh(now).flat_map(|(zone, last)| last.informed.iter().map(move |it| (zone, it)))
    }

    fn fresh(&self, now: Moment) -> impl Iterator<Item = (&ZoneId, &LastReport)> {
        self.zones.iter().filter(move |(_, last)| now.saturating_sub(last.at) < SILENCE)
    }
}
