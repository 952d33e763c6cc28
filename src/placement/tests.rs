//! Tests of placement decisions.

mod cached_objects;
mod choose;
mod first_runs;
mod learned;
mod learning;
mod limited_target_pacer;
mod limited_targets;
mod load_patterns;
mod region_shares;
mod simulation;
mod starting_hosts;
mod target_index;
mod target_notices;
mod uncached_objects;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    entry::{KnownTarget, TargetEntry},
    placement::{Candidate, ServiceEstimates, WorkTime},
    prelude::*,
};

/// A warm target with three slots in a zone of the region.
fn known(id: &str, region: &str) -> Arc<KnownTarget> {
    let entry = TargetEntry {
        addr: "127.0.0.1:1".parse().expect("an address"),
        cold_for: Duration::ZERO,
        id: id.into(),
        ready: true,
        service: "desk".into(),
        slots: 3,
        started: 1,
        zone: format!("{region}-a").into(),
    };
    let tag = xxh3_64(id.as_bytes()) as u32;
    Arc::new(KnownTarget { cold_until: Moment::ZERO, entry, region: region.into(), tag })
}

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

/// Candidates without load, and without known requests for any object.
fn idle(targets: &[Arc<KnownTarget>]) -> Vec<Candidate<'_>> {
    let candidate = |target| Candidate {
        available_in: None,
        cold: false,
        depth: None,
        is_recheck_due: false,
        load: 0.0,
        unavailable: false,
        slowdown: 1.0,
        target,
        round_trip: Duration::ZERO,
    };
    targets.iter().map(candidate).collect()
}

/// Estimates of 100 ms for a cache hit and 300 ms for a miss.
fn estimates() -> ServiceEstimates {
    let mut work = WorkTime::default();
    work.record_run(secs(0.1), Some(true));
    work.record_run(secs(0.3), Some(false));
    (0..3_000).for_each(|_| work.record_sent(secs(0.1)));
    ServiceEstimates { work, ..ServiceEstimates::default() }
}
