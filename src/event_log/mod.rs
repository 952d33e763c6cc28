//! The structured log of an entry host: one JSON line for each decision about a request and each
//! change of what the host believes.
//!
//! On-call engineers have these lines and the metrics, nothing else. Every line says which inputs
//! decided, how old they were and what came of it. Lines go through a bounded queue to a thread of
//! their own, so that an output that nobody reads stops no request; what is dropped is counted and
//! told. `crate::why` tells the story of one request from the lines of many hosts.

mod event;
mod kind;
mod line;
mod log_bridge;
mod queue;
mod settings;
#[cfg(test)]
mod tests;
mod writer;

pub use self::{
    event::{
        AttemptEnd, AttemptReason, End, Event, EventKind, PauseReason, ReloadEnd, Source,
        WatchReason,
    },
    line::{Line, RequestKey},
    log_bridge::start_bridge,
    queue::{LineQueue, PendingLine},
    settings::EventLogSettings,
    writer::{EventLog, LogWriterError},
};

/// Takes events. Never blocks and never fails: what can't be kept is counted as dropped.
pub trait EventSink: Send + Sync {
    /// Records one event, of a request or of the host itself.
    fn record(&self, request: Option<&RequestKey>, event: Event);

    /// Lines dropped since the start.
    fn dropped(&self) -> u64 {
        0
    }
}

/// Takes events and drops them.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoEvents;

impl EventSink for NoEvents {
    fn record(&self, _request: Option<&RequestKey>, _event: Event) {}
}
