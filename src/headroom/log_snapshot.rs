//! Makes a snapshot of what was read from logs.

use super::{
    Demand, LogReader, MIN_TREND_SAMPLES, Snapshot, TREND_SAMPLES, forecast,
    logs::{WINDOW, Window},
    snapshot::UNKNOWN_REGION,
};
use crate::prelude::*;

/// Most names listed in one sentence on what is not known.
const MAX_LISTED_NAMES: usize = 5;

/// The snapshot at the end of the last complete window.
pub(super) fn build(logs: &LogReader) -> Snapshot {
    let windows = complete_windows(logs);
    let mut snapshot = Snapshot { regions: logs.regions.clone(), ..Snapshot::default() };
    add_slots(&mut snapshot, logs, &windows);
    if !windows.is_empty() {
        add_demand(&mut snapshot, logs, &windows);
    }
    add_shares(&mut snapshot, logs);
    snapshot.unknown = unknown(&snapshot, logs, &windows);
    snapshot
}

/// The last windows that are complete, in order of time: the newest one is not, and the oldest of
/// all may have begun before the logs.
fn complete_windows(logs: &LogReader) -> Vec<Window> {
    let Some(newest) = logs.windows.keys().next_back().copied() else { return Vec::new() };
    let first = logs.first_window.unwrap_or_default() + 1;
    let first = first.max(newest.saturating_sub(TREND_SAMPLES as u64));
    let window = |number| logs.windows.get(&number).cloned().unwrap_or_default();
    (first..newest).map(window).collect()
}

fn add_slots(snapshot: &mut Snapshot, logs: &LogReader, windows: &[Window]) {
    for (target, place) in &logs.targets {
        let Some(place) = &place.value else { continue };
        let is_evacuated = logs.evacuated.get(&place.zone).is_some_and(|zone| zone.value);
        if is_evacuated {
            continue;
        }
        let service = snapshot.services.entry(place.service.clone()).or_default();
        let zone = service.zones.entry(place.zone.clone()).or_default();
        zone.slots += f64::from(place.slots);
        zone.targets = Some(zone.targets.unwrap_or_default() + 1.0);
        let Some(window) = windows.last() else { continue };
        let busy_ms = window.busy_ms.get(target).copied().unwrap_or_default();
        let busy = (busy_ms as f64 / WINDOW.as_millis() as f64).min(f64::from(place.slots));
        zone.busy = Some(zone.busy.unwrap_or_default() + busy);
    }
}

fn add_demand(snapshot: &mut Snapshot, logs: &LogReader, windows: &[Window]) {
    let answered = windows.iter().flat_map(|window| window.answers.keys());
    for (service, _) in answered {
        snapshot.services.entry(service.clone()).or_default();
    }
    for (name, service) in &mut snapshot.services {
        let not_placed = windows.last().and_then(|window| window.not_placed.get(name).copied());
        service.not_placed = Some(f64::from(not_placed.unwrap_or_default()) / WINDOW.as_secs_f64());
        let has_answers =
            windows.iter().any(|window| window.answers.keys().any(|(service, _)| service == name));
        service.demand = match (work(logs, windows, name), has_answers) {
            (Some(work), _) => Some(service_demand(logs, windows, name, work)),
            (None, true) => None,
            (None, false) => Some(BTreeMap::new()),
        };
    }
}

/// Mean time that a request occupies a slot: that of the attempts that targets answered or, if
/// there is none, the hosts' own estimate.
fn work(logs: &LogReader, windows: &[Window], service: &ServiceId) -> Option<Duration> {
    let runs = windows.iter().filter_map(|window| window.runs.get(service));
    let (millis, count) =
        runs.fold((0, 0), |sum, runs| (sum.0 + runs.0, sum.1 + u64::from(runs.1)));
    if 0 < count {
        return Some(Duration::from_millis(millis).div_f64(count as f64));
    }
    logs.work_ms.get(service).map(|work| Duration::from_millis(work.value))
}

/// Demand by region: answers per second, times the time of work.
fn service_demand(
    logs: &LogReader,
    windows: &[Window],
    service: &ServiceId,
    work: Duration,
) -> BTreeMap<RegionId, Demand> {
    let mut samples: BTreeMap<RegionId, Vec<f64>> = BTreeMap::new();
    for (at, window) in windows.iter().enumerate() {
        let answers = window.answers.iter().filter(|((name, _), _)| name == service);
        for ((_, host), count) in answers {
            let samples = samples.entry(region_of_host(logs, host)).or_default();
            samples.resize(windows.len(), 0.0);
            let rate = f64::from(*count) / WINDOW.as_secs_f64();
            samples[at] += rate * work.as_secs_f64();
        }
    }
    let demand = |samples: &Vec<f64>| Demand {
        forecast: forecast(samples),
        now: samples.last().copied().unwrap_or_default(),
    };
    samples.iter().map(|(region, samples)| (region.clone(), demand(samples))).collect()
}

fn region_of_host(logs: &LogReader, host: &HostId) -> RegionId {
    let zone = logs.host_zones.get(host);
    let region = zone.and_then(|zone| logs.regions.get(zone));
    region.cloned().unwrap_or_else(|| UNKNOWN_REGION.into())
}

/// Shares of a home region: the mean of those that its hosts logged last.
fn add_shares(snapshot: &mut Snapshot, logs: &LogReader) {
    let mut hosts: BTreeMap<(&ServiceId, RegionId), f64> = BTreeMap::new();
    for (service, host) in logs.shares.keys() {
        *hosts.entry((service, region_of_host(logs, host))).or_default() += 1.0;
    }
    for ((service, host), shares) in &logs.shares {
        let home = region_of_host(logs, host);
        let count = hosts[&(service, home.clone())];
        let Some(capacity) = snapshot.services.get_mut(service) else { continue };
        let sums = capacity.shares.entry(home).or_default();
        for (region, share) in &shares.value {
            *sums.entry(region.clone()).or_default() += share / count;
        }
    }
}

/// What the logs do not tell.
fn unknown(snapshot: &Snapshot, logs: &LogReader, windows: &[Window]) -> Vec<String> {
    let mut unknown = vec![
        "which targets are cold, limit their requests or leave: their slots are counted in full"
            .to_owned(),
        "time of work alone: that of attempts includes round trips and waits at full targets, so \
         demand and busy slots are too high while targets are full"
            .to_owned(),
    ];
    if windows.len() < MIN_TREND_SAMPLES {
        let found = windows.len();
        unknown.push(format!(
            "forecast: the logs cover {found} complete windows of 2 s; {MIN_TREND_SAMPLES} are \
             needed"
        ));
    }
    if !windows.is_empty() && windows.iter().all(|window| window.answers.is_empty()) {
        unknown.push(
            "demand: no request was answered in the last complete windows; the hosts were idle, \
             or the clock of one is ahead"
                .to_owned(),
        );
    }
    let without_demand = snapshot.services.iter().filter(|(_, service)| service.demand.is_none());
    for (name, _) in without_demand {
        unknown.push(format!("demand of {name}: no attempt tells how long a request takes"));
    }
    let hosts = windows.iter().flat_map(|window| window.answers.keys().map(|(_, host)| host));
    let mut hosts: Vec<&HostId> =
        hosts.filter(|host| &*region_of_host(logs, host) == UNKNOWN_REGION).collect();
    hosts.sort();
    hosts.dedup();
    if !hosts.is_empty() {
        unknown.push(format!("region of hosts {}: no `started` line", list(&hosts)));
    }
    let zones = snapshot.zone_names();
    let zones: Vec<&ZoneId> =
        zones.iter().filter(|zone| &*snapshot.region_of(zone) == UNKNOWN_REGION).collect();
    if !zones.is_empty() {
        unknown.push(format!("region of zones {}: no line names it", list(&zones)));
    }
    if 0 < logs.relayed {
        let count = logs.relayed;
        unknown.push(format!("{count} requests were relayed to another host and count twice"));
    }
    if 0 < logs.dropped {
        let count = logs.dropped;
        unknown.push(format!("{count} lines were dropped by hosts: the figures are too low"));
    }
    if 0 < logs.unparsed {
        let (count, total) = (logs.unparsed, logs.total_lines);
        unknown.push(format!("{count} of {total} lines are not events and were left out"));
    }
    unknown
}

fn list(names: &[&Arc<str>]) -> String {
    let listed: Vec<&str> = names.iter().take(MAX_LISTED_NAMES).map(|name| &***name).collect();
    match names.len().saturating_sub(MAX_LISTED_NAMES) {
        0 => listed.join(", "),
        more => format!("{} and {more} more", listed.join(", ")),
    }
}
