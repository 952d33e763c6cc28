//! The lines of a trace.

use crate::prelude::*;

/// Name of the format, first field of the header.
pub const FORMAT: &str = "lavenderplank-trace";

/// Version that is written; others are refused, since decisions can't be compared across them.
pub const VERSION: u32 = 1;

/// First line of a trace.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Always `FORMAT`.
    pub format: Arc<str>,
    /// What the run is about, one line for people.
    pub title: Arc<str>,
    /// Always `VERSION`.
    pub version: u32,
}

impl Header {
    /// The header of this version.
    pub fn new(title: &str) -> Self {
        Self { format: FORMAT.into(), title: title.into(), version: VERSION }
    }
}

/// Every line after the header.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "lowercase")]
pub enum Record<S, E, A, O> {
    End(End),
    Outcome(O),
    Start(Start<S>),
    Step(Step<E, A>),
}

/// A machine starts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Start<S> {
    /// Number of the machine in this trace, from 0 on.
    pub machine: usize,
    /// Seed of the machine's random numbers.
    pub seed: u64,
    pub state: S,
}

/// One input of a machine and what it decided.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Step<E, A> {
    pub actions: Vec<A>,
    pub event: E,
    pub machine: usize,
    /// Nanoseconds since the start of the machine's clock.
    pub now: u64,
}

/// Last line of a trace.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct End {
    /// Number of `step` lines.
    pub steps: usize,
}

/// A whole trace in memory.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace<S, E, A, O> {
    pub header: Header,
    pub outcomes: Vec<O>,
    pub starts: Vec<Start<S>>,
    pub steps: Vec<Step<E, A>>,
}
