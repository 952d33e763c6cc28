//! The events of all hosts in the order of time.

use super::{
    host_clock::{HostClock, RunId, RunTimes},
    line::{self, LineEvent, RequestEvent},
    names::{NameId, Names},
};
use crate::prelude::*;

/// Collects the lines of the hosts' logs. Lines of one host are expected in the order in which the
/// host wrote them; the hosts may share a file or have one each.
#[derive(Debug, Default)]
pub struct Logs {
    clocks: BTreeMap<NameId, HostClock>,
    names: Names,
    records: Vec<Record>,
    summary: LogSummary,
}

/// What was read.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LogSummary {
    /// Number of lines that the hosts say they dropped; what these would report is not counted.
    pub dropped_lines: u64,
    pub hosts: usize,
    /// Number of lines whose wall clock had jumped; their times are taken from the boot clock.
    pub jumped_lines: u64,
    pub lines: u64,
    /// Wall clock of the first event that counts, in milliseconds since the Unix epoch. The
    /// report's times are relative to it.
    pub start_ms: i64,
    /// Number of lines that are not events.
    pub unreadable_lines: u64,
}

/// Identifies a request: its host, the run of the host, and its number in the run.
pub type RequestRef = (NameId, RunId, u64);

/// An event of a request.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    /// Time since the first record.
    pub at: Moment,
    pub event: RequestEvent,
    pub request: RequestRef,
    /// End of the host's log of this run.
    pub log_end: Moment,
    time_ms: i64,
}

/// The records of all hosts in the order of time.
#[derive(Debug)]
pub struct SortedLogs {
    pub names: Names,
    pub records: Vec<Record>,
    pub summary: LogSummary,
}

impl Logs {
    /// Adds a line; `None` is a line without JSON text.
    pub fn add(&mut self, json: Option<&[u8]>) {
        self.summary.lines += 1;
        let Some(line) = json.and_then(|json| line::parse(json, &mut self.names)) else {
            self.summary.unreadable_lines += 1;
            return;
        };
        let is_start = matches!(line.event, LineEvent::Started);
        let clock = self.clocks.entry(line.host).or_default();
        let run = clock.observe(line.at_ms, line.up_ms, is_start);
        match line.event {
            LineEvent::Dropped(count) => self.summary.dropped_lines += count,
            LineEvent::Request { own, event } => self.records.push(Record {
                at: Moment::ZERO,
                event,
                request: (line.host, run, own),
                log_end: Moment::ZERO,
                time_ms: line.up_ms,
            }),
            LineEvent::Started | LineEvent::Other => {}
        }
    }

    /// Sorts the records by time. Records of the same millisecond are sorted by host, and those of
    /// one host stay in the order of its log, whatever the order of the files.
    pub fn sort(self) -> SortedLogs {
        let Self { clocks, names, mut records, mut summary } = self;
        let times: BTreeMap<NameId, Vec<RunTimes>> =
            clocks.iter().map(|(host, clock)| (*host, clock.run_times())).collect();
        let run_times = |(host, run, _): RequestRef| times[&host][run as usize];
        for record in &mut records {
            record.time_ms = run_times(record.request).time_ms(record.time_ms);
        }
        records.sort_by_cached_key(|record| (record.time_ms, names.name(record.request.0).clone()));
        let start_ms = records.first().map_or(0, |record| record.time_ms);
        let since_start =
            |time_ms: i64| Moment::from_millis(time_ms.saturating_sub(start_ms).max(0) as u64);
        for record in &mut records {
            record.at = since_start(record.time_ms);
            record.log_end = since_start(run_times(record.request).end_ms);
        }
        summary.hosts = clocks.len();
        summary.jumped_lines = times.values().flatten().map(|run| run.jumped_lines).sum();
        summary.start_ms = start_ms;
        SortedLogs { names, records, summary }
    }
}
