//! The time line: typed events of every process, in one causal order.

mod event;

pub use self::event::{Event, EventKind, HybridTime};
