//! Metrics of a host: an entry host serves them to scrapers (`EntryMetrics`), other hosts send them
//! as statsd datagrams to an address from the settings (`open`).

mod capacity;
mod entry;
mod metered_sink;
mod metric;
mod statsd;
#[cfg(test)]
mod tests;

pub use self::{
    capacity::{ServiceGauges, ZoneGauges},
    entry::{ControlGauges, EntryMetrics, MeteredEventSink, TrafficGauges},
    metered_sink::MeteredTimelineSink,
    metric::{Metric, MetricKind},
    statsd::{MetricsError, Result, Tags, open},
};

use std::time::Duration;

/// Receives measurements. Never blocks and never fails: if the queue is full, measurements are
/// dropped.
pub trait Metrics: Send + Sync {
    /// Adds `by` to a counter. `label` splits the counter, for example by error kind.
    fn count(&self, metric: Metric, by: u64, label: Option<&str>);

    /// Sets a gauge to `value`.
    fn gauge(&self, metric: Metric, value: f64, label: Option<&str>);

    /// Records a duration.
    fn time(&self, metric: Metric, taken: Duration, label: Option<&str>);

    /// Sends buffered measurements; to be called about once a second.
    fn flush(&self);
}

/// Discards all measurements.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoMetrics;

impl Metrics for NoMetrics {
    fn count(&self, _metric: Metric, _by: u64, _label: Option<&str>) {}

    fn gauge(&self, _metric: Metric, _value: f64, _label: Option<&str>) {}

    fn time(&self, _metric: Metric, _taken: Duration, _label: Option<&str>) {}

    fn flush(&self) {}
}
