//! What a run showed.

use std::fmt;

use hdrhistogram::Histogram;

use super::{
    cluster::Cluster,
    doubt::Doubt,
    load::{Record, WARM_UP},
    members::SHIFT_CAP,
    promise::{Count, Promise, Tally},
    watch::{Headroom, Watch},
};
use crate::prelude::*;

/// Time over which a shift is held against its cap.
const CAP_WINDOW: Duration = Duration::from_secs(10);

/// Requests in a window below which a share says nothing.
const CAP_LEAST: usize = 20;

/// A whole run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub members: Vec<MemberReport>,
    pub seconds: u64,
    pub seed: u64,
}

/// One member's part.
#[derive(Clone, Debug, Serialize)]
pub struct MemberReport {
    pub doubts: Vec<Doubt>,
    pub drain_ms: Option<u64>,
    pub headroom: Headroom,
    pub in_force_ms: Option<u64>,
    /// Broken invariants on the time lines of the hosts that ran at the end.
    pub invariants: Vec<String>,
    pub latency: Vec<Latency>,
    pub member: MemberId,
    pub outcomes: BTreeMap<String, u64>,
    pub promises: Vec<PromiseReport>,
    pub requests: usize,
}

/// Answer times of one service, in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Latency {
    pub answered: u64,
    pub p50: f64,
    pub p99: f64,
    pub p999: f64,
    pub service: ServiceId,
}

/// One promise.
#[derive(Clone, Debug, Serialize)]
pub struct PromiseReport {
    pub count: Count,
    pub promise: Promise,
}

impl Report {
    /// Whether every promise was checked and none broken.
    pub fn holds(&self) -> bool {
        let promises = self.members.iter().flat_map(|member| &member.promises);
        let kept = promises.clone().all(|row| row.count.broken == 0 && 0 < row.count.checked);
        kept && self.members.iter().all(|member| member.invariants.is_empty())
    }
}

impl MemberReport {
    pub(super) fn new(
        cluster: &Cluster,
        records: &[Record],
        tally: &Tally,
        watch: &Watch,
        drain: Option<Duration>,
        invariants: Vec<String>,
    ) -> Self {
        check_runs(cluster, records, tally);
        check_caps(cluster, records, tally);
        let mut outcomes: BTreeMap<String, u64> = BTreeMap::new();
        for record in records {
            let name = match (&record.heard.error, record.heard.ran) {
                (_, Ran::Yes) => "answered".to_owned(),
                (Some(error), ran) => format!("{ran}: {error}"),
                (None, ran) => format!("{ran}: no answer"),
            };
            *outcomes.entry(name).or_default() += 1;
        }
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let promises = Promise::ALL
            .map(|promise| PromiseReport { count: tally.count(promise), promise })
            .to_vec();
        Self {
            doubts: Doubt::all(cluster, records),
            drain_ms: drain.map(millis),
            headroom: watch.headroom.clone(),
            in_force_ms: watch.slowest.map(millis),
            invariants,
            latency: latencies(cluster, records),
            member: cluster.plan.name.into(),
            outcomes,
            promises,
            requests: records.len(),
        }
    }
}

/// Holds what callers of bookings were told against what the targets ran.
fn check_runs(cluster: &Cluster, records: &[Record], tally: &Tally) {
    for record in records {
        let Some((last, refused)) = record.heard.keys.split_last() else { continue };
        for key in refused {
            let runs = cluster.log.runs(key);
            tally.check(Promise::NotRunIsTrue, runs == 0, || {
                format!("{key} was told not run and ran")
            });
        }
        let runs = cluster.log.runs(last);
        tally.check(Promise::AtMostOnce, runs <= 1, || format!("{last} ran {runs} times"));
        match record.heard.ran {
            Ran::No => tally.check(Promise::NotRunIsTrue, runs == 0, || {
                format!("{last} was told not run ({:?}) and ran", record.heard.error)
            }),
            Ran::Yes => tally.check(Promise::NotRunIsTrue, runs == 1, || {
                format!("{last} was told run and ran {runs} times")
            }),
            Ran::Unknown => {}
        }
    }
}

/// Holds the requests that other regions served against the cap, in windows that overlap by half.
fn check_caps(cluster: &Cluster, records: &[Record], tally: &Tally) {
    let region_of = |name: &TargetId| {
        let running = cluster.targets.iter().find(|running| running.target.name == *name);
        running.map(|running| running.place.region.clone())
    };
    let mut windows: BTreeMap<Window, Shifted> = BTreeMap::new();
    for record in records {
        let served = record.heard.served_by.as_ref().and_then(region_of);
        let away = served.is_some_and(|region| region != record.home);
        let half = CAP_WINDOW.as_millis() / 2;
        let latest = record.at.as_millis() / half;
        for number in latest.saturating_sub(1)..=latest {
            let (home, service) = (record.home.clone(), record.service.clone());
            let shifted = windows.entry(Window { home, number, service }).or_default();
            shifted.all += 1;
            shifted.away += usize::from(away);
        }
    }
    for (window, shifted) in windows.iter().filter(|(_, shifted)| CAP_LEAST <= shifted.all) {
        let most = (SHIFT_CAP * shifted.all as f64).ceil() as usize;
        tally.check(Promise::ShiftUnderCap, shifted.away <= most, || {
            format!("{window:?}: {} of {} served elsewhere", shifted.away, shifted.all)
        });
    }
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Window {
    home: RegionId,
    number: u128,
    service: ServiceId,
}

#[derive(Clone, Copy, Debug, Default)]
struct Shifted {
    all: usize,
    away: usize,
}

fn latencies(cluster: &Cluster, records: &[Record]) -> Vec<Latency> {
    let services = cluster.plan.services.iter();
    services.filter_map(|service| latency(service.name, records)).collect()
}

fn latency(service: &str, records: &[Record]) -> Option<Latency> {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, 120_000_000, 3).ok()?;
    let answered =
        records.iter().filter(|record| &*record.service == service && record.heard.ran == Ran::Yes);
    for record in answered {
        let micros = u64::try_from(record.heard.latency.as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(micros.max(1));
    }
    let millis = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    Some(Latency {
        answered: histogram.len(),
        p50: millis(0.5),
        p99: millis(0.99),
        p999: millis(0.999),
        service: service.into(),
    })
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}, {} s", self.seed, self.seconds)?;
        for member in &self.members {
            write!(f, "\n{member}")?;
        }
        Ok(())
    }
}

impl fmt::Display for MemberReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}: {} requests", self.member, self.requests)?;
        writeln!(f, "  answer times after {WARM_UP:?} of warm-up:")?;
        writeln!(
            f,
            "  {:<12} {:>8} {:>9} {:>9} {:>9}",
            "service", "answered", "p50 ms", "p99 ms", "p99.9 ms"
        )?;
        for row in &self.latency {
            writeln!(
                f,
                "  {:<12} {:>8} {:>9.1} {:>9.1} {:>9.1}",
                row.service, row.answered, row.p50, row.p99, row.p999
            )?;
        }
        for (region, spare) in &self.headroom {
            writeln!(f, "  lowest headroom in {region}: {:.0} %", spare * 100.0)?;
        }
        if let Some(millis) = self.drain_ms {
            writeln!(f, "  last new work {millis} ms after a drain")?;
        }
        if let Some(millis) = self.in_force_ms {
            writeln!(f, "  manifest in force everywhere after {millis} ms at most")?;
        }
        for (outcome, count) in &self.outcomes {
            writeln!(f, "  {count:>8} {outcome}")?;
        }
        for doubt in &self.doubts {
            write!(f, "{doubt}")?;
        }
        for broken in &self.invariants {
            writeln!(f, "  invariant broken: {broken}")?;
        }
        for row in &self.promises {
            let Count { broken, checked, details } = &row.count;
            writeln!(f, "  {checked:>8} checked {broken:>5} broken  {}", row.promise.label())?;
            for detail in details {
                writeln!(f, "           {detail}")?;
            }
        }
        Ok(())
    }
}
