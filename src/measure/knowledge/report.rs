//! All runs of the measurement.

use std::sync::atomic::{AtomicUsize, Ordering};

use super::{
    Way,
    load::{Size, arrivals},
    simulation::{Simulation, Tally},
};
use crate::prelude::*;

/// Loads, as fractions of what the slots can serve with cached objects alone.
const LOADS: [f64; 3] = [0.7, 1.0, 1.2];

/// Maximum expected answer times, in objectives.
const LIMITS: [f64; 3] = [1.0, 1.2, 2.0];

/// What to run.
#[derive(Clone, Debug)]
pub struct Choice {
    pub limits: Vec<f64>,
    pub loads: Vec<f64>,
    pub seed: u64,
    pub sizes: Vec<Size>,
    /// Threads to run on.
    pub threads: usize,
    pub ways: Vec<Way>,
}

/// The figures of one run. Fractions are of the requests that arrived, unless stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Bytes of control messages that a host sent per second, the mean of the hosts and the most.
    pub bytes_mean: f64,
    pub bytes_most: f64,
    /// Fraction of the requests sent that were sent to a full target while another one had a free
    /// slot.
    pub full: f64,
    /// Fraction of the requests sent that were sent to a full target that the sender believed to
    /// have a free slot.
    pub full_believed_free: f64,
    /// Fraction of the requests sent that were sent to a full target while one with a free slot had
    /// the object cached.
    pub full_free_holder: f64,
    pub hosts: usize,
    pub in_time: f64,
    pub late: f64,
    /// Maximum expected answer time, in objectives.
    pub limit: f64,
    pub load: f64,
    /// Fraction of the requests sent that were sent to a target without the object.
    pub misses: f64,
    pub refused: f64,
    pub requests: u64,
    /// Time in which arriving requests were counted.
    pub seconds: f64,
    pub targets: usize,
    pub way: Way,
}

/// The runs of a measurement, in the order of the choice.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Maximum expected answer times, in objectives.
    pub limits: Vec<f64>,
    pub rows: Vec<Row>,
    pub seed: u64,
}

impl Choice {
    /// Every size, load, way and limit.
    pub fn all(seed: u64, threads: usize) -> Self {
        Self {
            limits: LIMITS.to_vec(),
            loads: LOADS.to_vec(),
            seed,
            sizes: Size::ALL.to_vec(),
            threads,
            ways: Way::ALL.to_vec(),
        }
    }

    /// One size for a few seconds, one limit.
    pub fn quick(seed: u64, threads: usize) -> Self {
        Self { limits: vec![1.2], sizes: vec![Size::QUICK], ..Self::all(seed, threads) }
    }

    fn cases(&self) -> Vec<Case> {
        let mut cases = Vec::new();
        for &size in &self.sizes {
            for &load in &self.loads {
                for &way in &self.ways {
                    cases.extend(self.limits.iter().map(|&limit| Case { limit, load, size, way }));
                }
            }
        }
        cases
    }
}

#[derive(Clone, Copy, Debug)]
struct Case {
    limit: f64,
    load: f64,
    size: Size,
    way: Way,
}

impl Case {
    fn run(self, seed: u64) -> Row {
        let Self { limit, load, size, way } = self;
        let simulation = Simulation::new(size, way, limit);
        let (tally, bytes) = simulation.run(&arrivals(size, load, seed));
        let requests = tally.in_time + tally.late + tally.refused;
        let seconds = size.counted_ms as f64 / 1e3;
        let Tally { in_time, late, misses, refused, sent, .. } = tally;
        let bytes_sum: u64 = bytes.iter().sum();
        Row {
            bytes_mean: bytes_sum as f64 / size.hosts as f64 / seconds,
            bytes_most: bytes.iter().copied().max().unwrap_or_default() as f64 / seconds,
            full: fraction(tally.full, sent),
            full_believed_free: fraction(tally.full_believed_free, sent),
            full_free_holder: fraction(tally.full_free_holder, sent),
            hosts: size.hosts,
            in_time: fraction(in_time, requests),
            late: fraction(late, requests),
            limit,
            load,
            misses: fraction(misses, sent),
            refused: fraction(refused, requests),
            requests,
            seconds,
            targets: size.targets,
            way,
        }
    }
}

fn fraction(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// Runs all cases; `progress` is told how many of them have ended.
pub fn run(choice: &Choice, progress: impl Fn(usize, usize) + Sync) -> Report {
    let cases = choice.cases();
    let (next, done) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let work = || {
        let mut rows = Vec::new();
        while let Some((at, case)) = take(&next, &cases) {
            rows.push((at, case.run(choice.seed)));
            progress(done.fetch_add(1, Ordering::Relaxed) + 1, cases.len());
        }
        rows
    };
    let mut rows: Vec<(usize, Row)> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..choice.threads.max(1)).map(|_| scope.spawn(work)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a run panicked")).collect()
    });
    rows.sort_by_key(|(at, _)| *at);
    Report {
        limits: choice.limits.clone(),
        rows: rows.into_iter().map(|(_, row)| row).collect(),
        seed: choice.seed,
    }
}

fn take(next: &AtomicUsize, cases: &[Case]) -> Option<(usize, Case)> {
    let at = next.fetch_add(1, Ordering::Relaxed);
    Some((at, *cases.get(at)?))
}
