//! The time line: typed events of every process, in one causal order.

mod event;
mod filter;
mod gather;
mod hybrid_clock;
mod merge;
mod recorder;
mod ring;
#[cfg(test)]
mod tests;
mod write;

pub use self::{
    event::{Event, EventKind, HybridTime},
    filter::{Filter, MAX_EVENTS},
    gather::{Gathered, Gatherer, ago},
    hybrid_clock::{HybridClock, MAX_SKEW},
    merge::merge,
    recorder::{DEFAULT_CAPACITY, EventSink, LOOKUP_SAMPLING, NullSink, Recorder},
    ring::{Entry, Ring},
    write::{Format, ReadError, read_lines, write},
};
