//! Loads that targets state in their answers.

use super::{load::Size, loads::Loads};

/// Time for which a stated load is used, in milliseconds. After it, the requests of other hosts at
/// the target are unknown and taken to be none; otherwise a target that once stated a high load
/// would get no request, and thus state no other load.
const RETENTION_MS: u64 = 500;

/// Bytes of the header line with the load, for instance `load: 3\r\n`.
const STATED_BYTES: u64 = 9;

/// Requests of other hosts at a target.
#[derive(Clone, Copy, Debug, Default)]
struct Stated {
    /// When the target stated it, in milliseconds since the start.
    at: u64,
    others: u32,
}

/// Each host knows its own requests now, and those of the others as of its last answer of the
/// target.
#[derive(Debug)]
pub(super) struct StatedLoads {
    /// Bytes received by host.
    bytes: Vec<u64>,
    now: u64,
    /// Requests in flight by host and target.
    own: Vec<u32>,
    /// By host and target.
    stated: Vec<Stated>,
    targets: usize,
}

impl StatedLoads {
    /// Hosts without any answer.
    pub fn new(size: Size) -> Self {
        let pairs = size.hosts * size.targets;
        Self {
            bytes: vec![0; size.hosts],
            now: 0,
            own: vec![0; pairs],
            stated: vec![Stated::default(); pairs],
            targets: size.targets,
        }
    }
}

impl Loads for StatedLoads {
    fn advance(&mut self, now: u64) {
        self.now = now;
    }

    fn load(&self, host: usize, target: usize) -> u32 {
        let pair = host * self.targets + target;
        let Stated { at, others } = self.stated[pair];
        let is_recent = self.now < at + RETENTION_MS;
        self.own[pair] + if is_recent { others } else { 0 }
    }

    fn sent(&mut self, host: usize, target: usize) {
        self.own[host * self.targets + target] += 1;
    }

    fn ended(&mut self, host: usize, target: usize, load: usize) {
        let pair = host * self.targets + target;
        self.own[pair] -= 1;
        self.bytes[host] += STATED_BYTES;
        let others = (load as u32).saturating_sub(self.own[pair]);
        self.stated[pair] = Stated { at: self.now, others };
    }

    fn bytes(&self) -> &[u64] {
        &self.bytes
    }
}
