//! Readings of processor time and memory of this process.

use std::{io::Write, time::Duration};

use flate2::{Compression, write::GzEncoder};
use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;

use crate::peer::MIN_COMPRESSED_BYTES;

/// Processor time that one round of a measurement takes at least.
const ROUND: Duration = Duration::from_millis(10);

/// Rounds; the lowest counts, since other work on the machine only ever adds.
const ROUNDS: usize = 5;

const MAX_ITERATIONS: u128 = 1_000_000;

/// Processor time that this thread has used.
pub fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(secs, u32::try_from(time.tv_nsec).unwrap_or_default())
}

/// Nanoseconds of processor time that `op` takes.
pub fn cost_ns(mut op: impl FnMut()) -> f64 {
    let start = thread_time();
    op();
    let once = (thread_time() - start).as_nanos().max(1);
    let iterations = (ROUND.as_nanos() / once).clamp(1, MAX_ITERATIONS);
    let round = |_| {
        let start = thread_time();
        for _ in 0..iterations {
            op();
        }
        (thread_time() - start).as_nanos() as f64 / iterations as f64
    };
    (0..ROUNDS).map(round).fold(f64::INFINITY, f64::min)
}

/// Resident memory of this process in bytes; 0 where the system does not tell.
pub fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|rest| rest.split_whitespace().next());
    kilobytes.and_then(|text| text.parse::<f64>().ok()).unwrap_or_default() * 1024.0
}

/// Bytes of a message as text.
pub fn plain_len<T: Serialize>(message: &T) -> usize {
    serde_json::to_vec(message).map_or(0, |text| text.len())
}

/// Bytes of a message between hosts that know each other, which is compressed past a small size.
pub fn packed_len<T: Serialize>(message: &T) -> usize {
    let plain = serde_json::to_vec(message).unwrap_or_default();
    if plain.len() < usize::from(MIN_COMPRESSED_BYTES) {
        return plain.len();
    }
    let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
    let packed = encoder.write_all(&plain).and_then(|()| encoder.finish());
    packed.map_or(plain.len(), |packed| packed.len())
}
