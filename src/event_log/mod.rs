//! The structured log of an entry host: one JSON line for each decision about a request and for
//! each change of the host's state.
//!
//! On-call engineers have only these lines and the metrics, so each line contains the inputs of the
//! decision, their age and the outcome. Lines pass through a bounded queue to a writer thread, so
//! that a blocked output delays no request; dropped lines are counted and reported. `crate::why`
//! reconstructs the history of a request from the logs of several hosts.

mod event;
mod kind;
mod line;
mod log_bridge;
mod queue;
mod read;
mod settings;
#[cfg(test)]
mod tests;
mod writer;

pub use self::{
    event::{
        AttemptEnd, AttemptReason, ConnectionUse, End, Event, EventKind, LimitSource, PartNote,
        PauseReason, RelayEnd, ReloadEnd, Source, WatchReason,
    },
    line::{Line, RequestKey},
    log_bridge::start_bridge,
    queue::{LineQueue, PendingLine},
    read::for_each_json,
    settings::EventLogSettings,
    writer::{EventLog, LogWriterError},
};

/// Receives events. Never blocks and never fails: events that can't be queued are counted as
/// dropped.
pub trait EventSink: Send + Sync {
    /// Records an event of `request`, or of the host itself if `request` is `None`.
    fn record(&self, request: Option<&RequestKey>, event: Event);

    /// Number of lines dropped since the host started.
    fn dropped(&self) -> u64 {
        0
    }
}

/// Discards all events.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoEvents;

impl EventSink for NoEvents {
    fn record(&self, _request: Option<&RequestKey>, _event: Event) {}
}
