//! Latest reports of other zones.

use super::{DeclarationCheck, Load, SILENCE_TIMEOUT, StateSource, ZoneReport};
use crate::prelude::*;

/// Time for which a report that covers few hosts of its zone does not replace a more complete one.
const PARTIAL_REPORT_DELAY: Duration = Duration::from_secs(1);

/// Time for which the order of a sender's reports is remembered.
const SENDER_TTL: Duration = Duration::from_secs(120);

/// The latest report of each zone.
#[derive(Debug, Default)]
pub struct Reports {
    zones: BTreeMap<ZoneId, LastReport>,
}

#[derive(Debug)]
struct LastReport {
    received_at: Moment,
    declaration_check: Option<DeclarationCheck>,
    state_sources: Vec<StateSource>,
    load: Load,
    load_received_at: Moment,
    /// Number of hosts whose loads are in `load`.
    load_hosts: u16,
    member_count: u16,
    /// Order of the latest report of each sender, and when it arrived.
    orders: BTreeMap<HostId, ((u64, u64), Moment)>,
}

impl LastReport {
    /// Replaces the load, unless the new one leaves out most hosts, as a second collection of those
    /// that were late does.
    fn record_load(&mut self, load: &Load, hosts: u16, now: Moment) {
        let is_partial = hosts.saturating_mul(2) < self.load_hosts;
        if is_partial && now.saturating_sub(self.load_received_at) < PARTIAL_REPORT_DELAY {
            return;
        }
        self.load_received_at = now;
        self.load_hosts = hosts;
        self.load.clone_from(load);
    }
}

impl Reports {
    /// Records a report, except for its hosts, which are recorded in `Peers`. Returns whether it is
    /// new.
    pub fn record(&mut self, report: &ZoneReport, now: Moment) -> bool {
        let last = self.zones.entry(report.zone.clone()).or_insert_with(|| LastReport {
            received_at: Moment::ZERO,
            declaration_check: None,
            state_sources: Vec::new(),
            load: Load::default(),
            load_received_at: Moment::ZERO,
            load_hosts: 0,
            member_count: 0,
            orders: BTreeMap::new(),
        });
        let is_silent = !is_fresh(last.received_at, now);
        // A report without a load only shows who is live, which may arrive in any order.
        if report.load.is_some() {
            let known = last.orders.get(&report.sender);
            // After a silence of the zone any report is accepted, in case the clock of its sender
            // was set back.
            if known.is_some_and(|(known, _)| report.order <= *known && !is_silent) {
                return false;
            }
            last.orders.retain(|_, (_, at)| now.saturating_sub(*at) < SENDER_TTL);
            last.orders.insert(report.sender.clone(), (report.order, now));
        }
        // A host that has just resumed after a pause, or is partitioned from its zone, knows only
        // its own load. Its sums would briefly make targets used by the zone look idle.
        let is_partial = report.members.count.saturating_mul(2) < last.member_count;
        if is_partial && now.saturating_sub(last.received_at) < PARTIAL_REPORT_DELAY {
            return true;
        }
        last.received_at = now;
        last.member_count = report.members.count;
        let check = report.declaration_check.map(|age| DeclarationCheck::from_age(age, now));
        last.declaration_check = check.or(last.declaration_check);
        last.state_sources.clone_from(&report.state_sources);
        if let Some((load, load_hosts)) = &report.load {
            last.record_load(load, *load_hosts, now);
        }
        true
    }

    /// Sums of the loads in each zone with a recent report.
    pub fn loads(&self, now: Moment) -> impl Iterator<Item = (&ZoneId, &Load)> {
        let is_fresh = move |last: &LastReport| is_fresh(last.load_received_at, now);
        let fresh = self.zones.iter().filter(move |(_, last)| is_fresh(last));
        fresh.map(|(zone, last)| (zone, &last.load))
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
        self.zones.iter().filter(move |(_, last)| is_fresh(last.received_at, now))
    }
}

fn is_fresh(received_at: Moment, now: Moment) -> bool {
    now.saturating_sub(received_at) < SILENCE_TIMEOUT
}
