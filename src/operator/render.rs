//! The operators' view as text.

use std::fmt::Write;

use super::{
    explanation::Explanation,
    gather::{FleetStatus, HostAnswer},
    status::{DrainStatus, HostStatus},
    table::Table,
};
use crate::{manifest::DrainScope, prelude::*};

/// `status` as text.
pub fn render_status(fleet: &FleetStatus) -> String {
    let sections = [
        ("", zones(fleet)),
        ("hosts", hosts(fleet)),
        ("drains", drains(fleet)),
        ("services", services(fleet)),
        ("cut off", silent(fleet)),
        ("no answer", missing(fleet)),
    ];
    let mut text = String::new();
    for (name, table) in sections {
        if table.is_empty() {
            continue;
        }
        if !name.is_empty() {
            let _ = writeln!(text, "\n{name}");
        }
        let _ = write!(text, "{table}");
    }
    if 0 < fleet.not_asked {
        let _ = writeln!(text, "\n{} more hosts are known and were not asked", fleet.not_asked);
    }
    text
}

/// `explain` as text.
pub fn render_explanation(explanation: &Explanation) -> String {
    let mut table = Table::new(&["STEP", "FINDING"]);
    for step in &explanation.steps {
        table.row([step.name.to_string(), step.finding.to_string()]);
    }
    let target = explanation.target.as_deref().unwrap_or("nowhere: it would be refused now");
    table.row(["end".into(), target.into()]);
    table.to_string()
}

fn zones(fleet: &FleetStatus) -> Table {
    let mut table = Table::new(&["ZONE", "HOSTS", "MANIFEST", "ANSWERED"]);
    for (zone, answers) in fleet.zones() {
        let statuses = || answers.iter().filter_map(|answer| answer.status.as_ref());
        let mut sequences: Vec<Option<Sequence>> =
            statuses().map(|status| status.sequence).collect();
        sequences.sort();
        sequences.dedup();
        let in_force: Vec<String> = sequences.into_iter().map(sequence).collect();
        let answered = format!("{} of {}", statuses().count(), answers.len());
        table.row([zone.to_string(), answers.len().to_string(), in_force.join(" and "), answered]);
    }
    table
}

fn hosts(fleet: &FleetStatus) -> Table {
    let heading =
        ["HOST", "ZONE", "STATE", "MANIFEST", "RIGHT", "STANDS IN FOR", "PLATFORM", "EJECTED"];
    let mut table = Table::new(&heading);
    for HostAnswer { host, status, .. } in &fleet.hosts {
        let Some(status) = status else { continue };
        let state = if status.own.leaving { "leaving" } else { "serving" };
        table.row([
            host.id.to_string(),
            host.zone.to_string(),
            state.into(),
            sequence(status.sequence),
            right(status),
            list(status.tenure.iter().flat_map(|tenure| &tenure.provisional)),
            platform(status),
            list(&status.ejected),
        ]);
    }
    table
}

fn drains(fleet: &FleetStatus) -> Table {
    let mut table = Table::new(&["DRAIN", "SCOPE", "BY", "STATE", "IN FLIGHT", "IN FORCE AT"]);
    let mut drains: BTreeMap<&str, Vec<&DrainStatus>> = BTreeMap::new();
    let statuses = fleet.hosts.iter().filter_map(|answer| answer.status.as_ref());
    let asked = statuses.clone().count();
    for drain in statuses.flat_map(|status| &status.drains) {
        drains.entry(&drain.record.id).or_default().push(drain);
    }
    for (id, copies) in drains {
        let record = &copies[0].record;
        let in_flight: u64 = copies.iter().map(|copy| copy.in_flight).sum();
        let in_force = copies.iter().filter(|copy| copy.record.is_in_force()).count();
        table.row([
            id.to_string(),
            scope(&record.scope),
            record.by.to_string(),
            state(&copies, in_flight),
            in_flight.to_string(),
            format!("{in_force} of {asked} hosts"),
        ]);
    }
    table
}

fn state(copies: &[&DrainStatus], in_flight: u64) -> String {
    if let Some(waits) = copies.iter().find_map(|copy| copy.waits.as_ref()) {
        return format!("waits: {waits}");
    }
    let unsettled =
        if copies.iter().any(|copy| copy.record.settled) { "" } else { ", not settled" };
    let took = copies.iter().map(|copy| copy.took_ms).max().flatten();
    match took.filter(|_| in_flight == 0) {
        Some(took) => format!("drained in {}{unsettled}", seconds(took)),
        None => format!("draining{unsettled}"),
    }
}

fn services(fleet: &FleetStatus) -> Table {
    let mut table = Table::new(&["SERVICE", "HOST", "IN FLIGHT", "SLOTS", "SHIFTED", "CAP"]);
    let statuses = fleet.hosts.iter().filter_map(|answer| answer.status.as_ref());
    let mut rows: Vec<_> = statuses
        .flat_map(|status| status.services.iter().map(|service| (service, &status.own.id)))
        .collect();
    rows.sort_by_key(|(service, host)| (&service.service, *host));
    for (service, host) in rows {
        table.row([
            service.service.to_string(),
            host.to_string(),
            service.in_flight.to_string(),
            service.slots.to_string(),
            percent(service.shifted),
            percent(service.cap),
        ]);
    }
    table
}

fn silent(fleet: &FleetStatus) -> Table {
    let mut table = Table::new(&["ZONE", "FOR", "SEEN FROM"]);
    let mut zones: BTreeMap<&ZoneId, (u64, Vec<&HostId>)> = BTreeMap::new();
    for status in fleet.hosts.iter().filter_map(|answer| answer.status.as_ref()) {
        for silent in &status.silent_zones {
            let (longest, hosts) = zones.entry(&silent.zone).or_default();
            *longest = silent.for_ms.max(*longest);
            hosts.push(&status.own.id);
        }
    }
    for (zone, (longest, hosts)) in zones {
        table.row([zone.to_string(), seconds(longest), list(hosts)]);
    }
    table
}

fn missing(fleet: &FleetStatus) -> Table {
    let mut table = Table::new(&["HOST", "ZONE", "WHY"]);
    for answer in &fleet.hosts {
        let Some(error) = &answer.error else { continue };
        table.row([answer.host.id.to_string(), answer.host.zone.to_string(), error.clone()]);
    }
    table
}

fn right(status: &HostStatus) -> String {
    match &status.tenure {
        Some(tenure) if 0 < tenure.valid_ms => {
            format!("fence {}, {}", tenure.fence, seconds(tenure.valid_ms))
        }
        Some(tenure) => format!("fence {}, lapsed", tenure.fence),
        None => "none".into(),
    }
}

fn platform(status: &HostStatus) -> String {
    let age = status.platform_age_ms.map_or("never".into(), |age| format!("{} ago", seconds(age)));
    if status.breaker_open { format!("{age}, calls held back") } else { age }
}

fn scope(scope: &DrainScope) -> String {
    match scope {
        DrainScope::Host(name) => format!("host {name}"),
        DrainScope::Region(name) => format!("region {name}"),
        DrainScope::Target(name) => format!("target {name}"),
        DrainScope::Zone(name) => format!("zone {name}"),
    }
}

fn sequence(sequence: Option<Sequence>) -> String {
    sequence.map_or("none".into(), |sequence| sequence.to_string())
}

fn list<'a>(names: impl IntoIterator<Item = &'a Arc<str>>) -> String {
    let names: Vec<&str> = names.into_iter().map(|name| &**name).collect();
    if names.is_empty() { "-".into() } else { names.join(" ") }
}

fn seconds(millis: u64) -> String {
    format!("{:.1} s", millis as f64 / 1000.0)
}

fn percent(share: f64) -> String {
    format!("{:.0} %", share * 100.0)
}
