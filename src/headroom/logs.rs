//! Collects from the lines that hosts log what a snapshot needs, in bounded memory.
//!
//! Lines may come in any order of files: the newest statement about each subject counts, and
//! answers are counted by windows of time.

use super::{Snapshot, log_snapshot};
use crate::{
    event_log::{AttemptEnd, Event, Line, RelayEnd},
    prelude::*,
};

/// Length of the windows in which answers are counted.
pub(super) const WINDOW: Duration = Duration::from_secs(2);

/// Number of newest windows that are kept: those of the trend, the newest, which is not complete,
/// and a spare one for hosts whose logs end earlier.
pub(super) const KEPT_WINDOWS: u64 = super::TREND_SAMPLES as u64 + 2;

/// A value and the wall-clock time of its line, in milliseconds since the Unix epoch.
#[derive(Clone, Debug, Default)]
pub(super) struct Dated<T> {
    at_ms: u64,
    pub value: T,
}

/// Where a target is.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct TargetPlace {
    pub service: ServiceId,
    pub slots: u32,
    pub zone: ZoneId,
}

/// What happened in one window.
#[derive(Clone, Debug, Default)]
pub(super) struct Window {
    /// Number of answered requests, by service and host.
    pub answers: BTreeMap<(ServiceId, HostId), u32>,
    /// Time of the attempts that ended, in milliseconds, by target.
    pub busy_ms: BTreeMap<TargetId, u64>,
    /// Number of times that a request found no target.
    pub not_placed: BTreeMap<ServiceId, u32>,
    /// Time in milliseconds and number of the attempts that a target answered.
    pub runs: BTreeMap<ServiceId, (u64, u32)>,
}

/// Reads log lines of several hosts.
#[derive(Debug, Default)]
pub struct LogReader {
    /// Number of lines that hosts dropped.
    pub(super) dropped: u64,
    /// Whether a zone is evacuated.
    pub(super) evacuated: BTreeMap<ZoneId, Dated<bool>>,
    /// The oldest window of all lines, which may be incomplete.
    pub(super) first_window: Option<u64>,
    pub(super) host_zones: BTreeMap<HostId, ZoneId>,
    pub(super) regions: BTreeMap<ZoneId, RegionId>,
    /// Number of requests that another host served, which both hosts log as answered.
    pub(super) relayed: u64,
    pub(super) shares: BTreeMap<(ServiceId, HostId), Dated<BTreeMap<RegionId, f64>>>,
    /// `None` for a target that is gone or takes no requests.
    pub(super) targets: BTreeMap<TargetId, Dated<Option<TargetPlace>>>,
    pub(super) total_lines: u64,
    pub(super) unparsed: u64,
    pub(super) windows: BTreeMap<u64, Window>,
    /// Estimated time of work that hosts logged last, in milliseconds.
    pub(super) work_ms: BTreeMap<ServiceId, Dated<u64>>,
}

impl LogReader {
    /// Counts a line that is not an event.
    pub fn add_unparsed(&mut self) {
        self.total_lines += 1;
        self.unparsed += 1;
    }

    /// Whether any line was an event.
    pub fn has_events(&self) -> bool {
        self.unparsed < self.total_lines
    }

    /// Adds a line.
    pub fn add(&mut self, line: Line) {
        self.total_lines += 1;
        let (at, host) = (line.at_ms, line.host);
        match line.event {
            Event::HostHeard { peer, zone } => {
                self.host_zones.entry(peer).or_insert(zone);
            }
            Event::LinesDropped { counts } => self.dropped += counts.values().sum::<u64>(),
            Event::RelayEnded { end: RelayEnd::Answered, .. } => self.relayed += 1,
            Event::SharesMoved { service, shares } => {
                set(&mut self.shares, (service, host), shares, at);
            }
            Event::Started { region, zone, .. } => {
                self.regions.insert(zone.clone(), region);
                self.host_zones.insert(host, zone);
            }
            Event::TargetGone { target, .. } => set(&mut self.targets, target, None, at),
            Event::TargetKnown { ready, service, slots, target, zone, .. } => {
                let place = ready.then_some(TargetPlace { service, slots, zone });
                set(&mut self.targets, target, place, at);
            }
            Event::ZoneEvacuated { zone, .. } => set(&mut self.evacuated, zone, true, at),
            Event::ZoneTakenBack { zone, .. } => set(&mut self.evacuated, zone, false, at),
            event => self.add_request_event(event, host, at),
        }
    }

    fn add_request_event(&mut self, event: Event, host: HostId, at: u64) {
        match event {
            Event::Answered { service, .. } => {
                let Some(window) = self.window(at) else { return };
                *window.answers.entry((service, host)).or_default() += 1;
            }
            Event::AttemptEnded { connect_ms, end, service, target, took_ms, .. } => {
                let Some(window) = self.window(at) else { return };
                let run_ms = took_ms.saturating_sub(connect_ms.unwrap_or_default());
                *window.busy_ms.entry(target).or_default() += run_ms;
                if end == AttemptEnd::Answered {
                    let runs = window.runs.entry(service).or_default();
                    *runs = (runs.0.saturating_add(run_ms), runs.1 + 1);
                }
            }
            Event::NotPlaced { service, work_ms, .. } => {
                set(&mut self.work_ms, service.clone(), work_ms, at);
                let Some(window) = self.window(at) else { return };
                *window.not_placed.entry(service).or_default() += 1;
            }
            Event::Sent { region, service, slots, target, zone, .. } => {
                self.regions.insert(zone.clone(), region);
                let place = Some(TargetPlace { service, slots, zone });
                set(&mut self.targets, target, place, at);
            }
            _ => {}
        }
    }

    /// The window of a time; `None` if it is older than those that are kept.
    fn window(&mut self, at_ms: u64) -> Option<&mut Window> {
        let number = at_ms / WINDOW.as_millis() as u64;
        self.first_window = Some(self.first_window.map_or(number, |first| first.min(number)));
        let newest = self.windows.keys().next_back().copied().unwrap_or(number).max(number);
        let oldest = newest.saturating_sub(KEPT_WINDOWS - 1);
        self.windows.retain(|number, _| oldest <= *number);
        (oldest <= number).then(|| self.windows.entry(number).or_default())
    }

    /// The snapshot at the end of the last complete window.
    pub fn finish(&self) -> Snapshot {
        log_snapshot::build(self)
    }
}

/// Replaces the value of a subject unless it is newer.
fn set<K: Ord, T>(values: &mut BTreeMap<K, Dated<T>>, key: K, value: T, at_ms: u64) {
    if values.get(&key).is_none_or(|known| known.at_ms <= at_ms) {
        values.insert(key, Dated { at_ms, value });
    }
}
