//! Two ways to run a booking at most once: the owner binding, and a record on the platform for
//! each booking.
//!
//! The record is written before the request is sent, on the condition that there is none, and once
//! more with the answer. The stand-in's platform answers over loopback after a set delay.

use std::time::Instant;

use eyre::Result;

use super::capacity::{
    gauge::{resident, thread_time},
    ledgers::filled,
};
use crate::{
    ledger::{BeginOutcome, ExecutionOutcome, KeptAnswer, Ledger, LedgerLimits, request_digest},
    prelude::*,
    standin::platform::{Faults, PlatformStandin},
    store::{Expect, HttpPlatform, Platform, RateLimits, new_operation_id},
};

/// Writes a second that the platform takes, as its users name it ("several hundred").
const PLATFORM_WRITES: f64 = 300.0;

/// Bytes of a booking's answer, made up.
const ANSWER: usize = 200;

/// What one way adds to a booking.
#[derive(Clone, Debug, Serialize)]
pub struct WayCost {
    pub calls_per_booking: f64,
    /// Bookings a second of all hosts together that the platform's writes allow.
    pub most_per_second: Option<f64>,
    pub p50_us: f64,
    pub p99_us: f64,
    pub way: Arc<str>,
}

/// What the entries of a ledger cost.
#[derive(Clone, Debug, Serialize)]
pub struct EntryCost {
    pub entries: usize,
    pub entries_per_mb: f64,
    /// Processor time to begin and end one.
    pub ns_per_entry: f64,
}

/// Fills a ledger, without answers. Call it first: memory that was given back would be used again
/// without showing up.
pub fn entries(entries: usize) -> EntryCost {
    let (before, start) = (resident(), thread_time());
    let ledger = filled(entries, None);
    let time = thread_time().saturating_sub(start);
    let megabytes = (resident() - before) / 1.0e6;
    let entries = ledger.len();
    EntryCost {
        entries,
        entries_per_mb: entries as f64 / megabytes.max(f64::EPSILON),
        ns_per_entry: time.as_nanos() as f64 / entries.max(1) as f64,
    }
}

/// Measures both ways over that many bookings each; delays are the platform's, in milliseconds.
pub async fn measure(bookings: usize, delays: &[u64]) -> Result<Vec<WayCost>> {
    let mut rows = vec![by_binding(bookings)];
    for delay in delays {
        rows.push(by_record(bookings, *delay).await?);
    }
    Ok(rows)
}

fn answer() -> Arc<KeptAnswer> {
    let body = vec![b'x'; ANSWER].into();
    Arc::new(KeptAnswer { body, headers: Vec::new(), status: 200 })
}

fn by_binding(bookings: usize) -> WayCost {
    let mut ledger = Ledger::new("host".into(), 1, LedgerLimits::default());
    let binding = ledger.binding();
    let (answer, request) = (answer(), RequestId::from("request"));
    let times = (0..bookings).map(|number| {
        let key = format!("booking-{number}").into();
        let start = Instant::now();
        let digest = request_digest("POST", "/seats", b"{}");
        let begun = ledger.begin(&binding, &key, digest, &request, Moment::ZERO);
        if begun == BeginOutcome::Accepted {
            ledger.end(&binding, &key, ExecutionOutcome::Answered(answer.clone()), Moment::ZERO);
        }
        start.elapsed()
    });
    row("owner binding".into(), times.collect(), 0.0)
}

async fn by_record(bookings: usize, delay_ms: u64) -> Result<WayCost> {
    let standin = PlatformStandin::bind(([127, 0, 0, 1], 0).into()).await?;
    standin.set_faults(Faults { delay_ms, ..Faults::default() });
    let limits = RateLimits { reads: 1.0e6, watches: 1.0, writes: 1.0e6 };
    let clock = Arc::new(crate::base::BootClock);
    let platform = HttpPlatform::with_limits(standin.address(), limits, clock);
    let mut times = Vec::with_capacity(bookings);
    for number in 0..bookings {
        let key = format!("bookings/{number}");
        let start = Instant::now();
        let claim = bytes::Bytes::from_static(b"claimed");
        let version = platform.put(&key, Expect::Absent, claim, new_operation_id()).await?;
        let kept = answer().body.clone();
        platform.put(&key, Expect::Version(version), kept, new_operation_id()).await?;
        times.push(start.elapsed());
    }
    let calls = platform.state().counts;
    let calls = (calls.reads + calls.writes) as f64 / bookings.max(1) as f64;
    Ok(row(format!("record on the platform, {delay_ms} ms a call").into(), times, calls))
}

fn row(way: Arc<str>, mut times: Vec<Duration>, calls_per_booking: f64) -> WayCost {
    times.sort();
    let at = |share: f64| {
        let index = (times.len().saturating_sub(1) as f64 * share) as usize;
        times.get(index).map_or(0.0, |time| time.as_nanos() as f64 / 1_000.0)
    };
    let most_per_second = (0.0 < calls_per_booking).then(|| PLATFORM_WRITES / calls_per_booking);
    WayCost { calls_per_booking, most_per_second, p50_us: at(0.5), p99_us: at(0.99), way }
}
