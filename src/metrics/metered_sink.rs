//! Derives metrics from timeline events.

use super::{Metric, Metrics};
use crate::{
    prelude::*,
    timeline::{EventKind, EventSink},
};

/// Passes events on to another sink and updates the metrics that are derived from them, so that
/// code that records an event needs no second call.
pub struct MeteredTimelineSink {
    metrics: Arc<dyn Metrics>,
    inner: Arc<dyn EventSink>,
}

impl MeteredTimelineSink {
    /// Creates a sink that counts events in `metrics` and passes them on to `inner`.
    pub fn new(inner: Arc<dyn EventSink>, metrics: Arc<dyn Metrics>) -> Self {
        Self { metrics, inner }
    }

    fn count_event(&self, kind: &EventKind) {
        let metrics = &*self.metrics;
        metrics.count(Metric::Events, 1, Some(kind.name()));
        match kind {
            EventKind::Answered { ran, .. } => {
                metrics.count(Metric::Requests, 1, Some(ran.as_str()));
            }
            EventKind::Ended { error: Some(error), .. } => {
                metrics.count(Metric::TargetErrors, 1, Some(&error_name(*error)));
            }
            EventKind::HandoverDone { entries, .. } => {
                metrics.count(Metric::HandoverEntries, *entries, Some("done"));
            }
            EventKind::HandoverLost { entries } => {
                metrics.count(Metric::HandoverEntries, *entries, Some("lost"));
            }
            EventKind::InvariantBroken { name, .. } => {
                metrics.count(Metric::InvariantsBroken, 1, Some(name));
            }
            EventKind::ManifestInForce { sequence } => {
                metrics.gauge(Metric::ManifestSequence, *sequence as f64, None);
            }
            EventKind::Refused { error } => {
                metrics.count(Metric::Refused, 1, Some(&error_name(*error)));
            }
            _ => {}
        }
    }
}

impl EventSink for MeteredTimelineSink {
    fn record(&self, request: Option<&RequestId>, kind: EventKind) {
        self.count_event(&kind);
        self.inner.record(request, kind);
    }

    fn is_on(&self) -> bool {
        true
    }
}

/// The name of an error kind as callers see it, such as `cap-reached`.
fn error_name(error: ErrorKind) -> String {
    match serde_json::to_value(error) {
        Ok(serde_json::Value::String(name)) => name,
        _ => format!("{error:?}"),
    }
}
