//! Why a caller was told `unknown`: its sends, and the time lines of all hosts about the request.

use std::fmt;

use super::{cluster::Cluster, load::Record};
use crate::{
    prelude::*,
    standin::caller::SendRecord,
    timeline::{Event, Filter, Format, merge, write},
};

/// Most requests that a report explains.
const MOST: usize = 20;

/// Starts and stops of hosts are shown this long before and after the request.
const NEAR_MS: u64 = 7_000;

/// One request that ended in doubt.
#[derive(Clone, Debug, Serialize)]
pub struct Doubt {
    /// Since the start of the load.
    pub at: Duration,
    pub events: Vec<Event>,
    pub keys: Vec<Arc<str>>,
    pub request: RequestId,
    pub sends: Vec<SendRecord>,
}

impl Doubt {
    /// The first of those that were told `unknown`.
    pub(super) fn all(cluster: &Cluster, records: &[Record]) -> Vec<Self> {
        let unknown = records.iter().filter(|record| record.heard.ran == Ran::Unknown);
        unknown.take(MOST).map(|record| Self::of(cluster, record)).collect()
    }

    fn of(cluster: &Cluster, record: &Record) -> Self {
        let recorders = cluster.recorders.lock().expect("no holder panics");
        let events = |filter: &Filter| {
            let lists = recorders.iter().map(|recorder| recorder.events(filter));
            merge(lists.collect())
        };
        let request = Filter { request: Some(record.request.clone()), ..Filter::default() };
        let own = events(&request);
        let stops = ["handover-done", "started", "stopped"].map(|kind| {
            let filter = Filter { kind: Some(kind.into()), ..Filter::default() };
            events(&filter).into_iter().filter(|event| is_near(event, &own)).collect::<Vec<_>>()
        });
        Self {
            at: record.at,
            events: merge(stops.into_iter().chain([own.clone()]).collect()),
            keys: record.heard.keys.clone(),
            request: record.request.clone(),
            sends: record.heard.trail.clone(),
        }
    }
}

/// Whether it is of a host that saw the request, shortly before or after.
fn is_near(event: &Event, request: &[Event]) -> bool {
    let (Some(first), Some(last)) = (request.first(), request.last()) else { return false };
    let at = event.at.millis;
    first.at.millis <= at + NEAR_MS
        && at <= last.at.millis + NEAR_MS
        && request.iter().any(|seen| seen.host == event.host)
}

impl fmt::Display for Doubt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "  unknown: {} at {:.3} s", self.request, self.at.as_secs_f64())?;
        for send in &self.sends {
            let SendRecord { binding, from, host, until, what } = send;
            let what = what.as_deref().unwrap_or("answered");
            writeln!(f, "    {from:.1?} to {until:.1?} {host} {binding}: {what}")?;
        }
        let mut lines = Vec::new();
        write(Format::Text, &self.events, &mut lines).map_err(|_| fmt::Error)?;
        f.write_str(&String::from_utf8_lossy(&lines))
    }
}
